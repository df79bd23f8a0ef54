/** Tests of placement by the load that is expected when a request arrives. */
import {describe, expect, it} from 'vitest';

import {
  chooseSpread,
  type EngineChoice,
  expectedUnknownWork,
  fillLevel,
  NO_GRANTS,
  PlacedWork,
  type PlacementDemand,
  SpreadTable,
  UpstreamWork,
  type UsableUpstream,
  waitAt,
} from '../src/index.js';

const SHARED_TOKENS = 12_000;
const OWN_TOKENS = 2000;

function engine(index: number): UsableUpstream {
  return {
    upstreamId: `i-${index}`,
    service: 'engines',
    address: `10.0.0.${index}:80`,
    failureDomain: 'north',
    slots: 64,
    isLeaving: false,
    leavesInMilliseconds: undefined,
    softwareVersion: 'v1',
    bornAt: 0,
    isReclaimable: false,
    coldMilliseconds: 0,
    knownSince: 0,
  };
}

const ENGINES = Array.from({length: 12}, (_, index) => engine(index));

function demand(attemptId: string, shared: string): PlacementDemand {
  return {
    attemptId,
    parts: [
      {partId: shared, tokens: SHARED_TOKENS},
      {partId: `own-${attemptId}`, tokens: OWN_TOKENS},
    ],
    promptTokens: SHARED_TOKENS + OWN_TOKENS,
    priority: 1,
  };
}

/** Returns numbers that are spread evenly, and differ between hosts. */
function draws(host = 0): () => number {
  let value = (host * 0.618) % 1;
  return () => {
    value = (value + 0.7548776662466927) % 1;
    return value;
  };
}

interface Placing {
  readonly dispatcherFor: number | undefined;
  readonly now: number;
  readonly front?: string;
}

function placeIn(
  table: SpreadTable,
  request: PlacementDemand,
  {dispatcherFor, now, front = 'front'}: Placing,
): EngineChoice | undefined {
  return table.placeTask(
    {
      front,
      demand: request,
      candidates: ENGINES,
      failureDomain: 'north',
      grants: NO_GRANTS,
      knowledge: {dispatcherForMilliseconds: dispatcherFor},
      isAdmitted: () => true,
    },
    now,
  );
}

describe('the choice by expected room', () => {
  const candidates = [10, 200, 400, 800].map(waitMilliseconds => ({
    waitMilliseconds,
    ownMilliseconds: 50,
    capacity: 1,
  }));

  function shares(ageMilliseconds: number): readonly number[] {
    const unknown = {ageMilliseconds, busyShare: 0.8, meanMilliseconds: 150};
    const counts = candidates.map(() => 0);
    for (let index = 0; index < 1000; index += 1) {
      const chosen = chooseSpread(candidates, unknown, index / 1000)?.index;
      counts[chosen ?? 0] = (counts[chosen ?? 0] ?? 0) + 1;
    }
    return counts.map(count => count / 1000);
  }

  it('is the least cost while loads are known', () => {
    expect(shares(0)).toEqual([1, 0, 0, 0]);
  });

  it('is drawn more evenly the older the loads are', () => {
    const [fresh = 0, older = 0, oldest = 0] = [50, 400, 2000].map(age =>
      Math.max(...shares(age)),
    );
    expect(fresh).toBeGreaterThan(older);
    expect(older).toBeGreaterThan(oldest);
  });

  it('prefers engines with room, however old the loads are', () => {
    const [first = 0, , , last = 0] = shares(2000);
    expect(first).toBeGreaterThan(last * 2);
  });

  it.each([
    {waits: [0, 0, 0], work: 100, level: 100},
    {waits: [0, 300, 300], work: 100, level: 300},
    {waits: [0, 1000, 1000], work: 100, level: 300},
    {waits: [50], work: 0, level: 50},
  ])('fills $waits with $work each up to $level', ({waits, work, level}) => {
    expect(fillLevel(waits, work)).toBeCloseTo(level);
  });

  it('expects no more unknown work than engines have on average', () => {
    const work = [1000, 100_000].map(ageMilliseconds =>
      expectedUnknownWork({
        ageMilliseconds,
        busyShare: 0.5,
        meanMilliseconds: 100,
      }),
    );
    expect(work).toEqual([100, 100]);
  });
});

const USUAL_ENGINE = {
  millisecondsPerToken: 0.025,
  lagMilliseconds: 0,
  stated: undefined,
};

describe('the wait at an engine', () => {
  it.each([
    {name: 'is all that was placed', now: 0, lag: 0, wait: 300},
    {name: 'shrinks while it reads', now: 50, lag: 0, wait: 250},
    {
      name: 'stays while no first token is reported',
      now: 500,
      lag: 0,
      wait: 210,
    },
    {name: 'ends when reports are late', now: 500, lag: 600, wait: 0},
  ])('$name', ({now, lag, wait}) => {
    const work = new UpstreamWork();
    for (const key of ['a', 'b', 'c']) {
      work.add(key, {tokens: 4000, priority: 1, placedAt: 0});
    }
    const known = {...USUAL_ENGINE, work, lagMilliseconds: lag};
    expect(waitAt(known, 1, now).milliseconds).toBeCloseTo(wait);
  });

  it('of an urgent request is shorter', () => {
    const work = new UpstreamWork();
    work.add('a', {tokens: 40_000, priority: 2, placedAt: 0});
    const known = {...USUAL_ENGINE, work};
    expect(waitAt(known, 0, 0).milliseconds).toBeLessThan(
      waitAt(known, 2, 0).milliseconds / 2,
    );
  });
});

describe('hosts that choose at the same time by the same old loads', () => {
  /** Returns how many of 77 hosts choose each engine; one engine is idle. */
  function counts(statedAt: number): readonly number[] {
    const chosen = ENGINES.map(() => 0);
    for (let host = 0; host < 77; host += 1) {
      const table = new SpreadTable(20_000, draws(host));
      table.recordStatements(
        ENGINES.map(({upstreamId}, index) => ({
          upstreamId,
          bornAt: 0,
          running: index === 0 ? 0 : 10,
          waitMilliseconds: index === 0 ? 0 : 1200,
        })),
        statedAt,
      );
      const request: PlacementDemand = {
        attemptId: `a-${host}`,
        parts: [{partId: `own-${host}`, tokens: OWN_TOKENS}],
        promptTokens: OWN_TOKENS,
        priority: 1,
      };
      const choice = placeIn(table, request, {
        dispatcherFor: undefined,
        now: 1000,
      });
      const index = Number(choice?.upstream.upstreamId.slice(2));
      chosen[index] = (chosen[index] ?? 0) + 1;
    }
    return chosen;
  }

  it('do not all choose the engine that was least loaded', () => {
    expect(Math.max(...counts(0))).toBeLessThan(77 / 3);
  });

  it('choose it while the loads are fresh', () => {
    expect(counts(1000)[0]).toBe(77);
  });
});

describe('a dispatcher', () => {
  it('sends requests with a common part to one engine while it is idle', () => {
    const table = new SpreadTable(20_000, draws());
    const chosen = new Set<string>();
    for (let index = 0; index < 20; index += 1) {
      const attemptId = `a-${index}`;
      const now = index * 500;
      const choice = placeIn(table, demand(attemptId, 'part'), {
        dispatcherFor: 10_000,
        now,
      });
      const upstreamId = choice?.upstream.upstreamId ?? '';
      chosen.add(upstreamId);
      table.recordEnd('front', {attemptId, upstreamId}, now + 400);
    }
    expect(chosen.size).toBe(1);
  });

  it('has a hot part read at as many engines as its requests need', () => {
    const table = new SpreadTable(20_000, draws());
    const chosen = new Set<string>();
    for (let index = 0; index < 150; index += 1) {
      const choice = placeIn(table, demand(`a-${index}`, 'hot'), {
        dispatcherFor: 10_000,
        now: index,
      });
      chosen.add(choice?.upstream.upstreamId ?? '');
    }
    expect(chosen.size).toBeGreaterThan(6);
  });

  it('does not read a part again for a wait that is shorter than reading', () => {
    const table = new SpreadTable(20_000, draws());
    const first = placeIn(table, demand('a', 'part'), {
      dispatcherFor: 10_000,
      now: 0,
    });
    const second = placeIn(table, demand('b', 'part'), {
      dispatcherFor: 10_000,
      now: 200,
    });
    expect(second?.upstream).toBe(first?.upstream);
    expect(second?.cachedTokens).toBe(SHARED_TOKENS);
  });
});

describe('knowledge that is wrong', () => {
  const request = {
    attemptId: 'a',
    upstreamId: 'i-0',
    waitingTokens: 4000,
    priority: 1,
  };

  it.each([
    {
      name: 'a first output that is reported twice',
      replay: (work: PlacedWork): void => {
        work.begin('front', request, 100, 100);
        work.begin('front', request, 100, 900);
      },
      running: 1,
    },
    {
      name: 'an end that is reported twice',
      replay: (work: PlacedWork): void => {
        work.end('front', request, 100);
        work.end('front', request, 120);
      },
      running: 0,
    },
    {
      name: 'a first output that is reported after the end',
      replay: (work: PlacedWork): void => {
        work.end('front', request, 100);
        work.begin('front', request, 100, 120);
      },
      running: 0,
    },
    {
      name: 'an end that is never reported',
      replay: (work: PlacedWork): void => work.replace('front', [], 1200),
      running: 0,
    },
    {
      name: 'a list that crossed the placement',
      replay: (work: PlacedWork): void => work.replace('front', [], 20),
      running: 1,
    },
    {
      name: 'a front that is lost',
      replay: (work: PlacedWork): void => work.forgetSilentFronts('own', 5000),
      running: 0,
    },
    {
      name: 'a placement that is counted twice',
      replay: (work: PlacedWork): void => work.add('front', request, 10),
      running: 1,
    },
  ])('does not last: $name', ({replay, running}) => {
    const work = new PlacedWork();
    work.add('front', request, 0);
    replay(work);
    expect(work.at('i-0').running).toBe(running);
  });

  it('counts as old at a host that was frozen', () => {
    const table = new SpreadTable(20_000, draws());
    const fresh = placeIn(table, demand('a', 'part'), {
      dispatcherFor: 10_000,
      now: 0,
    });
    const woken = placeIn(table, demand('b', 'part'), {
      dispatcherFor: 15_000,
      now: 5000,
    });
    expect(fresh?.knowledgeAgeMilliseconds).toBe(4000);
    expect(woken?.knowledgeAgeMilliseconds).toBe(4000);
    const next = placeIn(table, demand('c', 'part'), {
      dispatcherFor: 15_010,
      now: 5010,
    });
    expect(next?.knowledgeAgeMilliseconds).toBe(0);
  });
});
