/** Tests of the plans for engines, and of the orders that follow. */
import {describe, expect, it} from 'vitest';

import {
  type EngineLoad,
  engineOrdersByLoad,
  type EnginePlan,
  isDomainBeingLost,
  type ListedUpstream,
  neededEngines,
  nextEnginePlan,
  type OrderSituation,
  parseDutyRecord,
  type PlanSituation,
} from '../src/index.js';

const SERVICE = 'engines';

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
