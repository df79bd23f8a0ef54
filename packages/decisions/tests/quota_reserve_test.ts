/** Tests of a quota that a workspace exceeds with requests of several sizes. */
import {describe, expect, it} from 'vitest';

import {QuotaReserve, QuotaShare, type WorkspaceQuota} from '../src/index.js';

interface Kind {
  readonly rank: number;
  readonly amount: number;
  /** Milliseconds between two requests. */
  readonly period: number;
}

const QUOTA: WorkspaceQuota = {
  unit: 'tokens',
  perSecond: 20_000,
  burst: 40_000,
  defaultTokens: 200,
};

/** Six times the quota: half of it in large requests. */
const LARGE = {amount: 17_000, period: 283};
const SMALL = {amount: 1300, period: 22};

const DURATION_MILLISECONDS = 20_000;

/** Returns the share of the requests of each kind that are admitted. */
function admittedShares(
  kinds: readonly Kind[],
  isRanked: boolean,
): {readonly shares: readonly number[]; readonly tokens: number} {
  const quotas = new QuotaShare(0, 1);
  const counts = kinds.map(() => ({offered: 0, admitted: 0}));
  for (let now = 0; now < DURATION_MILLISECONDS; now += 1) {
    kinds.forEach(({rank, amount, period}, index) => {
      const count = counts[index];
      if (now % period !== 0 || count === undefined) {
        return;
      }
      count.offered += 1;
      const wait = isRanked
        ? quotas.take('w', QUOTA, amount, 1, now, rank)
        : quotas.take('w', QUOTA, amount, 1, now);
      count.admitted += wait === 0 ? 1 : 0;
    });
  }
  return {
    shares: counts.map(({offered, admitted}) => admitted / offered),
    tokens: kinds.reduce(
      (sum, {amount}, index) => sum + amount * (counts[index]?.admitted ?? 0),
      0,
    ),
  };
}

describe('a workspace that sends six times its quota', () => {
  it.each([
    {
      name: 'gets its large requests refused before its small ones, without ranks',
      large: 0,
      small: 2,
      isRanked: false,
      isLargeFirst: false,
    },
    {
      name: 'gets urgent large requests admitted before small ones',
      large: 0,
      small: 2,
      isRanked: true,
      isLargeFirst: true,
    },
    {
      name: 'gets urgent small requests admitted before large ones',
      large: 2,
      small: 0,
      isRanked: true,
      isLargeFirst: false,
    },
  ])('$name', ({large, small, isRanked, isLargeFirst}) => {
    const {shares, tokens} = admittedShares(
      [
        {...LARGE, rank: large},
        {...SMALL, rank: small},
      ],
      isRanked,
    );
    const [largeShare = 0, smallShare = 0] = shares;
    expect(largeShare > smallShare).toBe(isLargeFirst);
    const seconds = DURATION_MILLISECONDS / 1000;
    const allowed = QUOTA.perSecond * seconds + QUOTA.burst;
    expect(tokens).toBeLessThanOrEqual(allowed);
    expect(tokens).toBeGreaterThan(allowed * 0.9);
  });
});

describe('the amount that is held back for a refused request', () => {
  it.each([
    {name: 'another one of its rank', rank: 1, amount: 10, now: 1, needed: 10},
    {name: 'a less urgent one', rank: 2, amount: 10, now: 1, needed: 110},
    {name: 'a larger one', rank: 1, amount: 200, now: 1, needed: 200},
    {name: 'a more urgent one', rank: 0, amount: 10, now: 1, needed: 10},
    {
      name: 'a less urgent one half a second later',
      rank: 2,
      amount: 10,
      now: 500,
      needed: 10,
    },
  ])('makes $name need $needed', ({rank, amount, now, needed}) => {
    const reserve = new QuotaReserve();
    reserve.recordRefusal(100, 1, 0);
    reserve.recordRefusal(10, 2, 0);
    expect(reserve.neededBy(amount, rank, now)).toBe(needed);
  });

  it('is released when it was taken', () => {
    const reserve = new QuotaReserve();
    reserve.recordRefusal(100, 1, 0);
    reserve.recordTaken(100, 1);
    expect(reserve.neededBy(10, 2, 1)).toBe(10);
  });
});
