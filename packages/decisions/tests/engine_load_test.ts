/** Tests of the load that is offered to engines, and of its size in engines. */
import {describe, expect, it} from 'vitest';

import {
  addLoadSums,
  type EngineLoad,
  engineLoadOf,
  type EngineLoadTerms,
  type LoadObservation,
  NO_LOAD_SUMS,
  OfferedLoads,
  ServiceLoadCounter,
  type ServiceLoadSums,
} from '../src/index.js';

const SERVICE = 'engines';

/** Sums of a second: 100 requests of 2,000 tokens at 40 tokens in a ms. */
const SECOND: ServiceLoadSums = {
  ...NO_LOAD_SUMS,
  requests: 100,
  placements: 100,
  starts: 100,
  uncachedTokens: 200_000,
  cachedTokens: 200_000,
  squaredMegatokens: 400,
  measuredSquares: 400,
  measuredProducts: 10,
  outputMilliseconds: 10_000,
};

const TERMS: EngineLoadTerms = {
  objectiveMilliseconds: 1000,
  slots: 64,
  leadMilliseconds: 6000,
  presentEngines: 40,
  servingProcesses: 1,
  knownMillisecondsPerToken: undefined,
};

/** Returns what is observed after `seconds` in which sums were reported. */
function observe(
  sumsAt: (second: number) => ServiceLoadSums,
  seconds = 20,
): LoadObservation {
  const loads = new OfferedLoads();
  let total = NO_LOAD_SUMS;
  for (let second = 0; second <= seconds; second += 1) {
    loads.merge({processId: 'p', service: SERVICE, ...total}, second * 1000);
    total = addLoadSums(total, sumsAt(second));
  }
  return loads.observe(SERVICE, seconds * 1000 + 999);
}

describe('the offered load', () => {
  it('counts each request once, however often reports arrive', () => {
    const loads = new OfferedLoads();
    const first = {processId: 'p', service: SERVICE, ...SECOND};
    const later = {...first, ...addLoadSums(SECOND, SECOND)};
    loads.merge(first, 1000);
    loads.merge(later, 2000);
    loads.merge(later, 2100);
    loads.merge(first, 2200);
    expect(loads.observe(SERVICE, 2500).recent.sums.requests).toBe(100);
  });

  it.each([
    {name: 'a lull', gap: 2, seen: 4000},
    {name: 'an interruption of the reports', gap: 5, seen: 0},
  ])('has been seen since the start or since $name', ({gap, seen}) => {
    const loads = new OfferedLoads();
    let total = SECOND;
    for (const second of [1, 2, 2 + gap]) {
      loads.merge({processId: 'p', service: SERVICE, ...total}, second * 1000);
      total = addLoadSums(total, SECOND);
    }
    const observed = loads.observe(SERVICE, (2 + gap) * 1000 + 2000);
    expect(observed.seenMilliseconds).toBe(
      seen === 0 ? 2000 : gap * 1000 + 2000,
    );
  });

  it('names the processes that reported in the last seconds', () => {
    const loads = new OfferedLoads();
    loads.merge({processId: 'a', service: SERVICE, ...SECOND}, 1000);
    loads.merge({processId: 'b', service: SERVICE, ...SECOND}, 4500);
    expect(loads.observe(SERVICE, 5000).heardProcesses).toBe(1);
  });
});

describe('the counter of a process', () => {
  const START = {
    promptTokens: 3000,
    placed: {cachedTokens: 1000, mustWait: false, estimateMilliseconds: 50},
    elapsedMilliseconds: 100,
    latencyMilliseconds: 100,
    objectiveMilliseconds: 500,
  };

  it.each([
    {name: 'that is known to wait', mustWait: true, squares: 0, products: 0},
    {name: 'that is not', mustWait: false, squares: 4, products: 0.2},
  ])(
    'measures the speed on a request $name: $squares',
    ({mustWait, squares, products}) => {
      const counter = new ServiceLoadCounter('p');
      counter.countStart(SERVICE, {
        ...START,
        placed: {...START.placed, mustWait},
      });
      expect(counter.reports([SERVICE, 'other'])).toMatchObject([
        {starts: 1, measuredSquares: squares, measuredProducts: products},
        {service: 'other', starts: 0},
      ]);
    },
  );

  it.each([
    {name: 'on time', latency: 500, estimate: 50, mustWait: true, late: 0},
    {
      name: 'late unexpectedly',
      latency: 501,
      estimate: 50,
      mustWait: false,
      late: 1,
    },
    {
      name: 'late behind others',
      latency: 501,
      estimate: 900,
      mustWait: true,
      late: 1,
    },
    {
      name: 'late by itself',
      latency: 901,
      estimate: 900,
      mustWait: false,
      late: 0,
    },
  ])(
    'counts answers that are late because of others: $name',
    ({latency, estimate, mustWait, late}) => {
      const counter = new ServiceLoadCounter('p');
      counter.countStart(SERVICE, {
        ...START,
        placed: {cachedTokens: 0, estimateMilliseconds: estimate, mustWait},
        latencyMilliseconds: latency,
      });
      expect(counter.reports([SERVICE])[0]?.lateStarts).toBe(late);
    },
  );

  it('bounds what a frozen host measures', () => {
    const counter = new ServiceLoadCounter('p');
    counter.countStart(SERVICE, {
      ...START,
      elapsedMilliseconds: 60_000,
      latencyMilliseconds: 60_000,
    });
    expect(counter.reports([SERVICE])[0]?.measuredProducts).toBe(2);
  });
});

describe('the load in engines', () => {
  const twice = addLoadSums(SECOND, SECOND);
  const cases: readonly {
    readonly name: string;
    readonly sumsAt: (second: number) => ServiceLoadSums;
    readonly terms?: Partial<EngineLoadTerms>;
    readonly heardProcesses?: number;
    readonly expected: Partial<Record<keyof EngineLoad, number>>;
  }[] = [
    {
      name: 'of tokens that must be read',
      sumsAt: () => SECOND,
      expected: {busyEngines: 5, expectedEngines: 5, cachedRatio: 1},
    },
    {
      name: 'of answers that fill the slots',
      sumsAt: () => ({...SECOND, outputMilliseconds: 640_000}),
      expected: {busyEngines: 10},
    },
    {
      name: 'with refused requests, which are demand',
      sumsAt: () => ({...SECOND, requests: 150, refusals: 50}),
      expected: {busyEngines: 7.5, strainedShare: 1 / 3},
    },
    {
      name: 'with requests that are refused again and again',
      sumsAt: () => ({...SECOND, requests: 1100, refusals: 1000}),
      expected: {busyEngines: 10},
    },
    {
      name: 'with requests that are late behind others',
      sumsAt: () => ({...SECOND, lateStarts: 23}),
      expected: {busyEngines: 5, expectedEngines: 7.5},
    },
    {
      name: 'of slow engines',
      sumsAt: () => ({...SECOND, measuredProducts: 30}),
      expected: {busyEngines: 15},
    },
    {
      name: 'of engines that look slow because prompts queue',
      sumsAt: second =>
        second >= 16 ? {...SECOND, measuredProducts: 30} : SECOND,
      expected: {busyEngines: 7},
    },
    {
      name: 'of no more engines than there are',
      sumsAt: () => SECOND,
      terms: {presentEngines: 3},
      expected: {busyEngines: 3},
    },
    {
      name: 'with hosts that do not report',
      sumsAt: () => SECOND,
      terms: {servingProcesses: 10},
      heardProcesses: 8,
      expected: {busyEngines: 6.25, heardShare: 0.8},
    },
    {
      name: 'that grows until an ordered engine serves',
      sumsAt: second => (second >= 16 ? twice : SECOND),
      expected: {busyEngines: 10, expectedEngines: 15},
    },
    {
      name: 'that varies by chance only',
      sumsAt: second => (second >= 16 ? {...SECOND, requests: 110} : SECOND),
      expected: {expectedEngines: 5},
    },
  ];

  it.each(cases)('$name', ({sumsAt, terms, heardProcesses = 1, expected}) => {
    const observation = {...observe(sumsAt), heardProcesses};
    const load = engineLoadOf(observation, {...TERMS, ...terms});
    for (const [key, value] of Object.entries(expected)) {
      const found = load?.[key as keyof EngineLoad];
      expect(found, key).toBeGreaterThan(value * 0.9);
      expect(found, key).toBeLessThan(value * 1.12);
    }
  });

  it('is not known while many hosts do not report', () => {
    const terms = {...TERMS, servingProcesses: 2};
    expect(
      engineLoadOf(
        observe(() => SECOND),
        terms,
      ),
    ).toBeUndefined();
  });

  it('is not known before engines have been measured', () => {
    const unmeasured = {...SECOND, measuredSquares: 0, measuredProducts: 0};
    expect(
      engineLoadOf(
        observe(() => unmeasured),
        TERMS,
      ),
    ).toBeUndefined();
    expect(
      engineLoadOf(
        observe(() => unmeasured),
        {
          ...TERMS,
          knownMillisecondsPerToken: 0.05,
        },
      )?.busyEngines,
    ).toBeCloseTo(10);
  });

  it.each([
    {objectiveMilliseconds: 60, utilization: 0.25},
    {objectiveMilliseconds: 100, utilization: 0.32},
    {objectiveMilliseconds: 200, utilization: 0.55},
    {objectiveMilliseconds: 2000, utilization: 0.55},
  ])(
    'may use less of the engines the tighter the objective: $objectiveMilliseconds',
    ({objectiveMilliseconds, utilization}) => {
      const load = engineLoadOf(
        observe(() => SECOND),
        {
          ...TERMS,
          objectiveMilliseconds,
        },
      );
      expect(load?.calmUtilization).toBeCloseTo(utilization, 1);
    },
  );
});
