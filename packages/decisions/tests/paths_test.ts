/** Tests of the paths from a host to upstreams. */
import {describe, expect, it} from 'vitest';

import {
  isCutOffRequest,
  type SignsOfLife,
  UpstreamReach,
  upstreamsToTry,
} from '../src/index.js';

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
