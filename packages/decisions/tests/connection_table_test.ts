/**
 * Tests of the connections that a server accepts: idle ones took every descriptor of a
 * process, and it answered no one else.
 */
import {expect, it} from 'vitest';

import {ConnectionTable} from '../src/index.js';

const MAXIMUM = 2;
const NOW = 10_000;

/** A connection, and when it last moved. */
interface Row {
  readonly phase: 'new' | 'serving' | 'waiting';
  /** Milliseconds. */
  readonly movedAt: number;
}

class Connection {
  isClosed = false;

  makeRoom(): void {
    this.isClosed = true;
  }
}

it.each<{
  readonly name: string;
  readonly rows: readonly Row[];
  readonly room: 'closed-another' | 'full' | 'has-room';
  readonly closed: readonly boolean[];
}>([
  {
    name: 'none below the maximum',
    rows: [{phase: 'new', movedAt: 0}],
    room: 'has-room',
    closed: [false],
  },
  {
    name: 'the new one that was silent for longest',
    rows: [
      {phase: 'new', movedAt: 2000},
      {phase: 'new', movedAt: 1000},
    ],
    room: 'closed-another',
    closed: [false, true],
  },
  {
    name: 'a new one before one that has sent a request',
    rows: [
      {phase: 'waiting', movedAt: 5000},
      {phase: 'new', movedAt: 9000},
    ],
    room: 'closed-another',
    closed: [false, true],
  },
  {
    name: 'one that has been idle for much longer than a new one',
    rows: [
      {phase: 'waiting', movedAt: 0},
      {phase: 'new', movedAt: 9990},
    ],
    room: 'closed-another',
    closed: [true, false],
  },
  {
    name: 'an idle one instead of one that is served',
    rows: [
      {phase: 'serving', movedAt: 0},
      {phase: 'waiting', movedAt: 9999},
    ],
    room: 'closed-another',
    closed: [false, true],
  },
  {
    name: 'none if all are served',
    rows: [
      {phase: 'serving', movedAt: 0},
      {phase: 'serving', movedAt: 0},
    ],
    room: 'full',
    closed: [false, false],
  },
])('another connection closes $name', ({rows, room, closed}) => {
  const table = new ConnectionTable<Connection>(MAXIMUM);
  const connections = rows.map(() => new Connection());
  const inOrder = rows
    .map((row, index) => ({...row, connection: connections[index]!}))
    .sort((left, right) => left.movedAt - right.movedAt);
  for (const {connection, phase, movedAt} of inOrder) {
    table.add(connection, 0);
    if (phase !== 'new') {
      table.setPhase(connection, phase, 0);
    }
    table.recordProgress(connection, movedAt);
  }
  expect(table.makeRoom(NOW)).toBe(room);
  expect(connections.map(({isClosed}) => isClosed)).toEqual(closed);
});

it('a connection that has closed gives its place back once', () => {
  const table = new ConnectionTable<Connection>(MAXIMUM);
  const connection = new Connection();
  table.add(connection, 0);
  table.remove(connection);
  table.remove(connection);
  table.setPhase(connection, 'waiting', 0);
  table.recordProgress(connection, 0);
  expect(table.size).toBe(0);
});
