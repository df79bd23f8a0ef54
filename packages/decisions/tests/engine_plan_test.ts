/** Tests of the load on engines, and of the plans and orders that follow. */
import {describe, expect, it} from 'vitest';

import {
  addLoadSums,
  type EngineLoad,
  engineLoadOf,
  type EngineLoadTerms,
  engineOrdersByLoad,
  type EnginePlan,
  isDomainBeingLost,
  type ListedUpstream,
  type LoadObservation,
  neededEngines,
  nextEnginePlan,
  NO_LOAD_SUMS,
  OfferedLoads,
  type OrderSituation,
  parseDutyRecord,
  type PlanSituation,
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

const LOAD: EngineLoad = {
  busyEngines: 10,
  expectedEngines: 10,
  calmUtilization: 0.5,
  millisecondsPerToken: 0.025,
  cachedRatio: 0,
  strainedShare: 0,
  heardShare: 1,
  ageMilliseconds: 100,
  seenMilliseconds: 30_000,
};

const SITUATION: PlanSituation = {
  load: LOAD,
  usualEngines: 30,
  domainCount: 4,
  minimumInDomain: 1,
  maximumInDomain: 30,
  isLosingDomain: false,
};

const PLAN: EnginePlan = {
  engines: 60,
  load: {
    peakEngines: 10,
    expectedEngines: 10,
    calmUtilization: 0.5,
    millisecondsPerToken: 0.025,
    cachedRatio: 0,
  },
  since: 0,
  at: 100_000,
  lostAt: 0,
};

describe('the plan for engines', () => {
  const cases: readonly {
    readonly name: string;
    readonly previous: EnginePlan | undefined;
    readonly situation: Partial<PlanSituation>;
    readonly engines: number;
  }[] = [
    {
      name: 'is twice the usual number while no load is known',
      previous: undefined,
      situation: {load: undefined},
      engines: 60,
    },
    {
      name: 'is raised while engines list themselves at the start',
      previous: {...PLAN, engines: 20, load: undefined},
      situation: {load: undefined},
      engines: 60,
    },
    {
      name: 'stays while no load is known any more',
      previous: PLAN,
      situation: {load: undefined},
      engines: 60,
    },
    {
      name: 'falls slowly',
      previous: PLAN,
      situation: {},
      engines: 57.6,
    },
    {
      name: 'does not fall on a load that has just been seen',
      previous: PLAN,
      situation: {load: {...LOAD, seenMilliseconds: 3000}},
      engines: 60,
    },
    {
      name: 'does not fall while hosts do not report',
      previous: PLAN,
      situation: {load: {...LOAD, heardShare: 0.5}},
      engines: 60,
    },
    {
      name: 'rises at once',
      previous: PLAN,
      situation: {load: {...LOAD, busyEngines: 30, expectedEngines: 30}},
      engines: 120,
    },
    {
      name: 'rises for the caches that two lost domains take along',
      previous: {...PLAN, engines: 24},
      situation: {load: {...LOAD, cachedRatio: 2}},
      engines: 60,
    },
    {
      name: 'stays within the bounds of the domains',
      previous: PLAN,
      situation: {load: {...LOAD, busyEngines: 90, expectedEngines: 90}},
      engines: 120,
    },
    {
      name: 'expects one lost domain long after the last one was lost',
      previous: {...PLAN, engines: 10, at: 900_000},
      situation: {},
      engines: 26.7,
    },
    {
      name: 'expects two lost domains soon after one was lost',
      previous: {...PLAN, engines: 10, at: 900_000, lostAt: 800_000},
      situation: {},
      engines: 40,
    },
  ];

  it.each(cases)('$name', ({previous, situation, engines}) => {
    const now = (previous?.at ?? 0) + 1000;
    const plan = nextEnginePlan(previous, {...SITUATION, ...situation}, now);
    expect(plan.engines).toBeGreaterThan(engines * 0.97);
    expect(plan.engines).toBeLessThan(engines * 1.03);
  });

  it('is continued by the next holder, whose clock may be behind', () => {
    const plan = nextEnginePlan(PLAN, SITUATION, PLAN.at - 500);
    expect(plan).toMatchObject({engines: PLAN.engines, at: PLAN.at});
  });

  it('is a part of the duty record, which another form does not void', () => {
    const record = {
      holder: 'h',
      processId: 'p',
      fixedUsage: {},
      reportedTo: -1,
      mostLastingEngines: {},
    };
    const plans = {[SERVICE]: PLAN};
    expect(
      parseDutyRecord({...record, enginePlans: plans})?.enginePlans,
    ).toEqual(plans);
    const other = parseDutyRecord({...record, enginePlans: {[SERVICE]: 3}});
    expect(other).toMatchObject({holder: 'h', enginePlans: undefined});
  });
});

const DOMAINS = ['north', 'east', 'south', 'west'];

function engines(
  failureDomain: string,
  reclaimable: number,
  onDemand = 0,
  leaving = 0,
): readonly ListedUpstream[] {
  const count = reclaimable + onDemand + leaving;
  return Array.from({length: count}, (_, index) => ({
    upstreamId: `${failureDomain}-${index}`,
    service: SERVICE,
    address: '',
    failureDomain,
    slots: 64,
    isLeaving: index >= reclaimable + onDemand,
    leavesInMilliseconds: undefined,
    softwareVersion: 'v1',
    bornAt: 0,
    isReclaimable: index < reclaimable || index >= reclaimable + onDemand,
    coldMilliseconds: 0,
  }));
}

const ORDERS: OrderSituation = {
  service: SERVICE,
  scaling: {
    minimumInDomain: 1,
    maximumInDomain: 20,
    bootSeconds: 4,
    reclaimablePrice: 0.15,
    domainPrices: new Map([
      ['north', 1],
      ['east', 0.8],
      ['south', 1.25],
      ['west', 0.9],
    ]),
  },
  domains: DOMAINS,
  listed: DOMAINS.flatMap(domain => engines(domain, 10)),
  plannedEngines: 40,
  needed: neededEngines(
    {...PLAN, load: {...PLAN.load!, peakEngines: 16, expectedEngines: 16}},
    30,
  ),
  domainsOutOfCapacity: new Set(),
  isLosingDomain: false,
  orderedOnDemand: () => 0,
};

describe('the orders that carry out a plan', () => {
  const cases: readonly {
    readonly name: string;
    readonly situation: Partial<OrderSituation>;
    /** North, east, south and west. */
    readonly reclaimable: readonly number[];
    readonly onDemand: readonly number[];
  }[] = [
    {
      name: 'are spread evenly, the rest over the cheapest domains',
      situation: {plannedEngines: 42},
      reclaimable: [10, 11, 10, 11],
      onDemand: [0, 0, 0, 0],
    },
    {
      name: 'are for fewer in the dearest domain first',
      situation: {plannedEngines: 39},
      reclaimable: [10, 10, 9, 10],
      onDemand: [0, 0, 0, 0],
    },
    {
      name: 'take none from a domain while another is being lost',
      situation: {plannedEngines: 24, isLosingDomain: true},
      reclaimable: [10, 10, 10, 10],
      onDemand: [0, 0, 0, 0],
    },
    {
      name: 'take one engine at a time from a domain',
      situation: {plannedEngines: 24},
      reclaimable: [9, 9, 9, 9],
      onDemand: [0, 0, 0, 0],
    },
    {
      name: 'take none from a domain while another one fills again',
      situation: {
        plannedEngines: 24,
        listed: DOMAINS.slice(1).flatMap(domain => engines(domain, 10)),
      },
      reclaimable: [6, 10, 10, 10],
      onDemand: [0, 0, 0, 0],
    },
    {
      name: 'keep on-demand engines until reclaimable ones are listed',
      situation: {
        listed: [...engines('north', 8, 8), ...engines('south', 8, 8)],
      },
      reclaimable: [10, 10, 10, 10],
      onDemand: [8, 0, 8, 0],
    },
    {
      name: 'end on-demand engines in the dearest domain first',
      situation: {
        listed: [...engines('north', 12, 8), ...engines('south', 12, 8)],
      },
      reclaimable: [12, 10, 12, 10],
      onDemand: [8, 0, 0, 0],
    },
    {
      name: 'replace nothing if what is left is enough after another loss',
      situation: {
        plannedEngines: 60,
        listed: DOMAINS.slice(1).flatMap(domain => engines(domain, 15)),
        domainsOutOfCapacity: new Set(['north']),
      },
      reclaimable: [15, 15, 15, 15],
      onDemand: [0, 0, 0, 0],
    },
    {
      name: 'replace a lost domain by reclaimable engines of the others',
      situation: {
        plannedEngines: 32,
        listed: DOMAINS.slice(1).flatMap(domain => engines(domain, 8)),
        domainsOutOfCapacity: new Set(['north']),
      },
      reclaimable: [8, 11, 10, 10],
      onDemand: [0, 0, 0, 0],
    },
    {
      name: 'replace it by on-demand engines where none are to be had',
      situation: {
        plannedEngines: 32,
        listed: [...engines('south', 8), ...engines('west', 8)],
        domainsOutOfCapacity: new Set(DOMAINS),
      },
      reclaimable: [8, 8, 8, 8],
      onDemand: [4, 4, 3, 4],
    },
    {
      name: 'keep what was ordered while another try is refused',
      situation: {
        plannedEngines: 32,
        listed: [...engines('south', 8), ...engines('west', 8)],
        domainsOutOfCapacity: new Set(['north']),
        orderedOnDemand: domain => (domain === 'north' ? 11 : 0),
      },
      reclaimable: [8, 11, 10, 10],
      onDemand: [11, 0, 0, 0],
    },
    {
      name: 'make room for reclaimable engines when there are some again',
      situation: {
        plannedEngines: 80,
        listed: DOMAINS.flatMap(domain => engines(domain, 0, 19)),
      },
      reclaimable: [18, 5, 20, 5],
      onDemand: [2, 15, 0, 15],
    },
  ];

  it.each(cases)('$name', ({situation, reclaimable, onDemand}) => {
    const orders = engineOrdersByLoad({...ORDERS, ...situation});
    const countsOf = (
      isReclaimable: boolean,
    ): readonly (number | undefined)[] =>
      DOMAINS.map(
        domain =>
          orders.find(
            order =>
              order.failureDomain === domain &&
              order.isReclaimable === isReclaimable,
          )?.count,
      );
    expect({
      reclaimable: countsOf(true),
      onDemand: countsOf(false),
    }).toEqual({reclaimable, onDemand});
  });

  it.each(cases)('stay within the bounds of a domain: $name', ({situation}) => {
    const orders = engineOrdersByLoad({...ORDERS, ...situation});
    for (const domain of DOMAINS) {
      const total = orders
        .filter(({failureDomain}) => failureDomain === domain)
        .reduce((sum, {count}) => sum + count, 0);
      expect(total).toBeLessThanOrEqual(ORDERS.scaling.maximumInDomain);
    }
  });
});

describe('a failure domain', () => {
  it.each([
    {name: 'with all of its engines leaving', leaving: 10, isLost: true},
    {name: 'with a few of its engines leaving', leaving: 3, isLost: false},
  ])('$name', ({leaving, isLost}) => {
    const listed = engines('north', 10 - leaving, 0, leaving);
    expect(isDomainBeingLost(SERVICE, listed)).toBe(isLost);
  });
});
