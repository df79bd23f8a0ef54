/** Tests of the duties: their holder, what is reported and what is ordered. */
import {describe, expect, it} from 'vitest';

import {
  CANDIDATE_DELAY_MILLISECONDS,
  countMatchingEngines,
  type DutyRecord,
  type DutyView,
  type EngineOrder,
  EngineOrderBook,
  type ListedUpstream,
  mayActOnDuties,
  mayTakeDuties,
  parseDutyRecord,
  type RoutedService,
  type ScalingBounds,
  UsageWindows,
  wantedEngines,
  windowsToReport,
  withFixedWindows,
} from '../src/index.js';

const LEASE = 3000;
const RECORD: DutyRecord = {
  holder: 'host-1',
  processId: 'process-1',
  fixedUsage: {},
  reportedTo: -1,
  mostLastingEngines: {},
};

function view(record: DutyRecord | undefined): DutyView {
  return {record, offset: 4, end: 5, seenAt: 1000};
}

describe('the duties', () => {
  it.each([
    {
      name: 'are free at first',
      record: undefined,
      rank: 0,
      now: 1000,
      may: true,
    },
    {
      name: 'wait for the first candidate at first',
      record: undefined,
      rank: 1,
      now: 1000,
      may: false,
    },
    {
      name: 'stay with a holder that renews',
      record: RECORD,
      rank: 0,
      now: 1000 + LEASE,
      may: false,
    },
    {
      name: 'pass after a lease without renewal',
      record: RECORD,
      rank: 0,
      now: 1001 + LEASE,
      may: true,
    },
    {
      name: 'pass to the second candidate later',
      record: RECORD,
      rank: 1,
      now: 1001 + LEASE,
      may: false,
    },
    {
      name: 'pass to the second candidate when the first does not take them',
      record: RECORD,
      rank: 1,
      now: 1001 + LEASE + CANDIDATE_DELAY_MILLISECONDS,
      may: true,
    },
  ])('$name', ({record, rank, now, may}) => {
    expect(mayTakeDuties(view(record), rank, LEASE, now)).toBe(may);
  });

  it('are acted on only well before another host may take them', () => {
    expect(mayActOnDuties(1000, LEASE, 1000)).toBe(true);
    expect(mayActOnDuties(1000, LEASE, 1000 + LEASE)).toBe(false);
    expect(mayActOnDuties(1000, LEASE, 61_000)).toBe(false);
  });

  it.each([{value: {}}, {value: {...RECORD, reportedTo: 'x'}}, {value: 3}])(
    'are not read from $value',
    ({value}) => {
      expect(parseDutyRecord(value)).toBeUndefined();
    },
  );
});

describe('the usage of a window', () => {
  const WINDOW = 5000;

  it('is the sum of what the processes counted, however often they say it', () => {
    const usage = new UsageWindows(WINDOW);
    usage.add('own', 'large', 12_000);
    usage.add('own', 'large', 14_999);
    usage.add('own', 'large', 15_000);
    const pushed = {
      processId: 'other',
      window: 2,
      counts: {large: 5, small: 1},
    };
    usage.merge(pushed);
    usage.merge(pushed);
    usage.merge({...pushed, counts: {large: 3}});
    expect(usage.total(2)).toEqual({large: 7, small: 1});
    expect(usage.total(3)).toEqual({large: 1});
  });

  it('is fixed once, after it settled, and never changes', () => {
    const usage = new UsageWindows(WINDOW);
    usage.add('own', 'large', 12_000);
    expect(usage.toFix(RECORD, 16_000)).toEqual([]);
    expect(usage.toFix(RECORD, 18_000)).toEqual([2]);
    const fixed = withFixedWindows(RECORD, [[2, usage.total(2)]]);
    usage.add('own', 'large', 12_001);
    const again = withFixedWindows(fixed, [[2, usage.total(2)]]);
    expect(again.fixedUsage).toEqual({'2': {large: 1}});
    expect(usage.toFix(again, 19_000)).toEqual([]);
  });

  it('is reported until the platform has accepted it', () => {
    const fixed = withFixedWindows(RECORD, [
      [7, {a: 1}],
      [8, {a: 2}],
    ]);
    expect(windowsToReport(fixed)).toEqual([7, 8]);
    expect(windowsToReport({...fixed, reportedTo: 7})).toEqual([8]);
  });

  it('is forgotten long after it ended', () => {
    const usage = new UsageWindows(WINDOW);
    usage.add('own', 'large', 0);
    usage.forget(100_000);
    expect(usage.list()).toEqual([]);
  });
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
  lasting: number,
  reclaimable: number,
  leaving = 0,
): readonly ListedUpstream[] {
  return Array.from({length: lasting + reclaimable + leaving}, (_, index) => ({
    upstreamId: `${failureDomain}-${index}`,
    service: 'engines',
    address: '',
    failureDomain,
    slots: 8,
    isLeaving: index >= lasting + reclaimable,
    leavesInMilliseconds: undefined,
    bornAt: 0,
    isReclaimable: index >= lasting,
    coldMilliseconds: 0,
  }));
}

describe('the engines of a failure domain', () => {
  it.each([
    {name: 'at the start', listed: engines('north', 3, 0), spare: 4, kept: 2},
    {
      name: 'while reclaimable ones come',
      listed: engines('north', 3, 1),
      spare: 4,
      kept: 1,
    },
    {
      name: 'once reclaimable ones carry the load',
      listed: engines('north', 3, 4),
      spare: 4,
      kept: 0,
    },
    {
      name: 'while reclaimable ones leave',
      listed: engines('north', 0, 0, 4),
      spare: 4,
      kept: 0,
    },
  ])('$name', ({listed, spare, kept}) => {
    const orders = wantedEngines(
      SERVICE,
      SCALING,
      ['north', 'south'],
      listed,
      {engines: 4},
      new Set(),
    ).filter(({failureDomain}) => failureDomain === 'north');
    expect(orders.map(({count}) => count)).toEqual([spare, kept]);
  });

  it('stay within the bounds of both kinds together', () => {
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

  it('are not ordered where none can be reclaimed', () => {
    const lasting = {...SCALING, reclaimablePrice: undefined};
    expect(
      wantedEngines(SERVICE, lasting, ['north'], [], {engines: 4}, new Set()),
    ).toEqual([]);
  });

  it('meet an order without those that leave', () => {
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

describe('failure domains that are reclaimed one after the other', () => {
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
    {name: 'none', full: domains, standIns: [0, 0, 0, 0]},
    {name: 'one', full: ['north', 'east', 'south'], standIns: [0, 0, 0, 0]},
    {name: 'two', full: ['north', 'east'], standIns: [0, 0, 2, 2]},
    {name: 'three', full: ['north'], standIns: [0, 3, 2, 3]},
    {name: 'all', full: [], standIns: [3, 3, 3, 3]},
  ])(
    '$name: lasting engines stand in for what is missing',
    ({full, standIns}) => {
      const orders = wantedEngines(
        SERVICE,
        PRICED,
        domains,
        full.flatMap(domain => engines(domain, 0, 4)),
        {engines: 8},
        new Set(domains.filter(domain => !full.includes(domain))),
      );
      const lasting = orders.filter(({isReclaimable}) => !isReclaimable);
      expect(lasting.map(({count}) => count)).toEqual(standIns);
      for (const domain of domains) {
        const here = orders.filter(
          ({failureDomain}) => failureDomain === domain,
        );
        const total = here.reduce((sum, {count}) => sum + count, 0);
        expect(total).toBeLessThanOrEqual(PRICED.maximumInDomain);
        expect(
          here.find(({isReclaimable}) => isReclaimable)?.count,
        ).toBeGreaterThan(0);
      }
    },
  );
});

describe('the orders that were given', () => {
  const ORDER: EngineOrder = {
    service: 'engines',
    failureDomain: 'north',
    isReclaimable: true,
    count: 4,
  };

  it.each([
    {
      name: 'not while engines start',
      result: 'accepted',
      seen: 0,
      now: 1,
      count: 1,
      isDue: false,
    },
    {
      name: 'again when they do not come',
      result: 'accepted',
      seen: 0,
      now: 7,
      count: 0,
      isDue: true,
    },
    {
      name: 'not while met',
      result: 'accepted',
      seen: 0,
      now: 7,
      count: 4,
      isDue: false,
    },
    {
      name: 'at once when engines leave',
      result: 'accepted',
      seen: 4,
      now: 1,
      count: 0,
      isDue: true,
    },
    {
      name: 'not right after a refusal',
      result: 'refused',
      seen: 0,
      now: 1,
      count: 0,
      isDue: false,
    },
    {
      name: 'soon after a refusal',
      result: 'refused',
      seen: 0,
      now: 2,
      count: 0,
      isDue: true,
    },
  ] as const)('are given $name', ({result, seen, now, count, isDue}) => {
    const book = new EngineOrderBook();
    book.note(ORDER, result, engines('north', 0, seen), 0);
    const due = book.due([ORDER], engines('north', 0, count), now * 1000);
    expect(due.length > 0).toBe(isDue);
  });

  it.each([
    {
      name: 'for a while after a refusal',
      results: ['refused'],
      now: 4,
      isDry: true,
    },
    {name: 'not for ever', results: ['refused'], now: 5, isDry: false},
    {
      name: 'not once an order is taken',
      results: ['refused', 'accepted'],
      now: 1,
      isDry: false,
    },
    {
      name: 'not when a call is turned away',
      results: ['unavailable'],
      now: 1,
      isDry: false,
    },
  ] as const)(
    'name a domain that has nothing to give $name',
    ({results, now, isDry}) => {
      const book = new EngineOrderBook();
      for (const result of results) {
        book.note(ORDER, result, [], 0);
      }
      const dry = book.dryDomains('engines', ['north', 'south'], now * 1000);
      expect([...dry]).toEqual(isDry ? ['north'] : []);
    },
  );

  it('are for fewer engines first: both kinds share the bounds of a domain', () => {
    const fewer = {...ORDER, isReclaimable: false, count: 0};
    const book = new EngineOrderBook();
    const due = book.due([ORDER, fewer], engines('north', 2, 2), 0);
    expect(due).toEqual([fewer, ORDER]);
  });

  it('are not given for what is there already', () => {
    const book = new EngineOrderBook();
    expect(book.due([ORDER], engines('north', 0, 4), 0)).toEqual([]);
  });
});
