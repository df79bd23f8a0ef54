/** Tests of the hosts that carry the work of a fleet of unequal hosts. */
import {describe, expect, it} from 'vitest';

import {
  capacityOf,
  HostLoad,
  type Member,
  quotaHolders,
  selectHostsForClients,
  storeReaders,
  strongHosts,
} from '../src/index.js';

const DOMAINS = ['north', 'east', 'south', 'west'];
const MAXIMUM_HOSTS = 64;

/** Number of hosts of each capacity. */
type Fleet = readonly (readonly [
  count: number,
  capacity: number | undefined,
])[];

function membersOf(fleet: Fleet): readonly Member[] {
  return fleet
    .flatMap(([count, capacity]) =>
      Array<number | undefined>(count).fill(capacity),
    )
    .map((capacity, index) => {
      const hostId = `host-${String(index).padStart(3, '0')}`;
      return {
        hostId,
        failureDomain: DOMAINS[index % DOMAINS.length] ?? '',
        addresses: {callers: hostId, peers: hostId, operators: hostId},
        ...(capacity !== undefined && {capacity}),
        incarnation: 1,
        status: 'serving',
      };
    });
}

function idsOf(members: readonly Member[]): readonly string[] {
  return members.map(({hostId}) => hostId);
}

describe('the capacity of a host', () => {
  it.each([
    {
      limitedBy: 'cores',
      cores: 0.5,
      link: 200,
      descriptors: 8000,
      capacity: 0.5,
    },
    {limitedBy: 'link', cores: 1.5, link: 10, descriptors: 8000, capacity: 0.5},
    {
      limitedBy: 'descriptors',
      cores: 1.5,
      link: 200,
      descriptors: 750,
      capacity: 0.5,
    },
    {
      limitedBy: 'cores without a limit of the link',
      cores: 0.5,
      link: undefined,
      descriptors: 8000,
      capacity: 0.5,
    },
  ])('is limited by its $limitedBy', ({cores, link, descriptors, capacity}) => {
    const limits = {
      cores,
      linkMegabitsPerSecond: link,
      fileDescriptors: descriptors,
    };
    expect(capacityOf(limits)).toBeCloseTo(capacity);
  });
});

describe('the strong hosts', () => {
  it.each<{
    readonly name: string;
    readonly fleet: Fleet;
    readonly strong: number;
  }>([
    {
      name: 'all hosts if few are stronger',
      fleet: [
        [2, 1.35],
        [7, 0.3],
      ],
      strong: 9,
    },
    {name: 'all hosts that are alike', fleet: [[77, 0.7]], strong: 77},
    {
      name: 'all hosts if one of them states nothing',
      fleet: [
        [8, 1.35],
        [50, 0.3],
        [1, undefined],
      ],
      strong: 59,
    },
    {
      name: 'those with several times the capacity',
      fleet: [
        [8, 1.35],
        [50, 0.3],
      ],
      strong: 8,
    },
    {
      name: 'those with at least half of the capacity',
      fleet: [
        [8, 1.35],
        [18, 0.8],
        [51, 0.25],
      ],
      strong: 26,
    },
    {
      name: 'one tenth of a large fleet',
      fleet: [
        [18, 1.35],
        [177, 0.3],
      ],
      strong: 18,
    },
    {
      name: 'the remaining ones while they are enough',
      fleet: [
        [3, 1.35],
        [50, 0.3],
      ],
      strong: 3,
    },
    {
      name: 'all hosts while too few strong ones remain',
      fleet: [
        [2, 1.35],
        [50, 0.3],
      ],
      strong: 52,
    },
    {
      name: 'all but the weakest of what remains',
      fleet: [
        [2, 1.35],
        [9, 0.8],
        [51, 0.25],
      ],
      strong: 11,
    },
  ])('are $name', ({fleet, strong}) => {
    expect(strongHosts(membersOf(fleet))).toHaveLength(strong);
  });

  it('read the store and hold the quotas of a large fleet', () => {
    const members = membersOf([
      [50, 0.3],
      [8, 1.35],
    ]);
    const strong = idsOf(strongHosts(members));
    const chosen = [
      ...storeReaders(idsOf(members), strong),
      ...quotaHolders('workspace', idsOf(members), strong),
    ];
    expect(chosen).toHaveLength(10);
    expect(strong).toEqual(expect.arrayContaining(chosen));
  });
});

describe('the hosts for clients', () => {
  it.each<{
    readonly name: string;
    readonly fleet: Fleet;
    readonly first: string;
    readonly count: number;
  }>([
    {
      name: 'every host in their order if few are stronger',
      fleet: [
        [2, 1.35],
        [7, 0.3],
      ],
      first: 'host-000',
      count: 9,
    },
    {
      name: 'the first 64 of many that are alike',
      fleet: [[77, 0.7]],
      first: 'host-000',
      count: 64,
    },
    {
      name: 'the strong ones, the near ones first',
      fleet: [
        [50, 0.3],
        [8, 1.35],
      ],
      first: 'host-051',
      count: 8,
    },
    {
      name: 'no more than fit into a response',
      fleet: [
        [10, 0.3],
        [90, 1.35],
      ],
      first: 'host-011',
      count: 64,
    },
  ])('are $name', ({fleet, first, count}) => {
    const selected = selectHostsForClients(
      membersOf(fleet),
      'west',
      MAXIMUM_HOSTS,
    );
    expect(selected).toHaveLength(count);
    expect(selected[0]?.hostId).toBe(first);
  });

  it.each([
    {busy: 0, count: 8},
    {busy: 3, count: 8},
    {busy: 4, count: 58},
    {busy: 8, count: 58},
  ])('are $count while $busy of 8 strong ones are busy', ({busy, count}) => {
    const members = membersOf([
      [8, 1.35],
      [50, 0.3],
    ]).map((member, index) => ({...member, isBusy: index < busy}));
    const selected = selectHostsForClients(members, 'west', MAXIMUM_HOSTS);
    expect(selected).toHaveLength(count);
    expect(selected.slice(0, 8).map(({capacity}) => capacity)).toEqual(
      Array(8).fill(1.35),
    );
  });

  it.each<{
    readonly name: string;
    readonly isLost: (member: Member) => boolean;
    readonly count: number;
  }>([
    {name: 'one host', isLost: ({hostId}) => hostId === 'host-050', count: 7},
    {
      name: 'a failure domain',
      isLost: ({failureDomain}) => failureDomain === 'west',
      count: 6,
    },
    {
      name: 'most of the strong ones',
      isLost: ({hostId}) => hostId > 'host-051',
      count: 52,
    },
    {
      name: 'all strong ones',
      isLost: ({capacity}) => capacity === 1.35,
      count: 50,
    },
    {name: 'a spare', isLost: ({hostId}) => hostId === 'host-000', count: 8},
  ])(
    'after the loss of $name are $count of those that remain',
    ({isLost, count}) => {
      const remaining = membersOf([
        [50, 0.3],
        [8, 1.35],
      ]).filter(member => !isLost(member));
      const selected = selectHostsForClients(remaining, 'west', MAXIMUM_HOSTS);
      expect(selected).toHaveLength(count);
      expect(remaining).toEqual(expect.arrayContaining([...selected]));
    },
  );
});

describe('a host is busy', () => {
  it.each<{
    readonly name: string;
    readonly utilizations: readonly number[];
    readonly startsAt: number;
    readonly expected: readonly boolean[];
  }>([
    {
      name: 'after two measurements of little idle time in a row',
      utilizations: [0.9, 0.9, 0.9],
      startsAt: 10_000,
      expected: [false, true, true],
    },
    {
      name: 'while requests wait for longer than they take',
      utilizations: [0.65, 0.65, 0.65],
      startsAt: 10_000,
      expected: [false, true, true],
    },
    {
      name: 'not in calm times',
      utilizations: [0.45, 0.55, 0.5, 0.55],
      startsAt: 10_000,
      expected: [false, false, false, false],
    },
    {
      name: 'not after single ones',
      utilizations: [0.95, 0.3, 1, 0.5],
      startsAt: 10_000,
      expected: [false, false, false, false],
    },
    {
      name: 'not while its code is not compiled yet',
      utilizations: [1, 1, 1, 1],
      startsAt: 500,
      expected: [false, false, false, false],
    },
    {
      name: 'for a while after its clients have moved',
      utilizations: [1, 1, ...Array<number>(20).fill(0.1), 0.1],
      startsAt: 10_000,
      expected: [false, ...Array<boolean>(20).fill(true), false, false],
    },
  ])('$name', ({utilizations, startsAt, expected}) => {
    const load = new HostLoad(0);
    const states = utilizations.map((utilization, index) =>
      load.record(utilization, startsAt + index * 500),
    );
    expect(states).toEqual(expected);
  });
});
