/** Tests of the duties: their holder and engine orders. */
import {describe, expect, it} from 'vitest';

import {
  canActOnDuties,
  CANDIDATE_DELAY_MILLISECONDS,
  canTakeOverDuties,
  countMatchingEngines,
  type DutyRecord,
  type DutyView,
  type EngineOrder,
  EngineOrderBook,
  type ListedUpstream,
  parseDutyRecord,
  type RoutedService,
  type ScalingBounds,
  wantedEngines,
} from '../src/index.js';

const LEASE = 3000;
const RECORD: DutyRecord = {
  holder: 'host-1',
  processId: 'process-1',
  fixedUsage: {},
  reportedTo: -1,
  mostLastingEngines: {},
  era: 0,
  closedTo: -1,
};

function view(record: DutyRecord | undefined): DutyView {
  return {record, position: 4, end: 5, seenAt: 1000, isFirstEra: true};
}

describe('the duties', () => {
  it.each([
    {
      name: 'can be taken by the first candidate when no host holds them',
      record: undefined,
      rank: 0,
      now: 1000,
      canTake: true,
    },
    {
      name: 'are left to the first candidate when no host holds them',
      record: undefined,
      rank: 1,
      now: 1000,
      canTake: false,
    },
    {
      name: 'stay with a holder that renews',
      record: RECORD,
      rank: 0,
      now: 1000 + LEASE,
      canTake: false,
    },
    {
      name: 'pass to the first candidate after a lease without renewal',
      record: RECORD,
      rank: 0,
      now: 1001 + LEASE,
      canTake: true,
    },
    {
      name: 'do not pass to the second candidate at that time',
      record: RECORD,
      rank: 1,
      now: 1001 + LEASE,
      canTake: false,
    },
    {
      name: 'pass to the second candidate when the first does not take them',
      record: RECORD,
      rank: 1,
      now: 1001 + LEASE + CANDIDATE_DELAY_MILLISECONDS,
      canTake: true,
    },
  ])('$name', ({record, rank, now, canTake}) => {
    expect(canTakeOverDuties(view(record), rank, LEASE, now)).toBe(canTake);
  });

  it('are performed only well before another host can take them over', () => {
    expect(canActOnDuties(1000, LEASE, 1000)).toBe(true);
    expect(canActOnDuties(1000, LEASE, 1000 + LEASE)).toBe(false);
    expect(canActOnDuties(1000, LEASE, 61_000)).toBe(false);
  });

  it.each([{value: {}}, {value: {...RECORD, reportedTo: 'x'}}, {value: 3}])(
    'are not parsed from the malformed record $value',
    ({value}) => {
      expect(parseDutyRecord(value)).toBeUndefined();
    },
  );
});

const SCALING: ScalingBounds = {
  minimumInDomain: 1,
  maximumInDomain: 7,
  bootSeconds: 4,
  reclaimablePrice: 0.15,
  domainPrices: new Map(),
};
const SERVICE: RoutedService = {
  name: 'engines',
  connectionLimit: 10,
  engine: undefined,
  scaling: SCALING,
};

function engines(
  failureDomain: string,
  onDemand: number,
  reclaimable: number,
  leaving = 0,
): readonly ListedUpstream[] {
  return Array.from({length: onDemand + reclaimable + leaving}, (_, index) => ({
    upstreamId: `${failureDomain}-${index}`,
    service: 'engines',
    address: '',
    failureDomain,
    slots: 8,
    isLeaving: index >= onDemand + reclaimable,
    leavesInMilliseconds: undefined,
    softwareVersion: 'v1',
    bornAt: 0,
    isReclaimable: index >= onDemand,
    coldMilliseconds: 0,
  }));
}

describe('the engines of a failure domain', () => {
  it.each([
    {
      name: 'at the start',
      listed: engines('north', 3, 0),
      reclaimable: 4,
      onDemand: 2,
    },
    {
      name: 'while reclaimable engines start',
      listed: engines('north', 3, 1),
      reclaimable: 4,
      onDemand: 1,
    },
    {
      name: 'once reclaimable engines carry the load',
      listed: engines('north', 3, 4),
      reclaimable: 4,
      onDemand: 0,
    },
    {
      name: 'while reclaimable engines leave',
      listed: engines('north', 0, 0, 4),
      reclaimable: 4,
      onDemand: 0,
    },
  ])('$name', ({listed, reclaimable, onDemand}) => {
    const orders = wantedEngines(
      SERVICE,
      SCALING,
      ['north', 'south'],
      listed,
      {engines: 4},
      new Set(),
    ).filter(({failureDomain}) => failureDomain === 'north');
    expect(orders.map(({count}) => count)).toEqual([reclaimable, onDemand]);
  });

  it('stay within the bounds that apply to both kinds together', () => {
    const orders = wantedEngines(
      SERVICE,
      SCALING,
      ['north'],
      engines('north', 6, 0),
      {engines: 20},
      new Set(),
    );
    expect(orders.reduce((sum, {count}) => sum + count, 0)).toBe(7);
  });

  it('are not ordered for a service without reclaimable engines', () => {
    const onDemandOnly = {...SCALING, reclaimablePrice: undefined};
    expect(
      wantedEngines(
        SERVICE,
        onDemandOnly,
        ['north'],
        [],
        {engines: 4},
        new Set(),
      ),
    ).toEqual([]);
  });

  it('count towards an order unless they are leaving', () => {
    const order = {
      service: 'engines',
      failureDomain: 'north',
      isReclaimable: true,
      count: 2,
    };
    expect(countMatchingEngines(order, engines('north', 1, 2, 3))).toBe(2);
    expect(countMatchingEngines(order, engines('north', 1, 1, 3))).toBe(1);
  });
});

describe('failure domains that are reclaimed one after another', () => {
  const domains = ['north', 'east', 'south', 'west'];
  const PRICED = {
    ...SCALING,
    maximumInDomain: 4,
    domainPrices: new Map([
      ['north', 1],
      ['east', 0.8],
      ['south', 1.25],
      ['west', 0.9],
    ]),
  };

  it.each([
    {name: 'none', domainsWithCapacity: domains, replacements: [0, 0, 0, 0]},
    {
      name: 'one',
      domainsWithCapacity: ['north', 'east', 'south'],
      replacements: [0, 0, 0, 0],
    },
    {
      name: 'two',
      domainsWithCapacity: ['north', 'east'],
      replacements: [0, 0, 2, 2],
    },
    {name: 'three', domainsWithCapacity: ['north'], replacements: [0, 3, 2, 3]},
    {name: 'all', domainsWithCapacity: [], replacements: [3, 3, 3, 3]},
  ])(
    'with $name reclaimed, on-demand engines replace the missing ones',
    ({domainsWithCapacity, replacements}) => {
      const orders = wantedEngines(
        SERVICE,
        PRICED,
        domains,
        domainsWithCapacity.flatMap(domain => engines(domain, 0, 4)),
        {engines: 8},
        new Set(
          domains.filter(domain => !domainsWithCapacity.includes(domain)),
        ),
      );
      const onDemand = orders.filter(({isReclaimable}) => !isReclaimable);
      expect(onDemand.map(({count}) => count)).toEqual(replacements);
      for (const domain of domains) {
        const inDomain = orders.filter(
          ({failureDomain}) => failureDomain === domain,
        );
        const total = inDomain.reduce((sum, {count}) => sum + count, 0);
        expect(total).toBeLessThanOrEqual(PRICED.maximumInDomain);
        expect(
          inDomain.find(({isReclaimable}) => isReclaimable)?.count,
        ).toBeGreaterThan(0);
      }
    },
  );
});

describe('an engine order', () => {
  const ORDER: EngineOrder = {
    service: 'engines',
    failureDomain: 'north',
    isReclaimable: true,
    count: 4,
  };

  it.each([
    {
      name: 'is not due while engines start',
      result: 'accepted',
      seen: 0,
      now: 1,
      count: 1,
      isDue: false,
    },
    {
      name: 'is due again when the engines do not start',
      result: 'accepted',
      seen: 0,
      now: 7,
      count: 0,
      isDue: true,
    },
    {
      name: 'is not due while it is met',
      result: 'accepted',
      seen: 0,
      now: 7,
      count: 4,
      isDue: false,
    },
    {
      name: 'is due immediately when engines leave',
      result: 'accepted',
      seen: 4,
      now: 1,
      count: 0,
      isDue: true,
    },
    {
      name: 'is not due right after a refusal',
      result: 'refused',
      seen: 0,
      now: 1,
      count: 0,
      isDue: false,
    },
    {
      name: 'is due again soon after a refusal',
      result: 'refused',
      seen: 0,
      now: 2,
      count: 0,
      isDue: true,
    },
  ] as const)('$name', ({result, seen, now, count, isDue}) => {
    const book = new EngineOrderBook();
    book.recordResult(ORDER, result, engines('north', 0, seen), 0);
    const due = book.dueOrders([ORDER], engines('north', 0, count), now * 1000);
    expect(due.length > 0).toBe(isDue);
  });

  it.each([
    {
      name: 'marks its domain as out of capacity for a while after a refusal',
      results: ['refused'],
      now: 4,
      isOutOfCapacity: true,
    },
    {
      name: 'does not mark its domain as out of capacity for ever',
      results: ['refused'],
      now: 5,
      isOutOfCapacity: false,
    },
    {
      name: 'does not mark its domain as out of capacity once it is accepted',
      results: ['refused', 'accepted'],
      now: 1,
      isOutOfCapacity: false,
    },
    {
      name: 'does not mark its domain as out of capacity on a rejected call',
      results: ['unavailable'],
      now: 1,
      isOutOfCapacity: false,
    },
  ] as const)('$name', ({results, now, isOutOfCapacity}) => {
    const book = new EngineOrderBook();
    for (const result of results) {
      book.recordResult(ORDER, result, [], 0);
    }
    const outOfCapacity = book.domainsOutOfCapacity(
      'engines',
      ['north', 'south'],
      now * 1000,
    );
    expect([...outOfCapacity]).toEqual(isOutOfCapacity ? ['north'] : []);
  });

  it('comes first if it is for fewer engines, as both kinds share the bounds', () => {
    const fewer = {...ORDER, isReclaimable: false, count: 0};
    const book = new EngineOrderBook();
    const due = book.dueOrders([ORDER, fewer], engines('north', 2, 2), 0);
    expect(due).toEqual([fewer, ORDER]);
  });

  it('is not due for engines that already exist', () => {
    const book = new EngineOrderBook();
    expect(book.dueOrders([ORDER], engines('north', 0, 4), 0)).toEqual([]);
  });
});
