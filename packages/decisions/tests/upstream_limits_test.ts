/** Tests of the limits that upstreams name in their answers. */
import {beforeEach, describe, expect, it} from 'vitest';

import {
  type GrantingHost,
  grantShareOf,
  NamedRates,
  UpstreamGrants,
} from '../src/index.js';

const UPSTREAM = {upstreamId: 'i-1', bornAt: 100};
const START = 1_000_000;

let limits: NamedRates;

beforeEach(() => {
  limits = new NamedRates();
});

/** An answer that arrives `after` milliseconds, 50 ms after its request. */
function answer(
  after: number,
  requestsPerSecond?: number,
  sentAfter = after - 50,
): Parameters<NamedRates['recordAnswer']>[1] {
  return {
    requestsPerSecond,
    refusalsPerSecond: undefined,
    sentAt: START + sentAfter,
    answeredAt: START + after,
  };
}

describe('the limit of an upstream', () => {
  it.each<{
    readonly name: string;
    readonly answers: readonly Parameters<NamedRates['recordAnswer']>[1][];
    readonly limit: number | undefined;
  }>([
    {name: 'is that of its answer', answers: [answer(0, 2)], limit: 2},
    {
      name: 'is that of its newest answer',
      answers: [answer(0, 2), answer(10, 5), answer(20, 1)],
      limit: 1,
    },
    {
      name: 'ends with an answer to a request sent since it was named',
      answers: [answer(0, 2), answer(100, undefined, 10)],
      limit: undefined,
    },
    {
      name: 'does not end with an answer to an earlier request',
      answers: [answer(0, 2), answer(100, undefined, -10)],
      limit: 2,
    },
    {
      name: 'returns when it is named again',
      answers: [answer(0, 2), answer(100), answer(200, 3)],
      limit: 3,
    },
    {
      name: 'is never less than one request in ten seconds',
      answers: [answer(0, 0)],
      limit: 0.1,
    },
    {
      name: 'does not bind if it is huge',
      answers: [answer(0, 1_000_000)],
      limit: undefined,
    },
  ])('$name', ({answers, limit}) => {
    answers.forEach(one => limits.recordAnswer(UPSTREAM, one));
    expect(limits.rateOf('requests', UPSTREAM)).toBe(limit);
  });

  it('is not that of its next incarnation', () => {
    limits.recordAnswer(UPSTREAM, answer(0, 2));
    expect(
      limits.rateOf('requests', {...UPSTREAM, bornAt: 200}),
    ).toBeUndefined();
    limits.recordAnswer({...UPSTREAM, bornAt: 200}, answer(10, 7));
    limits.recordAnswer(UPSTREAM, answer(20, 2));
    expect(limits.rateOf('requests', {...UPSTREAM, bornAt: 200})).toBe(7);
  });

  it('is the same at two hosts that exchange their statements in any order', () => {
    const other = new NamedRates();
    limits.recordAnswer(UPSTREAM, answer(0, 2));
    other.recordAnswer(UPSTREAM, answer(30, 4));
    const [own, others] = [limits.known([UPSTREAM]), other.known([UPSTREAM])];
    own.forEach(statement => other.merge(statement));
    others.forEach(statement => limits.merge(statement));
    expect(limits.rateOf('requests', UPSTREAM)).toBe(4);
    expect(other.rateOf('requests', UPSTREAM)).toBe(4);
  });

  it('is remembered for a bounded number of upstreams', () => {
    for (let index = 0; index < 5000; index += 1) {
      limits.recordAnswer(
        {upstreamId: `i-${index}`, bornAt: 1},
        answer(index, 2),
      );
    }
    expect(
      limits.rateOf('requests', {upstreamId: 'i-0', bornAt: 1}),
    ).toBeUndefined();
    expect(limits.rateOf('requests', {upstreamId: 'i-4999', bornAt: 1})).toBe(
      2,
    );
  });
});

describe('the refusals that an upstream tolerates', () => {
  const NEXT = {...UPSTREAM, bornAt: 200};

  function brittleAnswer(
    after: number,
    refusalsPerSecond?: number,
  ): Parameters<NamedRates['recordAnswer']>[1] {
    return {...answer(after), refusalsPerSecond};
  }

  it.each<{
    readonly name: string;
    /** Answers of the next process under the same id. */
    readonly answers: readonly Parameters<NamedRates['recordAnswer']>[1][];
    readonly tolerated: number | undefined;
  }>([
    {
      name: 'are assumed for its next process until that one answers',
      answers: [],
      tolerated: 2,
    },
    {
      name: 'are those that its next process names',
      answers: [brittleAnswer(10, 5)],
      tolerated: 5,
    },
    {
      name: 'do not bind its next process once that one names none',
      answers: [brittleAnswer(10)],
      tolerated: undefined,
    },
  ])('$name', ({answers, tolerated}) => {
    limits.recordAnswer(UPSTREAM, brittleAnswer(0, 2));
    answers.forEach(one => limits.recordAnswer(NEXT, one));
    expect(limits.rateOf('refusals', NEXT)).toBe(tolerated);
  });

  it('are not those of an earlier process under the same id', () => {
    limits.recordAnswer(NEXT, brittleAnswer(0, 2));
    expect(limits.rateOf('refusals', UPSTREAM)).toBeUndefined();
  });
});

describe('the grants for an upstream', () => {
  const WINDOW_MILLISECONDS = 4000;

  /** Takes each grant that is free at once or within 500 ms, for a minute. */
  function useAllGrants(limit: number): readonly number[] {
    const grants = new UpstreamGrants();
    const times: number[] = [];
    for (let now = 0; now < 60_000; now += 10) {
      if (grants.waitFor(UPSTREAM, limit, now) <= 500) {
        times.push(now + grants.take(UPSTREAM, limit, now));
      }
    }
    return times;
  }

  it.each([0.1, 0.5, 1, 5, 50])(
    'keep each window of 4 s within a limit of %d, and use it',
    limit => {
      const times = useAllGrants(limit);
      const most = Math.max(
        ...times.map(
          start =>
            times.filter(
              time => time >= start && time < start + WINDOW_MILLISECONDS,
            ).length,
        ),
      );
      const allowed = (limit * WINDOW_MILLISECONDS) / 1000;
      expect(most).toBeLessThanOrEqual(allowed * 1.0625 + 1);
      expect(times.length).toBeGreaterThan(limit * 60 * 0.95);
    },
  );

  it('do not come in a burst after an idle time', () => {
    const grants = new UpstreamGrants();
    grants.take(UPSTREAM, 4, 0);
    const waits = Array.from({length: 4}, () =>
      grants.take(UPSTREAM, 4, 60_000),
    );
    expect(waits).toEqual([0, 0, 250, 500]);
  });

  it('are those of one incarnation', () => {
    const grants = new UpstreamGrants();
    grants.take(UPSTREAM, 0.1, 0);
    expect(grants.waitFor(UPSTREAM, 0.1, 0)).toBeGreaterThan(0);
    expect(grants.waitFor({...UPSTREAM, bornAt: 200}, 0.1, 0)).toBe(0);
  });

  it('are not held up by a low share that has ended', () => {
    const grants = new UpstreamGrants();
    grants.take(UPSTREAM, 0.025, 0);
    expect(grants.waitFor(UPSTREAM, 0.025, 1000)).toBe(39_000);
    expect(grants.waitFor(UPSTREAM, 5, 1000)).toBe(0);
  });
});

describe('the share of a limit that a host grants', () => {
  it.each<GrantingHost & {readonly name: string; readonly share: number}>([
    {
      name: 'all at a dispatcher that has long been one',
      dispatcherFor: 4000,
      servingHosts: 7,
      knownHosts: 7,
      share: 1,
    },
    {
      name: 'less at a new one, since the one before may have granted all',
      dispatcherFor: 3999,
      servingHosts: 7,
      knownHosts: 7,
      share: 0.4,
    },
    {
      name: 'less at a host that only stands in',
      dispatcherFor: undefined,
      servingHosts: 7,
      knownHosts: 7,
      share: 0.4,
    },
    {
      name: 'that of the hosts that are there, since others may be cut off',
      dispatcherFor: 4000,
      servingHosts: 3,
      knownHosts: 6,
      share: 0.5,
    },
  ])('is $name', ({share, ...host}) => {
    expect(grantShareOf(host)).toBe(share);
  });
});
