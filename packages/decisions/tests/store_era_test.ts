/** Tests of decisions after the store has come back from an older copy. */
import {describe, expect, it} from 'vitest';

import {
  canKeepDuties,
  canTakeOverDuties,
  type DutyRecord,
  type DutyView,
  eraOf,
  isOwnNewestRecord,
  KnownUsage,
  type ListedUpstream,
  MAXIMUM_ERA,
  offsetOf,
  reconcileDutyRecord,
  storePosition,
  UpstreamList,
  type UpstreamUpdate,
  UsageWindows,
} from '../src/index.js';

const LEASE = 3000;
const OWN = 'process-1';
const OTHER = 'process-2';

function record(overrides: Partial<DutyRecord> = {}): DutyRecord {
  return {
    holder: 'host-1',
    processId: OWN,
    era: 1,
    fixedUsage: {},
    reportedTo: -1,
    closedTo: -1,
    mostLastingEngines: {},
    ...overrides,
  };
}

function view(
  era: number,
  newest: DutyRecord | undefined,
  isFirstEra = false,
): DutyView {
  return {
    record: newest,
    position: storePosition(era, 4),
    end: storePosition(era, 5),
    seenAt: 0,
    isFirstEra,
  };
}

describe('a position', () => {
  it.each([
    {era: 0, offset: 0},
    {era: 0, offset: 68_719_476_735},
    {era: 1, offset: 0},
    {era: MAXIMUM_ERA, offset: 68_719_476_735},
  ])('of offset $offset in era $era has both parts', ({era, offset}) => {
    const position = storePosition(era, offset);
    expect(Number.isSafeInteger(position)).toBe(true);
    expect(eraOf(position)).toBe(era);
    expect(offsetOf(position)).toBe(offset);
  });

  it('of a later era is higher than all of an earlier one', () => {
    expect(storePosition(2, 0)).toBeGreaterThan(storePosition(1, 1e10));
  });
});

describe('the duties', () => {
  it.each([
    {
      name: 'are kept by the writer of the newest record',
      newest: record({era: 2}),
      now: 1e6,
      keeps: true,
      isOwn: true,
    },
    {
      name: 'are kept in a new era while the lease lasts',
      newest: record({era: 1}),
      now: LEASE / 2,
      keeps: true,
      isOwn: false,
    },
    {
      name: 'are kept in a new era that has no record yet',
      newest: undefined,
      now: LEASE / 2,
      keeps: true,
      isOwn: false,
    },
    {
      name: 'are not kept in a new era after the lease',
      newest: record({era: 1}),
      now: LEASE,
      keeps: false,
      isOwn: false,
    },
    {
      name: 'are not kept once another host wrote a record in the new era',
      newest: record({era: 2, processId: OTHER}),
      now: 0,
      keeps: false,
      isOwn: false,
    },
  ])('$name', ({newest, now, keeps, isOwn}) => {
    const holder = {processId: OWN, renewalSentAt: 0};
    expect(canKeepDuties(view(2, newest), holder, LEASE, now)).toBe(keeps);
    expect(isOwnNewestRecord(view(2, newest), OWN)).toBe(isOwn);
  });
});

describe('a store without a duty record', () => {
  it.each([
    {
      name: 'lets the first candidate take over',
      isFirstEra: true,
      now: 0,
      canTake: true,
    },
    {
      name: 'may have lost that of a holder in a later era',
      isFirstEra: false,
      now: LEASE,
      canTake: false,
    },
    {
      name: 'lets it take over after a lease in a later era',
      isFirstEra: false,
      now: LEASE + 1,
      canTake: true,
    },
  ])('$name', ({isFirstEra, now, canTake}) => {
    const empty = view(2, undefined, isFirstEra);
    expect(canTakeOverDuties(empty, 0, LEASE, now)).toBe(canTake);
  });
});

describe('the counts of usage', () => {
  const lost = record({
    era: 1,
    fixedUsage: {10: {a: 1}, 11: {a: 2}},
    reportedTo: 10,
  });
  const brought = record({era: 1, fixedUsage: {10: {a: 1}}, reportedTo: 9});

  it.each([
    {
      name: 'that were read before they were lost are fixed again',
      read: [lost],
      expected: {10: {a: 1}, 11: {a: 2}},
    },
    {
      name: 'that no host read are left out',
      read: [],
      expected: {},
    },
    {
      name: 'of a record that was written in an earlier era and executed late are left out',
      read: [{...lost, era: 0}],
      expected: {},
    },
  ])('$name', ({read, expected}) => {
    const known = new KnownUsage();
    read.forEach(seen => known.remember(seen, 1));
    const continued = reconcileDutyRecord(view(2, brought), {
      known,
      currentWindow: 13,
    });
    expect(continued.fixedUsage).toEqual(expected);
    expect(continued.closedTo).toBe(12);
    const usage = new UsageWindows(1000);
    for (const window of [9, 10, 11, 12, 13]) {
      usage.add('process', 'a', window * 1000);
    }
    expect(usage.windowsToFix(continued, 20_000)).toEqual([13]);
  });

  it('continue unchanged within an era', () => {
    const known = new KnownUsage();
    expect(
      reconcileDutyRecord(view(1, lost), {known, currentWindow: 13}),
    ).toEqual(lost);
  });

  it.each([
    {name: 'are closed', isFirstEra: false, closedTo: 12},
    {name: 'stay open in the first era', isFirstEra: true, closedTo: -1},
  ])(
    'of earlier windows $name if the store has no record',
    ({isFirstEra, closedTo}) => {
      const known = new KnownUsage();
      const continued = reconcileDutyRecord(view(1, undefined, isFirstEra), {
        known,
        currentWindow: 13,
      });
      expect(continued).toMatchObject({fixedUsage: {}, closedTo});
    },
  );
});

describe('an upstream in a store that came back', () => {
  const upstream: ListedUpstream = {
    upstreamId: 'a',
    service: 'engines',
    address: '10.0.0.1:80',
    failureDomain: 'north',
    slots: 8,
    isLeaving: false,
    leavesInMilliseconds: undefined,
    softwareVersion: 'v1',
    bornAt: 100,
    isReclaimable: false,
    coldMilliseconds: 0,
  };
  const before = {readTo: storePosition(1, 9), relistedBy: -Infinity};
  const after = {readTo: storePosition(2, 5), relistedBy: 2000};

  function listed(
    heartbeat: number | undefined,
    overrides: Partial<ListedUpstream> = {},
  ): UpstreamUpdate {
    return {kind: 'listed', upstream: {...upstream, ...overrides}, heartbeat};
  }

  const withdrawn: UpstreamUpdate = {kind: 'withdrawn', upstreamId: 'a'};

  it.each<{
    readonly name: string;
    readonly known: readonly UpstreamUpdate[];
    readonly snapshot: readonly UpstreamUpdate[];
    readonly later?: readonly UpstreamUpdate[];
    readonly usable: number;
  }>([
    {
      name: 'stays usable',
      known: [listed(5)],
      snapshot: [listed(3)],
      usable: 1,
    },
    {
      name: 'stays usable for a while if the copy lacks it',
      known: [listed(1)],
      snapshot: [],
      usable: 1,
    },
    {
      name: 'stays withdrawn',
      known: [listed(5), withdrawn],
      snapshot: [listed(5)],
      usable: 0,
    },
    {
      name: 'stays withdrawn if it numbers no heartbeats',
      known: [listed(undefined), withdrawn],
      snapshot: [listed(undefined)],
      usable: 0,
    },
    {
      name: 'stays leaving',
      known: [listed(5), listed(6, {isLeaving: true})],
      snapshot: [listed(5)],
      usable: 0,
    },
    {
      name: 'is usable again after its next heartbeat',
      known: [listed(5), withdrawn],
      snapshot: [listed(5)],
      later: [listed(6)],
      usable: 1,
    },
    {
      name: 'is usable if the snapshot has a later heartbeat',
      known: [listed(5), withdrawn],
      snapshot: [listed(6)],
      usable: 1,
    },
    {
      name: 'is usable as a new incarnation',
      known: [listed(5), withdrawn],
      snapshot: [listed(1, {bornAt: 200})],
      usable: 1,
    },
    {
      name: 'stays withdrawn as an earlier incarnation',
      known: [listed(5), withdrawn],
      snapshot: [listed(9, {bornAt: 50})],
      usable: 0,
    },
  ])('$name', ({known, snapshot, later = [], usable}) => {
    const list = new UpstreamList();
    list.apply(known, before, 0);
    list.replace(snapshot, after, 0);
    list.apply(later, {...after, readTo: after.readTo + 1}, 100);
    expect(list.usable('engines', 1000)).toHaveLength(usable);
  });

  it('is not listed again by a host that does not know of its withdrawal', () => {
    const list = new UpstreamList();
    list.apply([listed(5), withdrawn], before, 0);
    const other = new UpstreamList();
    other.replace([listed(4)], after, 0);
    const relay = (): boolean =>
      list.applyRelayed(other.relay(undefined, 0), after.readTo, 0);
    expect(relay()).toBe(false);
    expect(list.usable('engines', 0)).toHaveLength(0);
    other.apply([listed(6)], after, 0);
    expect(relay()).toBe(true);
    expect(list.usable('engines', 0)).toHaveLength(1);
  });
});
