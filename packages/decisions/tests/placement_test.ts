/**
 * Tests of placement, load shedding, sharding and the event splitter. The
 * placement tests replay the loads for which each rule was made.
 */
import {describe, expect, it} from 'vitest';

import {
  chooseEngine,
  decideLoadShedding,
  type EngineChoice,
  type PlacementDemand,
  PlacementTable,
  PrefixMemory,
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
    softwareVersion: 'v1',
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
  request: PlacementDemand,
  now = 0,
): EngineChoice | undefined {
  return table.place('front', request, ENGINES, 'north', now);
}

describe('requests that share a prompt part', () => {
  it('are sent to one engine while it is idle', () => {
    const table = new PlacementTable(20_000);
    const chosen = new Set<string>();
    for (let index = 0; index < 20; index += 1) {
      const request = demand(`a-${index}`, 'part');
      const upstreamId =
        place(table, request, index)?.upstream.upstreamId ?? '';
      chosen.add(upstreamId);
      const placedAttempt = {attemptId: request.attemptId, upstreamId};
      table.recordFirstOutput('front', placedAttempt, 0, 0);
      table.recordEnd('front', placedAttempt);
    }
    expect(chosen.size).toBe(1);
  });

  it('are spread when many arrive at once (one hot prompt)', () => {
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

  it('are sent to the same engine by hosts that share no state', () => {
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

it('simultaneous requests with different prompts are spread over all engines', () => {
  const table = new PlacementTable(20_000);
  const counts = new Map<string, number>();
  for (let index = 0; index < 80; index += 1) {
    const request = demand(`a-${index}`, `part-${index}`);
    const id = place(table, request)?.upstream.upstreamId ?? '';
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
  const urgentEstimate = estimateFor(table, engines, 0);
  const lessUrgentEstimate = estimateFor(table, engines, 2);
  expect(urgentEstimate).toBeLessThan(lessUrgentEstimate / 2);
});

function estimateFor(
  table: PlacementTable,
  engines: readonly UsableUpstream[],
  priority: number,
): number {
  const request = demand(`p-${priority}`, 'fresh', priority);
  const choice = table.place('other', request, engines, 'north', 0);
  const upstreamId = choice?.upstream.upstreamId ?? '';
  table.recordEnd('other', {attemptId: request.attemptId, upstreamId});
  return choice?.estimateMilliseconds ?? 0;
}

it('an engine that reads slowly gets fewer requests', () => {
  const table = new PlacementTable(20_000);
  for (let round = 0; round < 30; round += 1) {
    const request = demand(`slow-${round}`, `warm-${round}`);
    table.add(
      'front',
      request,
      {cachedTokens: 0, upstream: {upstreamId: 'i-0'}},
      0,
    );
    const placedAttempt = {attemptId: request.attemptId, upstreamId: 'i-0'};
    table.recordFirstOutput('front', placedAttempt, 15_000, 4000);
    table.recordEnd('front', placedAttempt);
  }
  let sentToSlowEngine = 0;
  for (let index = 0; index < 80; index += 1) {
    const request = demand(`a-${index}`, `part-${index}`);
    sentToSlowEngine +=
      place(table, request)?.upstream.upstreamId === 'i-0' ? 1 : 0;
  }
  expect(sentToSlowEngine).toBeLessThanOrEqual(2);
});

it('a report of a front corrects the table after lost notifications', () => {
  const table = new PlacementTable(20_000);
  place(table, demand('lost', 'part'));
  table.replaceRequests('front', [], 10);
  expect(table.loads().size).toBe(0);
  place(table, demand('kept', 'part'), 20);
  table.forgetSilentFronts('other', 10_000);
  expect(table.loads().size).toBe(0);
});

it('no engine is chosen without candidates', () => {
  const view = {
    loadOf: () => ({running: 0, waitingTokens: new Map<number, number>()}),
    prefillSpeedOf: () => 40,
    cachedTokens: () => 0,
    grantWaitOf: () => 0,
  };
  expect(chooseEngine(demand('a', 'b'), [], 'north', view)).toBeUndefined();
});

describe('the prefix memory', () => {
  const parts = [
    {partId: 'a', tokens: 10},
    {partId: 'b', tokens: 20},
  ];

  it.each([
    {
      name: 'counts the parts that were read',
      first: parts,
      later: 0,
      tokens: 30,
    },
    {
      name: 'counts no part after one that was not read',
      first: parts.slice(1),
      later: 0,
      tokens: 0,
    },
    {name: 'forgets parts over time', first: parts, later: 1001, tokens: 0},
  ])('$name', ({first, later, tokens}) => {
    const memory = new PrefixMemory(1000);
    memory.recordRead('i-1', first, 0);
    expect(memory.cachedTokens('i-1', parts, later)).toBe(tokens);
    expect(memory.cachedTokens('i-2', parts, later)).toBe(0);
  });

  it('is empty after a restart of the engine', () => {
    const memory = new PrefixMemory(1000);
    memory.recordRead('i-1', parts, 0);
    memory.forget('i-1');
    expect(memory.cachedTokens('i-1', parts, 0)).toBe(0);
  });
});

describe('a request under overload', () => {
  const [upstream] = ENGINES;
  it.each([
    {
      name: 'is sent if the wait is short',
      wait: 900,
      mustWait: true,
      millisecondsLeft: 5000,
      kind: 'send',
    },
    {
      name: 'is sent if its client still waits by then',
      wait: 1900,
      mustWait: true,
      millisecondsLeft: 5000,
      kind: 'send',
    },
    {
      name: 'is refused if its client would have given up',
      wait: 2100,
      mustWait: true,
      millisecondsLeft: 5000,
      kind: 'refuse',
    },
    {
      name: 'is refused if it cannot meet its deadline',
      wait: 700,
      mustWait: true,
      millisecondsLeft: 600,
      kind: 'refuse',
    },
    {
      name: 'is never refused if the engine is idle',
      wait: 9000,
      mustWait: false,
      millisecondsLeft: 5000,
      kind: 'send',
    },
  ])('$name', ({wait, mustWait, millisecondsLeft, kind}) => {
    expect(upstream).toBeDefined();
    const verdict = decideLoadShedding(
      {
        upstream: upstream ?? engine(0),
        tokensToRead: 0,
        mustWait,
        estimateMilliseconds: wait,
        cachedTokens: 0,
      },
      {objectiveMilliseconds: 800, millisecondsLeft},
      0.5,
    );
    expect(verdict.kind).toBe(kind);
  });

  it('gets a retry delay that depends on the jitter', () => {
    const retryDelays = [0, 0.5, 1].map(jitter => {
      const verdict = decideLoadShedding(
        {
          upstream: upstream ?? engine(0),
          tokensToRead: 0,
          mustWait: true,
          estimateMilliseconds: 4000,
          cachedTokens: 0,
        },
        {objectiveMilliseconds: 800, millisecondsLeft: 9000},
        jitter,
      );
      return verdict.kind === 'refuse' ? verdict.retryAfterMilliseconds : 0;
    });
    expect(retryDelays).toEqual([1600, 3200, 4800]);
  });
});

describe('the shards of a service', () => {
  const manyEngines = Array.from({length: 196}, (_, index) => engine(index));

  it.each([
    {engines: 28, shards: 1},
    {engines: 33, shards: 2},
    {engines: 98, shards: 4},
    {engines: 196, shards: 8},
  ])('are $shards for $engines engines', ({engines, shards}) => {
    const divided = routedShards('engines', manyEngines.slice(0, engines));
    expect(divided.length).toBe(shards);
    expect(divided.flatMap(({upstreams}) => upstreams).length).toBe(engines);
  });

  it('get requests in proportion to their size, however uneven they are', () => {
    const shards = routedShards('engines', manyEngines);
    const counts = new Map<string, number>();
    for (let index = 0; index < 20_000; index += 1) {
      const first = shardsInOrder(demand(`${index}`, `p${index}`), shards)[0];
      counts.set(first?.id ?? '', (counts.get(first?.id ?? '') ?? 0) + 1);
    }
    for (const {id, upstreams} of shards) {
      const expected = (20_000 * upstreams.length) / manyEngines.length;
      expect((counts.get(id) ?? 0) / expected).toBeGreaterThan(0.85);
      expect((counts.get(id) ?? 0) / expected).toBeLessThan(1.15);
    }
  });

  it('keep requests of one prompt part together', () => {
    const shards = routedShards('engines', manyEngines);
    const shardIds = Array.from(
      {length: 20},
      (_, index) => shardsInOrder(demand(`${index}`, 'hot'), shards)[0]?.id,
    );
    expect(new Set(shardIds).size).toBe(1);
  });

  it('keep most prompt parts when engines leave', () => {
    const before = routedShards('engines', manyEngines);
    const after = routedShards('engines', manyEngines.slice(0, 160));
    const moved = Array.from({length: 2000}, (_, index) => {
      const request = demand(`${index}`, `p${index}`);
      return (
        shardsInOrder(request, before)[0]?.id !==
        shardsInOrder(request, after)[0]?.id
      );
    });
    expect(moved.filter(Boolean).length / moved.length).toBeLessThan(0.2);
  });
});
