/** Tests of the orders that the holder of the duties places in a round. */
import {
  type DutyRecord,
  type EngineOrder,
  type EnginePlan,
  type ListedUpstream,
  OfferedLoads,
  type RolloutEngines,
  type RoutedService,
} from '@lacewingwinch/decisions';
import {createMetrics, type EventLog} from '@lacewingwinch/observability';
import type {DutyResult} from '@lacewingwinch/platform';
import {describe, expect, it} from 'vitest';

import {EngineOrders} from '../src/routed_interface/duties/engine_orders.js';
import {EnginePlanner} from '../src/routed_interface/duties/engine_planner.js';

const DOMAINS = ['north', 'east', 'south', 'west'];

/** A service that several dispatchers place, or one if it is small. */
function serviceOf(name: string, maximumInDomain: number): RoutedService {
  return {
    name,
    connectionLimit: 10,
    engine: {slots: 64, cacheTokens: 1e6, canMoveRuns: true},
    scaling: {
      minimumInDomain: 1,
      maximumInDomain,
      bootSeconds: 4,
      reclaimablePrice: 0.15,
      domainPrices: new Map(),
    },
  };
}

const SERVICES = [serviceOf('large', 40), serviceOf('small', 6)];

const PLAN: EnginePlan = {
  engines: 40,
  load: {
    peakEngines: 10,
    expectedEngines: 10,
    calmUtilization: 0.5,
    millisecondsPerToken: 0.025,
    cachedRatio: 0,
  },
  since: 0,
  at: 5000,
  lostAt: 0,
};

const RECORD: DutyRecord = {
  holder: 'h',
  processId: 'p',
  era: 0,
  fixedUsage: {},
  reportedTo: -1,
  closedTo: -1,
  mostLastingEngines: {large: 20, small: 4},
  enginePlans: {large: PLAN},
};

function engines(
  service: string,
  countInDomain: (domain: string) => number,
  isReclaimable: boolean,
): readonly ListedUpstream[] {
  return DOMAINS.flatMap(failureDomain =>
    Array.from({length: countInDomain(failureDomain)}, (_, index) => ({
      upstreamId: `${service}-${failureDomain}-${index}`,
      service,
      softwareVersion: 'v1',
      address: '',
      failureDomain,
      slots: 64,
      isLeaving: false,
      leavesInMilliseconds: undefined,
      bornAt: 0,
      isReclaimable,
      coldMilliseconds: 0,
    })),
  );
}

interface Round {
  readonly orders: readonly string[];
  readonly events: readonly number[];
}

async function runRound(
  upstreams: readonly ListedUpstream[],
  hasSettled: boolean,
  refuses: (order: EngineOrder) => boolean,
  rollout?: RolloutEngines,
): Promise<Round> {
  const orders: string[] = [];
  const written: number[] = [];
  const events: EventLog = {write: number => written.push(number)};
  const dependencies = {
    events,
    metrics: createMetrics(),
    clock: () => 5000,
    trueTime: () => 5000,
    failureDomains: DOMAINS,
    servingHosts: () => ['h'],
    configuration: () => ({
      version: 1,
      rulesByHost: new Map(),
      services: new Map(SERVICES.map(service => [service.name, service])),
      workspaces: [],
      workspaceByKey: new Map(),
      limits: {
        headerBytes: 1,
        bodyBytes: 1,
        headerTimeoutMilliseconds: 1,
        idleTimeoutMilliseconds: 1,
      },
    }),
    upstreams: () => upstreams,
    rolloutEngines: (service: string) =>
      service === 'large' ? rollout : undefined,
    offeredLoads: new OfferedLoads(),
  };
  const engineOrders = new EngineOrders({
    ...dependencies,
    planner: new EnginePlanner(dependencies),
    place: (order): Promise<DutyResult> => {
      const {service, failureDomain, isReclaimable, count} = order;
      const kind = isReclaimable ? 'reclaimable' : 'on-demand';
      orders.push(`${service} ${failureDomain} ${kind} ${count}`);
      return Promise.resolve(
        refuses(order)
          ? {kind: 'refused', reason: 'none are available'}
          : {kind: 'accepted'},
      );
    },
  });
  await engineOrders.placeDueOrders(RECORD, hasSettled);
  return {orders, events: written};
}

describe('the orders of a round', () => {
  it('are for more engines of planned services only before the host has settled', async () => {
    const upstreams = [
      ...engines('large', domain => (domain === 'north' ? 4 : 11), true),
      ...engines('small', () => 1, false),
    ];
    const {orders} = await runRound(upstreams, false, () => false);
    expect(orders).toEqual(['large north reclaimable 10']);
  });

  it('follow the rule of the first minute for other services', async () => {
    const upstreams = [
      ...engines('large', () => 10, true),
      ...engines('small', () => 1, false),
    ];
    const {orders} = await runRound(upstreams, true, () => false);
    expect(orders).toEqual(
      DOMAINS.map(domain => `small ${domain} reclaimable 2`),
    );
  });

  it('replace in the same round what is refused', async () => {
    const upstreams = [
      ...engines('large', domain => (domain > 'o' ? 5 : 0), true),
      ...engines('small', () => 2, true),
    ];
    const {orders} = await runRound(
      upstreams,
      true,
      ({isReclaimable}) => isReclaimable,
    );
    const onDemand = orders.filter(order => order.includes('on-demand'));
    expect(onDemand.length).toBeGreaterThan(0);
    expect(onDemand.every(order => order.startsWith('large'))).toBe(true);
  });

  it('are logged after the plan that they follow from', async () => {
    const upstreams = [
      ...engines('large', () => 8, true),
      ...engines('small', () => 2, true),
    ];
    const {events} = await runRound(upstreams, true, () => false);
    expect(events).toEqual([5009, 5007, 5007, 5007, 5007]);
  });
});

describe('the orders while the platform runs engines of a roll-out', () => {
  const settledAge = 60_000;
  const lacking = (domain: string): number => (domain === 'north' ? 9 : 10);

  it.each([
    {
      name: 'replace nothing before the new engines can be listed',
      ordered: lacking,
      beside: 2,
      age: 300,
      expected: [],
    },
    {
      name: 'count the new engines where another one fits',
      ordered: lacking,
      beside: 10,
      age: settledAge,
      expected: ['large north reclaimable 20'],
    },
    {
      name: 'stay below the bound of the failure domain',
      ordered: (domain: string) => (domain === 'north' ? 4 : 10),
      beside: 35,
      age: settledAge,
      expected: ['large north reclaimable 40'],
    },
    {
      name: 'are not placed if the domain is full',
      ordered: lacking,
      beside: 31,
      age: settledAge,
      expected: [],
    },
    {
      name: 'take no engine away',
      ordered: (domain: string) => (domain === 'north' ? 15 : 10),
      beside: 10,
      age: settledAge,
      expected: [],
    },
  ])('$name', async ({ordered, beside, age, expected}) => {
    const upstreams = [
      ...engines('large', ordered, true),
      ...engines('small', () => 2, true),
    ];
    const listed = engines('large', () => beside, true);
    const {orders} = await runRound(upstreams, true, () => false, {
      listed,
      age,
    });
    expect(orders).toEqual(expected);
  });
});
