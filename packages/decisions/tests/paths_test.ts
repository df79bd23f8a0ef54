/** Tests of the paths from a host to upstreams, and of the ways around them. */
import {describe, expect, it} from 'vitest';

import {
  type CarrierResult,
  Carriers,
  chooseWay,
  FleetHealth,
  isCutOffRequest,
  type Member,
  NO_WAYS_TRIED,
  type ReportedResult,
  type SignsOfLife,
  UpstreamReach,
  upstreamsToTry,
  withoutCutOff,
  withTriedWay,
} from '../src/index.js';

function member(hostId: string, failureDomain = 'north'): Member {
  return {
    hostId,
    failureDomain,
    addresses: {callers: '', peers: '', operators: '', relay: hostId},
    incarnation: 1,
    status: 'serving',
  };
}

/** Something that happened to the path to an upstream, in order. */
type PathEvent = readonly [
  time: number,
  kind: 'lost' | 'reached' | 'unreachable',
  upstreamId: string,
];

function reachAfter(events: readonly PathEvent[]): UpstreamReach {
  const reach = new UpstreamReach();
  for (const [time, kind, upstreamId] of events) {
    switch (kind) {
      case 'lost':
        reach.recordLost(upstreamId, time);
        break;
      case 'reached':
        reach.recordReached(upstreamId, time);
        break;
      case 'unreachable':
        reach.recordUnreachable(upstreamId, time);
    }
  }
  return reach;
}

describe('a host', () => {
  it.each<{
    readonly name: string;
    readonly events: readonly PathEvent[];
    readonly now?: number;
    readonly isCutOff: boolean;
    readonly direct: Readonly<Record<string, boolean>>;
  }>([
    {
      name: 'that has seen nothing',
      events: [],
      isCutOff: false,
      direct: {a: true},
    },
    {
      name: 'that does not reach one upstream',
      events: [
        [0, 'reached', 'b'],
        [10, 'unreachable', 'a'],
      ],
      isCutOff: false,
      direct: {a: false, b: true},
    },
    {
      name: 'that reaches none of two upstreams',
      events: [
        [0, 'reached', 'c'],
        [10, 'unreachable', 'a'],
        [20, 'unreachable', 'b'],
      ],
      isCutOff: true,
      direct: {a: false, c: false},
    },
    {
      name: 'that gets bytes from a third upstream meanwhile',
      events: [
        [10, 'unreachable', 'a'],
        [20, 'unreachable', 'b'],
        [30, 'reached', 'c'],
      ],
      isCutOff: false,
      direct: {a: false, b: false, c: true},
    },
    {
      name: 'whose kept connections live while new ones are refused',
      events: [
        [10, 'unreachable', 'a'],
        [20, 'unreachable', 'b'],
        [30, 'reached', 'a'],
      ],
      isCutOff: false,
      direct: {a: true, b: false},
    },
    {
      name: 'to which two upstreams fail within a moment of a byte',
      events: [
        [900, 'reached', 'c'],
        [950, 'unreachable', 'a'],
        [960, 'unreachable', 'b'],
      ],
      now: 980,
      isCutOff: false,
      direct: {c: true},
    },
    {
      name: 'that tried one upstream twice',
      events: [
        [10, 'unreachable', 'a'],
        [20, 'unreachable', 'a'],
      ],
      isCutOff: false,
      direct: {b: true},
    },
    {
      name: 'that only lost established connections',
      events: [
        [10, 'lost', 'a'],
        [11, 'lost', 'b'],
      ],
      isCutOff: false,
      direct: {a: true},
    },
  ])('$name', ({events, now = 1000, isCutOff, direct}) => {
    const reach = reachAfter(events);
    expect(reach.isCutOff(now)).toBe(isCutOff);
    for (const [upstreamId, isDirect] of Object.entries(direct)) {
      expect(reach.isDirect(upstreamId, now)).toBe(isDirect);
    }
  });

  it('tries failed paths once a second, some at a time, until they work', () => {
    const reach = reachAfter([
      [0, 'unreachable', 'a'],
      [0, 'unreachable', 'b'],
      [0, 'unreachable', 'c'],
    ]);
    expect(reach.takeTrials(2, 999)).toEqual([]);
    expect(reach.takeTrials(2, 1000)).toEqual(['a', 'b']);
    expect(reach.takeTrials(2, 1000)).toEqual(['c']);
    reach.recordReached('a', 1001);
    expect(reach.takeTrials(4, 2000)).toEqual(['b', 'c']);
  });

  it.each<{
    readonly name: string;
    readonly events: readonly PathEvent[];
    readonly isSuspect: boolean;
  }>([
    {
      name: 'one lost connection',
      events: [[990, 'lost', 'a']],
      isSuspect: false,
    },
    {
      name: 'connections to several upstreams lost at once',
      events: [
        [980, 'lost', 'b'],
        [990, 'lost', 'a'],
      ],
      isSuspect: true,
    },
    {
      name: 'several lost, but bytes from another since',
      events: [
        [980, 'lost', 'b'],
        [990, 'lost', 'a'],
        [995, 'reached', 'c'],
      ],
      isSuspect: false,
    },
    {
      name: 'several lost long ago',
      events: [
        [-500, 'lost', 'b'],
        [990, 'lost', 'a'],
      ],
      isSuspect: false,
    },
    {
      name: 'an upstream that is out of reach',
      events: [[900, 'unreachable', 'a']],
      isSuspect: true,
    },
  ])('doubts its links after $name: $isSuspect', ({events, isSuspect}) => {
    expect(reachAfter(events).isPathSuspect('a', 1000)).toBe(isSuspect);
  });
});

describe('carriers', () => {
  const hosts = [member('near'), member('far', 'south')];
  const attempt = {
    upstreamId: 'a',
    failureDomain: 'north',
    triedHosts: new Set<string>(),
  };

  it.each<{
    readonly name: string;
    readonly results: readonly (readonly [string, CarrierResult])[];
    readonly now: number;
    readonly chosen: string | undefined;
    readonly isElsewhere: boolean;
  }>([
    {
      name: 'near first',
      results: [],
      now: 0,
      chosen: 'near',
      isElsewhere: false,
    },
    {
      name: 'not one that did not reach the upstream',
      results: [['near', 'out-of-reach']],
      now: 999,
      chosen: 'far',
      isElsewhere: true,
    },
    {
      name: 'again after a second',
      results: [['near', 'out-of-reach']],
      now: 1000,
      chosen: 'near',
      isElsewhere: false,
    },
    {
      name: 'not one that declined, which says nothing of the upstream',
      results: [['near', 'declined']],
      now: 500,
      chosen: 'far',
      isElsewhere: false,
    },
    {
      name: 'not one that is cut off, which cannot tell',
      results: [['near', 'cut-off']],
      now: 2000,
      chosen: 'far',
      isElsewhere: false,
    },
    {
      name: 'none if all failed',
      results: [
        ['near', 'cut-off'],
        ['far', 'unreachable'],
      ],
      now: 500,
      chosen: undefined,
      isElsewhere: false,
    },
    {
      name: 'one that has carried since',
      results: [
        ['near', 'cut-off'],
        ['near', 'carried'],
      ],
      now: 500,
      chosen: 'near',
      isElsewhere: false,
    },
  ])('$name', ({results, now, chosen, isElsewhere}) => {
    const carriers = new Carriers();
    results.forEach(([host, result]) =>
      carriers.recordResult(host, 'a', result, 0),
    );
    const random = (): number => 0;
    expect(carriers.choose(hosts, attempt, now, random)?.hostId).toBe(chosen);
    expect(carriers.isOutOfReachElsewhere(hosts, 'a', now)).toBe(isElsewhere);
  });

  it('must have an address for attempts of others', () => {
    const addresses = {callers: '', peers: '', operators: ''};
    const old = [{...member('near'), addresses}];
    expect(new Carriers().choose(old, attempt, 0, () => 0)).toBeUndefined();
  });
});

describe('the way of an attempt', () => {
  const near = {kind: 'carried', carrier: member('near')} as const;
  const far = {kind: 'carried', carrier: member('far')} as const;
  const direct = {kind: 'direct'} as const;

  it.each([
    {
      name: 'direct',
      isDirect: true,
      carrier: near.carrier,
      tried: [],
      way: direct,
    },
    {
      name: 'through another host after it',
      isDirect: true,
      carrier: near.carrier,
      tried: [direct],
      way: near,
    },
    {
      name: 'through another host at once if the path has failed',
      isDirect: false,
      carrier: near.carrier,
      tried: [],
      way: near,
    },
    {
      name: 'direct if nobody carries',
      isDirect: false,
      carrier: undefined,
      tried: [],
      way: direct,
    },
    {
      name: 'none if nobody carries after it',
      isDirect: false,
      carrier: undefined,
      tried: [direct],
      way: undefined,
    },
    {
      name: 'no fourth host',
      isDirect: false,
      carrier: far.carrier,
      tried: [
        direct,
        near,
        {kind: 'carried', carrier: member('b')} as const,
        {kind: 'carried', carrier: member('c')} as const,
      ],
      way: undefined,
    },
  ])('$name', ({isDirect, carrier, tried, way}) => {
    expect(
      chooseWay({isDirect, carrier}, tried.reduce(withTriedWay, NO_WAYS_TRIED)),
    ).toEqual(way);
  });
});

describe('silence', () => {
  function signs(
    anyReachedAt: number,
    reachedAt: number,
    triedAt = -Infinity,
  ): SignsOfLife {
    return {anyReachedAt, reachedAt: () => reachedAt, triedAt: () => triedAt};
  }
  const request = {upstreamId: 'a', sentAt: 0};

  it.each([
    {name: 'of all upstreams', known: signs(0, 0), now: 400, tried: ['a']},
    {name: 'too short', known: signs(0, 0), now: 399, tried: []},
    {
      name: 'of one upstream for a second',
      known: signs(990, 0),
      now: 1000,
      tried: [],
    },
    {
      name: 'of one upstream for two seconds',
      known: signs(1990, 0),
      now: 2000,
      tried: ['a'],
    },
    {
      name: 'looked into a moment ago',
      known: signs(0, 0, 1000),
      now: 2000,
      tried: [],
    },
  ])('$name', ({known, now, tried}) => {
    expect(upstreamsToTry([request], known, now)).toEqual(tried);
  });

  it('ends only requests without any byte since the path was sound', () => {
    expect(isCutOffRequest(request, signs(0, 100), 500)).toBe(true);
    expect(isCutOffRequest(request, signs(0, 101), 500)).toBe(false);
    expect(isCutOffRequest({...request, sentAt: 400}, signs(0, 0), 500)).toBe(
      false,
    );
  });
});

describe('the health of an upstream for all hosts', () => {
  it.each<{
    readonly name: string;
    readonly results: readonly (readonly [string, ReportedResult['result']])[];
    readonly isEjected: boolean;
  }>([
    {
      name: 'connections lost by one host',
      results: Array.from({length: 9}, () => ['cut', 'disconnected'] as const),
      isEjected: false,
    },
    {
      name: 'connections lost by two hosts',
      results: [
        ['one', 'disconnected'],
        ['two', 'disconnected'],
        ['one', 'disconnected'],
        ['two', 'disconnected'],
      ],
      isEjected: true,
    },
    {
      name: 'connections lost by two hosts, answers to a third',
      results: [
        ['one', 'disconnected'],
        ['three', 'answered'],
        ['two', 'disconnected'],
        ['three', 'answered'],
        ['one', 'disconnected'],
      ],
      isEjected: false,
    },
    {
      name: 'an upstream that several hosts do not reach',
      results: [['one', 'unreachable']],
      isEjected: true,
    },
    {
      name: 'invalid answers to one host',
      results: [
        ['one', 'failed'],
        ['one', 'failed'],
        ['one', 'failed'],
      ],
      isEjected: true,
    },
  ])('$name: $isEjected', ({results, isEjected}) => {
    const health = new FleetHealth();
    results.forEach(([front, result], index) =>
      health.recordResult({upstreamId: 'a', front, result}, index),
    );
    expect(health.isEjected('a', 100)).toBe(isEjected);
  });
});

describe('the hosts that clients are told', () => {
  it.each([
    {cutOff: ['a'], told: ['b', 'c', 'd', 'e']},
    {cutOff: ['a', 'b'], told: ['c', 'd', 'e']},
    {cutOff: ['a', 'b', 'c'], told: ['a', 'b', 'c', 'd', 'e']},
  ])('are $told if $cutOff are cut off', ({cutOff, told}) => {
    const serving = ['a', 'b', 'c', 'd', 'e'].map(id => member(id));
    expect(
      withoutCutOff(serving, ({hostId}) => cutOff.includes(hostId)).map(
        ({hostId}) => hostId,
      ),
    ).toEqual(told);
  });
});
