/** Tests of the lease for host orders and of the wanted hosts. */
import {describe, expect, it} from 'vitest';

import {
  foldLease,
  type HostOffer,
  type Lease,
  type LogRecord,
  NO_LEASE,
  startBackoff,
  wantedHosts,
} from '../src/index.js';

function record(
  offset: number,
  time: number,
  processId: string,
  after: number,
): LogRecord {
  const data = {
    type: 'lease',
    holder: `host of ${processId}`,
    processId,
    after,
    duration: 100,
  };
  return {offset, time, data};
}

describe('the fold of the lease stream', () => {
  const cases: readonly {
    readonly name: string;
    readonly records: readonly LogRecord[];
    readonly expected: Partial<Lease>;
  }[] = [
    {
      name: 'the first record',
      records: [record(0, 0, 'a', -1)],
      expected: {processId: 'a', fencingNumber: 0, expires: 100},
    },
    {
      name: 'a second holder before the lease expires',
      records: [record(0, 0, 'a', -1), record(1, 99, 'b', 0)],
      expected: {processId: 'a', fencingNumber: 0},
    },
    {
      name: 'a second holder after the lease has expired',
      records: [record(0, 0, 'a', -1), record(1, 100, 'b', 0)],
      expected: {processId: 'b', fencingNumber: 1, granted: 100},
    },
    {
      name: 'a renewal',
      records: [record(0, 0, 'a', -1), record(1, 60, 'a', 0)],
      expected: {processId: 'a', fencingNumber: 0, expires: 160},
    },
    {
      name: 'a renewal after the lease has expired, which is a new lease',
      records: [record(0, 0, 'a', -1), record(1, 150, 'a', 0)],
      expected: {processId: 'a', fencingNumber: 1, granted: 150},
    },
    {
      name: 'two simultaneous requests',
      records: [
        record(0, 0, 'a', -1),
        record(1, 100, 'b', 0),
        record(2, 100, 'c', 0),
      ],
      expected: {processId: 'b', fencingNumber: 1},
    },
    {
      name: 'a late record of an earlier holder',
      records: [
        record(0, 0, 'a', -1),
        record(1, 100, 'b', 0),
        record(2, 250, 'a', 0),
      ],
      expected: {processId: 'b', fencingNumber: 1},
    },
  ];

  it.each(cases)('decides $name', ({records, expected}) => {
    expect(records.reduce(foldLease, NO_LEASE)).toMatchObject(expected);
  });
});

function offer(
  hostClass: HostOffer['hostClass'],
  failureDomain: string,
  pricePerHour: number,
  refusedUntil = 0,
): HostOffer {
  return {hostClass, failureDomain, pricePerHour, refusedUntil};
}

describe('the wanted hosts', () => {
  const goal = {
    service: 's',
    hosts: 4,
    minimumOnDemand: 1,
    maximumDomainShare: 0.5,
  };
  it.each([
    {
      name: 'are the cheapest, spread over failure domains',
      offers: [
        offer('reclaimable', 'a', 1),
        offer('reclaimable', 'b', 2),
        offer('on-demand', 'a', 5),
      ],
      expected: ['on-demand a 1', 'reclaimable a 1', 'reclaimable b 2'],
    },
    {
      name: 'do not include refused offers',
      offers: [
        offer('reclaimable', 'a', 1, 100),
        offer('reclaimable', 'b', 2),
        offer('on-demand', 'a', 5),
      ],
      expected: ['on-demand a 2', 'reclaimable b 2'],
    },
    {name: 'are none without offers', offers: [], expected: []},
  ])('$name', ({offers, expected}) => {
    const found = wantedHosts(goal, offers, 50);
    expect(
      found
        .map(host => `${host.hostClass} ${host.failureDomain} ${host.count}`)
        .sort(),
    ).toEqual(expected);
  });

  it.each([
    {refusals: 1, wait: 5000},
    {refusals: 2, wait: 10_000},
    {refusals: 20, wait: 300_000},
  ])(
    'are started again $wait ms after $refusals refusals',
    ({refusals, wait}) => {
      expect(startBackoff(refusals)).toBe(wait);
    },
  );
});
