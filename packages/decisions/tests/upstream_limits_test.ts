/** Tests of the limits that upstreams name in their answers. */
import {beforeEach, describe, expect, it} from 'vitest';

import {UpstreamLimits} from '../src/index.js';

const UPSTREAM = {upstreamId: 'i-1', bornAt: 100};
const START = 1_000_000;

let limits: UpstreamLimits;

beforeEach(() => {
  limits = new UpstreamLimits();
});

/** An answer that arrives `after` milliseconds, 50 ms after its request. */
function answer(
  after: number,
  requestsPerSecond?: number,
  sentAfter = after - 50,
): Parameters<UpstreamLimits['recordAnswer']>[1] {
  return {
    requestsPerSecond,
    sentAt: START + sentAfter,
    answeredAt: START + after,
  };
}

describe('the limit of an upstream', () => {
  it.each<{
    readonly name: string;
    readonly answers: readonly Parameters<UpstreamLimits['recordAnswer']>[1][];
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
      name: 'comes back when it is named again',
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
    expect(limits.limitOf(UPSTREAM)).toBe(limit);
  });

  it('is not that of its next incarnation', () => {
    limits.recordAnswer(UPSTREAM, answer(0, 2));
    expect(limits.limitOf({...UPSTREAM, bornAt: 200})).toBeUndefined();
    limits.recordAnswer({...UPSTREAM, bornAt: 200}, answer(10, 7));
    limits.recordAnswer(UPSTREAM, answer(20, 2));
    expect(limits.limitOf({...UPSTREAM, bornAt: 200})).toBe(7);
  });

  it('is the same at two hosts that exchange their statements in any order', () => {
    const other = new UpstreamLimits();
    limits.recordAnswer(UPSTREAM, answer(0, 2));
    other.recordAnswer(UPSTREAM, answer(30, 4));
    const [own, others] = [limits.known([UPSTREAM]), other.known([UPSTREAM])];
    own.forEach(statement => other.merge(statement));
    others.forEach(statement => limits.merge(statement));
    expect(limits.limitOf(UPSTREAM)).toBe(4);
    expect(other.limitOf(UPSTREAM)).toBe(4);
  });

  it('is remembered for a bounded number of upstreams', () => {
    for (let index = 0; index < 5000; index += 1) {
      limits.recordAnswer(
        {upstreamId: `i-${index}`, bornAt: 1},
        answer(index, 2),
      );
    }
    expect(limits.limitOf({upstreamId: 'i-0', bornAt: 1})).toBeUndefined();
    expect(limits.limitOf({upstreamId: 'i-4999', bornAt: 1})).toBe(2);
  });
});
