/** Tests of the engines that count as what a service needs. */
import {describe, expect, it} from 'vitest';

import {
  countLastingEngines,
  type ListedUpstream,
  type RoutedService,
} from '../src/index.js';

const SERVICE: RoutedService = {
  name: 'service',
  connectionLimit: 10,
  engine: undefined,
  scaling: {
    minimumInDomain: 1,
    maximumInDomain: 40,
    bootSeconds: 4,
    reclaimablePrice: 0.15,
    domainPrices: new Map(),
  },
};

function engines(
  count: number,
  isReclaimable = false,
): readonly ListedUpstream[] {
  return Array.from({length: count}, (_, index) => ({
    upstreamId: `engine-${index}`,
    service: 'service',
    softwareVersion: 'v1',
    address: '',
    failureDomain: 'north',
    slots: 8,
    isLeaving: false,
    leavesInMilliseconds: undefined,
    bornAt: 0,
    isReclaimable,
    coldMilliseconds: 0,
  }));
}

describe('the engines that a service needs', () => {
  it.each([
    {
      name: 'are those that stand there at first',
      known: undefined,
      upstreams: engines(4),
      count: 4,
    },
    {
      name: 'are the most that were seen',
      known: 4,
      upstreams: engines(3),
      count: 4,
    },
    {
      name: 'rise with those that are seen',
      known: 4,
      upstreams: engines(6),
      count: 6,
    },
    {
      name: 'do not rise by those of a roll-out',
      known: 4,
      upstreams: engines(8),
      hasRollout: true,
      count: 4,
    },
    {
      name: 'are those of a roll-out if no others are known',
      known: undefined,
      upstreams: engines(8),
      hasRollout: true,
      count: 8,
    },
    {
      name: 'are no reclaimable ones',
      known: undefined,
      upstreams: engines(8, true),
      count: undefined,
    },
  ])('$name', ({known, upstreams, hasRollout = false, count}) => {
    const previous = known === undefined ? {} : {service: known};
    const counts = countLastingEngines(
      previous,
      [SERVICE],
      upstreams,
      () => hasRollout,
    );
    expect(counts['service']).toBe(count);
  });
});
