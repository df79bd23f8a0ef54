/**
 * Tests of the memory of all clients: many small or unfinished requests made a process
 * exceed its memory and end.
 */
import {describe, expect, it} from 'vitest';

import {ClientMemory, type HoldingKind} from '../src/index.js';

const LIMITS = {clientBytes: 100, largestClientBytes: 300, requestBytes: 60};

/** What is taken, in the order in which it is taken. */
interface Taking {
  readonly id: string;
  readonly kind: HoldingKind;
  readonly bytes: number;
  /** Milliseconds; the last one is the present time. */
  readonly at: number;
}

const AT_ONCE = 0;

describe('memory that is given up', () => {
  it.each<{
    readonly name: string;
    readonly takings: readonly Taking[];
    readonly givenUp: readonly string[];
  }>([
    {
      name: 'is none within the limit',
      takings: [
        {id: 'a', kind: 'unfinished-request', bytes: 60, at: AT_ONCE},
        {id: 'b', kind: 'untaken-response', bytes: 40, at: AT_ONCE},
      ],
      givenUp: [],
    },
    {
      name: 'is the largest unfinished request',
      takings: [
        {id: 'a', kind: 'unfinished-request', bytes: 40, at: AT_ONCE},
        {id: 'b', kind: 'unfinished-request', bytes: 50, at: AT_ONCE},
        {id: 'c', kind: 'unfinished-request', bytes: 20, at: AT_ONCE},
      ],
      givenUp: ['b'],
    },
    {
      name: 'is what was silent for longest among equals',
      takings: [
        {id: 'a', kind: 'unfinished-request', bytes: 50, at: 1000},
        {id: 'b', kind: 'unfinished-request', bytes: 50, at: AT_ONCE},
        {id: 'c', kind: 'unfinished-request', bytes: 20, at: 1100},
      ],
      givenUp: ['b'],
    },
    {
      name: 'is what stopped before a larger one that is sent',
      takings: [
        {id: 'a', kind: 'unfinished-request', bytes: 30, at: AT_ONCE},
        {id: 'b', kind: 'unfinished-request', bytes: 75, at: 10_000},
      ],
      givenUp: ['a'],
    },
    {
      name: 'is unfinished before an untaken response of the same size',
      takings: [
        {id: 'a', kind: 'untaken-response', bytes: 60, at: AT_ONCE},
        {id: 'b', kind: 'unread-requests', bytes: 60, at: AT_ONCE},
      ],
      givenUp: ['b'],
    },
    {
      name: 'is never a complete request',
      takings: [
        {id: 'a', kind: 'request', bytes: 200, at: AT_ONCE},
        {id: 'b', kind: 'unfinished-request', bytes: 10, at: 1000},
      ],
      givenUp: ['b'],
    },
    {
      name: 'is as much as it takes',
      takings: [
        {id: 'a', kind: 'unfinished-request', bytes: 30, at: AT_ONCE},
        {id: 'b', kind: 'unfinished-request', bytes: 40, at: AT_ONCE},
        {id: 'c', kind: 'request', bytes: 90, at: AT_ONCE},
      ],
      givenUp: ['b', 'a'],
    },
  ])('$name', ({takings, givenUp}) => {
    const memory = new ClientMemory(LIMITS);
    const seen: string[] = [];
    for (const {id, kind, bytes, at} of takings) {
      memory.open(() => seen.push(id)).set(kind, bytes, at);
    }
    expect(seen).toEqual(givenUp);
  });
});

it.each([
  {name: 'a small body', bodyBytes: 20, taken: 90, isKept: true},
  {name: 'a small body', bodyBytes: 20, taken: 110, isKept: false},
  {name: 'a large body', bodyBytes: 100, taken: 190, isKept: true},
  {
    name: 'a body without a limit',
    bodyBytes: Infinity,
    taken: 310,
    isKept: false,
  },
])(
  'with room for $name, a request of $taken bytes is kept: $isKept',
  ({bodyBytes, taken, isKept}) => {
    const memory = new ClientMemory(LIMITS);
    memory.allowBody(bodyBytes);
    memory.open(() => undefined).set('unfinished-request', taken, AT_ONCE);
    expect(memory.bytes).toBe(isKept ? taken : 0);
  },
);

describe('memory that is given back', () => {
  it('is counted once', () => {
    const memory = new ClientMemory(LIMITS);
    const holding = memory.open(() => undefined);
    holding.set('request', 50, AT_ONCE);
    holding.set('untaken-response', 10, AT_ONCE);
    expect(memory.bytes).toBe(10);
    holding.release();
    holding.release();
    holding.set('request', 50, AT_ONCE);
    expect(memory.bytes).toBe(0);
  });

  it('is counted once if it is given up and released', () => {
    const memory = new ClientMemory(LIMITS);
    const holding = memory.open(() => holding.release());
    holding.set('unfinished-request', 200, AT_ONCE);
    expect(memory.bytes).toBe(0);
  });
});

describe('room for a complete request', () => {
  it.each<{
    readonly name: string;
    readonly takenBytes: number;
    readonly bytes: number;
    readonly isAhead: boolean;
    readonly hasRoom: boolean;
  }>([
    {
      name: 'within the limit',
      takenBytes: 30,
      bytes: 30,
      isAhead: false,
      hasRoom: true,
    },
    {
      name: 'beyond the limit',
      takenBytes: 30,
      bytes: 31,
      isAhead: false,
      hasRoom: false,
    },
    {
      name: 'for a single one that is larger than the limit',
      takenBytes: 0,
      bytes: 90,
      isAhead: false,
      hasRoom: true,
    },
    {
      name: 'for half as much that was sent ahead',
      takenBytes: 20,
      bytes: 11,
      isAhead: true,
      hasRoom: false,
    },
  ])('$name: $hasRoom', ({takenBytes, bytes, isAhead, hasRoom}) => {
    const memory = new ClientMemory(LIMITS);
    memory.open(() => undefined).set('request', takenBytes, AT_ONCE);
    expect(memory.hasRoomForRequest(bytes, isAhead)).toBe(hasRoom);
  });
});
