/** Tests of the duties: their holder, what is reported and what is ordered. */
import {describe, expect, it} from 'vitest';

import {
  CANDIDATE_DELAY_MILLISECONDS,
  type DutyRecord,
  type DutyView,
  isOrderMet,
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
    const orders = wantedEngines(SERVICE, SCALING, ['north', 'south'], listed, {
      engines: 4,
    }).filter(({failureDomain}) => failureDomain === 'north');
    expect(orders.map(({count}) => count)).toEqual([spare, kept]);
  });

  it('stay within the bounds of both kinds together', () => {
    const orders = wantedEngines(
      SERVICE,
      SCALING,
      ['north'],
      engines('north', 6, 0),
      {engines: 20},
    );
    expect(orders.reduce((sum, {count}) => sum + count, 0)).toBe(7);
  });

  it('are not ordered where none can be reclaimed', () => {
    const lasting = {...SCALING, reclaimablePrice: undefined};
    expect(
      wantedEngines(SERVICE, lasting, ['north'], [], {engines: 4}),
    ).toEqual([]);
  });

  it('meet an order without those that leave', () => {
    const order = {
      service: 'engines',
      failureDomain: 'north',
      isReclaimable: true,
      count: 2,
    };
    expect(isOrderMet(order, engines('north', 1, 2, 3))).toBe(true);
    expect(isOrderMet(order, engines('north', 1, 1, 3))).toBe(false);
  });
});
