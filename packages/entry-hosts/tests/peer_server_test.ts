/**
 * Tests of the server for peers: lines without end were searched again with each chunk
 * and kept a process busy, and their bytes were not bounded together.
 */
import {connect, type Socket} from 'node:net';

import {ClientMemory} from '@lacewingwinch/decisions';
import {waitFor} from '@lacewingwinch/stand-ins';
import {afterEach, expect, it} from 'vitest';

import {
  type FrameTurns,
  listenForPeers,
  type PeerServer,
} from '../src/index.js';

const UNKNOWN_CALL = '{"jsonrpc":"2.0","id":1,"method":"unknown"}';

let server: PeerServer;
let clients: Socket[];
let received: string;
let refusals: string[];
/** Frames after which others wait, and the turns that wait. */
let framesPerTurn: number;
let waitingTurns: Set<() => void>;
let frames: number;

const turns: FrameTurns = {
  get isSpent() {
    return frames >= framesPerTurn;
  },
  record: () => {
    frames += 1;
  },
  add: turn => waitingTurns.add(turn),
  remove: turn => waitingTurns.delete(turn),
};

afterEach(async () => {
  clients.forEach(client => client.destroy());
  await server.close();
});

async function start(
  clientBytes = Infinity,
  maximumConnections = Infinity,
): Promise<void> {
  clients = [];
  refusals = [];
  received = '';
  framesPerTurn = Infinity;
  waitingTurns = new Set();
  frames = 0;
  server = await listenForPeers({
    host: '127.0.0.1',
    port: 0,
    bounds: {
      maximumConnections,
      memory: new ClientMemory({
        clientBytes,
        largestClientBytes: clientBytes,
        requestBytes: Infinity,
      }),
      turns,
      clock: () => performance.now(),
      onRefused: refusal => refusals.push(refusal),
    },
    handlers: {},
  });
}

function open(): Socket {
  const client = connect(server.port, '127.0.0.1');
  client.on('error', () => undefined);
  client.on('data', (chunk: Buffer) => {
    received += chunk.toString();
  });
  clients.push(client);
  return client;
}

it.each<{readonly name: string; readonly pieces: readonly string[]}>([
  {name: 'at once', pieces: [`${UNKNOWN_CALL}\n${UNKNOWN_CALL}\n`]},
  {
    name: 'in pieces',
    pieces: [...Array.from(`${UNKNOWN_CALL}\n`), `${UNKNOWN_CALL}\n`],
  },
  {
    name: 'with long lines',
    pieces: [' '.repeat(300_000), `${UNKNOWN_CALL}\n`, `${UNKNOWN_CALL}\n`],
  },
])('calls that arrive $name are answered', async ({pieces}) => {
  await start();
  const client = open();
  for (const piece of pieces) {
    await new Promise(resolve => client.write(piece, resolve));
  }
  await waitFor('both are answered', () => received.split('\n').length === 3);
});

it.each<{readonly name: string; readonly line: string}>([
  {name: 'that is no document', line: '{"a"\n'},
  {name: 'that is no call', line: '{"a":1}\n'},
  {name: 'that is null', line: 'null\n'},
  {name: 'that is a number', line: '1\n'},
  {name: 'that is a text', line: '"a"\n'},
  {name: 'that is a list', line: `[${UNKNOWN_CALL}]\n`},
  {name: 'that never ends', line: 'x'.repeat(17 * 1024 * 1024)},
  {
    name: 'with too many values',
    line: `{"jsonrpc":"2.0","method":"a","params":[${'[],'.repeat(600_000)}0]}\n`,
  },
])('a line $name closes its connection', async ({line}) => {
  await start();
  const client = open();
  client.write(line);
  await waitFor('it is closed', () => client.destroyed);
});

it.each([
  'constructor',
  'hasOwnProperty',
  'toString',
  '__proto__',
  '',
  1,
  null,
])('a call of %j harms nobody', async method => {
  await start();
  const caller = open();
  caller.write(`${JSON.stringify({jsonrpc: '2.0', id: 1, method})}\n`);
  await waitFor(
    'it is answered or closed',
    () => received.includes('\n') || caller.destroyed,
  );
  received = '';
  open().write(`${UNKNOWN_CALL}\n`);
  await waitFor('another is answered', () => received.includes('\n'));
});

it('calls of one read wait for their turns', async () => {
  await start();
  framesPerTurn = 10;
  open().write(`${UNKNOWN_CALL}\n`.repeat(25));
  for (const answers of [10, 20, 25]) {
    await waitFor(
      `${answers} are answered`,
      () => received.split('\n').length === answers + 1,
    );
    expect(waitingTurns.size).toBe(answers < 25 ? 1 : 0);
    frames = 0;
    const [turn] = waitingTurns;
    waitingTurns.clear();
    turn?.();
  }
});

it('the largest unfinished line is given up for the sake of others', async () => {
  await start(1_000_000);
  const [small, large] = [open(), open()];
  await new Promise(resolve => small.write('x'.repeat(200_000), resolve));
  large.write('x'.repeat(900_000));
  await waitFor('it is closed', () => large.destroyed);
  expect(small.destroyed).toBe(false);
  expect(refusals).toEqual(['request-unfinished']);
});

it('the connection that was silent for longest makes room for another', async () => {
  await start(Infinity, 2);
  const connections = [open(), open()];
  for (const connection of connections) {
    await new Promise(resolve =>
      connection.write(`${UNKNOWN_CALL}\n`, resolve),
    );
  }
  await waitFor('both are answered', () => received.split('\n').length === 3);
  open();
  await waitFor('the first is closed', () => connections[0]!.destroyed);
  expect(connections[1]!.destroyed).toBe(false);
});
