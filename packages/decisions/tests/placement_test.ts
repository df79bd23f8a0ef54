/** Tests of where requests run, replaying the loads that each choice answers. */
import {describe, expect, it} from 'vitest';

import {
  type Choice,
  chooseEngine,
  EventSplitter,
  type PlacementDemand,
  PlacementTable,
  PrefixMemory,
  refuseHopeless,
  routedShards,
  shardsInOrder,
  type UsableUpstream,
} from '../src/index.js';

const DOMAINS = ['north', 'south'];
const SHARED_TOKENS = 12_000;
const OWN_TOKENS = 3000;

function engine(index: number, overrides = {}): UsableUpstream {
  return {
    upstreamId: `i-${index}`,
    service: 'engines',
    address: `10.0.0.${index}:80`,
    failureDomain: DOMAINS[index % 2] ?? '',
    slots: 64,
    isLeaving: false,
    leavesInMilliseconds: undefined,
    bornAt: 0,
    isReclaimable: false,
    coldMilliseconds: 0,
    knownSince: 0,
    ...overrides,
  };
}

const ENGINES = Array.from({length: 8}, (_, index) => engine(index));

function demand(
  attemptId: string,
  shared: string,
  priority = 1,
): PlacementDemand {
  return {
    attemptId,
    parts: [
      {partId: shared, tokens: SHARED_TOKENS},
      {partId: `own-${attemptId}`, tokens: OWN_TOKENS},
    ],
    promptTokens: SHARED_TOKENS + OWN_TOKENS,
    priority,
  };
}

function place(
  table: PlacementTable,
  one: PlacementDemand,
  now = 0,
): Choice | undefined {
  return table.place('front', one, ENGINES, 'north', now);
}

describe('requests that share a part', () => {
  it('meet at one engine while it is free', () => {
    const table = new PlacementTable(20_000);
    const chosen = new Set<string>();
    for (let index = 0; index < 20; index += 1) {
      const one = demand(`a-${index}`, 'part');
      const upstreamId = place(table, one, index)?.upstream.upstreamId ?? '';
      chosen.add(upstreamId);
      const placed = {attemptId: one.attemptId, upstreamId};
      table.began('front', placed, 0, 0);
      table.ended('front', placed);
    }
    expect(chosen.size).toBe(1);
  });

  it('spread when many come at once (one hot prompt)', () => {
    const table = new PlacementTable(20_000);
    const counts = new Map<string, number>();
    for (let index = 0; index < 40; index += 1) {
      const id = place(table, demand(`a-${index}`, 'part'))?.upstream
        .upstreamId;
      counts.set(id ?? '', (counts.get(id ?? '') ?? 0) + 1);
    }
    expect(counts.size).toBeGreaterThan(2);
    expect(Math.max(...counts.values())).toBeLessThan(20);
  });

  it('meet at the same engine at hosts that know nothing of each other', () => {
    const chosen = new Set(
      ['front-1', 'front-2', 'front-3'].map(
        front =>
          new PlacementTable(20_000).place(
            front,
            demand(front, 'part'),
            ENGINES,
            'north',
            0,
          )?.upstream.upstreamId,
      ),
    );
    expect(chosen.size).toBe(1);
  });
});

it('many different prompts at once are spread over all engines', () => {
  const table = new PlacementTable(20_000);
  const counts = new Map<string, number>();
  for (let index = 0; index < 80; index += 1) {
    const one = demand(`a-${index}`, `part-${index}`);
    const id = place(table, one)?.upstream.upstreamId ?? '';
    counts.set(id, (counts.get(id) ?? 0) + 1);
  }
  expect(counts.size).toBe(ENGINES.length);
  expect(Math.max(...counts.values())).toBeLessThanOrEqual(16);
});

it('an urgent request does not wait behind less urgent ones', () => {
  const table = new PlacementTable(20_000);
  const [only] = ENGINES;
  const engines = only === undefined ? [] : [only];
  for (let index = 0; index < 10; index += 1) {
    const waiting = demand(`a-${index}`, `part-${index}`, 2);
    table.place('front', waiting, engines, 'north', 0);
  }
  const urgent = chooseAt(table, engines, 0);
  const patient = chooseAt(table, engines, 2);
  expect(urgent).toBeLessThan(patient / 2);
});

function chooseAt(
  table: PlacementTable,
  engines: readonly UsableUpstream[],
  priority: number,
): number {
  const one = demand(`p-${priority}`, 'fresh', priority);
  const choice = table.place('other', one, engines, 'north', 0);
  const upstreamId = choice?.upstream.upstreamId ?? '';
  table.ended('other', {attemptId: one.attemptId, upstreamId});
  return choice?.estimateMilliseconds ?? 0;
}

it('an engine that reads slowly gets less', () => {
  const table = new PlacementTable(20_000);
  for (let round = 0; round < 30; round += 1) {
    const one = demand(`slow-${round}`, `warm-${round}`);
    table.add(
      'front',
      one,
      {cachedTokens: 0, upstream: {upstreamId: 'i-0'}},
      0,
    );
    const placed = {attemptId: one.attemptId, upstreamId: 'i-0'};
    table.began('front', placed, 15_000, 4000);
    table.ended('front', placed);
  }
  let slow = 0;
  for (let index = 0; index < 80; index += 1) {
    const one = demand(`a-${index}`, `part-${index}`);
    slow += place(table, one)?.upstream.upstreamId === 'i-0' ? 1 : 0;
  }
  expect(slow).toBeLessThanOrEqual(2);
});

it('a renewal of a front mends what notes were lost', () => {
  const table = new PlacementTable(20_000);
  place(table, demand('lost', 'part'));
  table.renew('front', [], 10);
  expect(table.loads(10).size).toBe(0);
  place(table, demand('kept', 'part'), 20);
  table.forgetSilent('other', 10_000);
  expect(table.loads(10_000).size).toBe(0);
});

it('nothing is chosen without candidates', () => {
  const view = {
    loadOf: () => ({running: 0, waitingTokens: new Map<number, number>()}),
    prefillSpeedOf: () => 40,
    cachedTokens: () => 0,
  };
  expect(chooseEngine(demand('a', 'b'), [], 'north', view)).toBeUndefined();
});

describe('the memory of prompt parts', () => {
  const parts = [
    {partId: 'a', tokens: 10},
    {partId: 'b', tokens: 20},
  ];

  it.each([
    {name: 'knows what was read', first: parts, later: 0, tokens: 30},
    {
      name: 'counts no part after one that was not read',
      first: parts.slice(1),
      later: 0,
      tokens: 0,
    },
    {name: 'forgets with time', first: parts, later: 1001, tokens: 0},
  ])('$name', ({first, later, tokens}) => {
    const memory = new PrefixMemory(1000);
    memory.note('i-1', first, 0);
    expect(memory.cachedTokens('i-1', parts, later)).toBe(tokens);
    expect(memory.cachedTokens('i-2', parts, later)).toBe(0);
  });

  it('is empty after the engine started again', () => {
    const memory = new PrefixMemory(1000);
    memory.note('i-1', parts, 0);
    memory.forget('i-1');
    expect(memory.cachedTokens('i-1', parts, 0)).toBe(0);
  });
});

describe('a request under too much load', () => {
  const [upstream] = ENGINES;
  it.each([
    {
      name: 'is sent in time',
      wait: 900,
      mustWait: true,
      left: 5000,
      kind: 'send',
    },
    {
      name: 'is sent late while its caller waits',
      wait: 1900,
      mustWait: true,
      left: 5000,
      kind: 'send',
    },
    {
      name: 'is refused when its caller would have left',
      wait: 2100,
      mustWait: true,
      left: 5000,
      kind: 'refuse',
    },
    {
      name: 'is refused when its time would be over',
      wait: 700,
      mustWait: true,
      left: 600,
      kind: 'refuse',
    },
    {
      name: 'is never refused by an engine that is free',
      wait: 9000,
      mustWait: false,
      left: 5000,
      kind: 'send',
    },
  ])('$name', ({wait, mustWait, left, kind}) => {
    expect(upstream).toBeDefined();
    const verdict = refuseHopeless(
      {
        upstream: upstream ?? engine(0),
        tokensToRead: 0,
        mustWait,
        estimateMilliseconds: wait,
        cachedTokens: 0,
      },
      {objectiveMilliseconds: 800, millisecondsLeft: left},
      0.5,
    );
    expect(verdict.kind).toBe(kind);
  });

  it('is told to come back at a time of its own', () => {
    const times = [0, 0.5, 1].map(spread => {
      const verdict = refuseHopeless(
        {
          upstream: upstream ?? engine(0),
          tokensToRead: 0,
          mustWait: true,
          estimateMilliseconds: 4000,
          cachedTokens: 0,
        },
        {objectiveMilliseconds: 800, millisecondsLeft: 9000},
        spread,
      );
      return verdict.kind === 'refuse' ? verdict.retryAfterMilliseconds : 0;
    });
    expect(times).toEqual([1600, 3200, 4800]);
  });
});

describe('the splitter of events', () => {
  const stream =
    'id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: c\n\nid: 4\nda';

  it.each([1, 2, 3, 7, 100])('finds whole events in chunks of %i', size => {
    const splitter = new EventSplitter();
    const events = [];
    for (let start = 0; start < stream.length; start += size) {
      events.push(
        ...splitter.push(Buffer.from(stream.slice(start, start + size))),
      );
    }
    expect(events.map(({id}) => id)).toEqual(['1', '2', undefined]);
    const rest = splitter.takeRest().toString();
    expect(rest).toBe('id: 4\nda');
    expect(events.map(({bytes}) => bytes.toString()).join('') + rest).toBe(
      stream,
    );
  });
});

describe('the shards of a service', () => {
  const many = Array.from({length: 196}, (_, index) => engine(index));

  it.each([
    {engines: 28, shards: 1},
    {engines: 33, shards: 2},
    {engines: 98, shards: 4},
    {engines: 196, shards: 8},
  ])('are $shards for $engines engines', ({engines, shards}) => {
    const parts = routedShards('engines', many.slice(0, engines));
    expect(parts.length).toBe(shards);
    expect(parts.flatMap(({upstreams}) => upstreams).length).toBe(engines);
  });

  it('get requests by their size, however uneven they are', () => {
    const shards = routedShards('engines', many);
    const counts = new Map<string, number>();
    for (let index = 0; index < 20_000; index += 1) {
      const first = shardsInOrder(demand(`${index}`, `p${index}`), shards)[0];
      counts.set(first?.id ?? '', (counts.get(first?.id ?? '') ?? 0) + 1);
    }
    for (const {id, upstreams} of shards) {
      const expected = (20_000 * upstreams.length) / many.length;
      expect((counts.get(id) ?? 0) / expected).toBeGreaterThan(0.85);
      expect((counts.get(id) ?? 0) / expected).toBeLessThan(1.15);
    }
  });

  it('keep requests of one prompt part together', () => {
    const shards = routedShards('engines', many);
    const names = Array.from(
      {length: 20},
      (_, index) => shardsInOrder(demand(`${index}`, 'hot'), shards)[0]?.id,
    );
    expect(new Set(names).size).toBe(1);
  });

  it('keep most prompt parts in place when engines leave', () => {
    const before = routedShards('engines', many);
    const after = routedShards('engines', many.slice(0, 160));
    const moved = Array.from({length: 2000}, (_, index) => {
      const one = demand(`${index}`, `p${index}`);
      return (
        shardsInOrder(one, before)[0]?.id !== shardsInOrder(one, after)[0]?.id
      );
    });
    expect(moved.filter(Boolean).length / moved.length).toBeLessThan(0.2);
  });
});
