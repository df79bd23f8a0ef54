/** Tests of the limits and budgets that hosts share. */
import {describe, expect, it} from 'vitest';

import {
  type AttemptHistory,
  decideNextAttempt,
  quotaHolders,
  QuotaShare,
  type RoutedAttemptFailure,
  SharedRetryBudget,
  sharingHosts,
  shuffle,
  type WorkspaceQuota,
} from '../src/index.js';

const HOSTS = 4;
const QUOTA: WorkspaceQuota = {
  unit: 'tokens',
  perSecond: 8000,
  burst: 8000,
  defaultTokens: 200,
};

describe('a part of a quota', () => {
  it('lets no more pass than its rate and burst, whatever is sent', () => {
    const share = new QuotaShare(0, 1);
    let passed = 0;
    for (let now = 0; now < 8000; now += 10) {
      if (share.take('large', QUOTA, 500, HOSTS, now) === 0) {
        passed += 500;
      }
    }
    const part = (QUOTA.perSecond * 8 + QUOTA.burst) / HOSTS;
    expect(passed).toBeLessThanOrEqual(part + 500);
    expect(passed).toBeGreaterThan(part - 1000);
  });

  it('lets a request pass that is larger than the whole part, then waits', () => {
    const share = new QuotaShare(0, 1);
    expect(share.take('large', QUOTA, 6000, HOSTS, 0)).toBe(0);
    expect(share.take('large', QUOTA, 1, HOSTS, 0)).toBeGreaterThan(2000 - 1);
    expect(share.take('large', QUOTA, 1, HOSTS, 2001)).toBe(0);
  });

  it('gives what another host takes, and has it no longer', () => {
    const giver = new QuotaShare(0, 1);
    const taker = new QuotaShare(0, 0);
    expect(taker.take('large', QUOTA, 1000, HOSTS, 0)).toBeGreaterThan(0);
    const given = giver.give('large', QUOTA, 1000, HOSTS, 0);
    taker.receive('large', given);
    expect(given).toBe(1000);
    expect(taker.take('large', QUOTA, 1000, HOSTS, 0)).toBe(0);
    expect(giver.levelOf('large')).toBe(1000);
  });

  it('keeps what it was given beyond its own part', () => {
    const share = new QuotaShare(0, 1);
    share.take('large', QUOTA, 0, HOSTS, 0);
    share.receive('large', 5000);
    expect(share.take('large', QUOTA, 7000, HOSTS, 100)).toBe(0);
  });

  it('gets back what did not run', () => {
    const share = new QuotaShare(0, 1);
    share.take('large', QUOTA, 2000, HOSTS, 0);
    share.giveBack('large', 2000);
    expect(share.take('large', QUOTA, 2000, HOSTS, 0)).toBe(0);
  });

  it.each([
    {known: 1, age: 0, hosts: 12},
    {known: 40, age: 0, hosts: 40},
    {known: 1, age: 3000, hosts: 1},
    {known: 9, age: 3000, hosts: 9},
  ])('is one in $hosts when $known are known after $age ms', row => {
    expect(sharingHosts(row.known, row.age)).toBe(row.hosts);
  });
});

describe('the holders of a quota', () => {
  const FLEET = Array.from({length: 87}, (_, index) => `host-${index}`);

  it.each([
    {hosts: 9, holders: 9},
    {hosts: 16, holders: 16},
    {hosts: 30, holders: 5},
    {hosts: 87, holders: 5},
  ])('are $holders of $hosts hosts', ({hosts, holders}) => {
    const chosen = quotaHolders('large', FLEET.slice(0, hosts));
    expect(new Set(chosen).size).toBe(holders);
  });

  it('are others for another workspace, and the same at every host', () => {
    const holders = quotaHolders('large', FLEET);
    expect(quotaHolders('large', [...FLEET].reverse())).toEqual(holders);
    expect(quotaHolders('small', FLEET)).not.toEqual(holders);
  });

  it('stay but for those that left', () => {
    const before = quotaHolders('large', FLEET);
    const after = quotaHolders(
      'large',
      FLEET.filter(host => host !== before[0]),
    );
    expect(after.slice(0, 4)).toEqual(before.slice(1));
  });

  /**
   * One workspace sends prompts of 1,000 to 40,000 tokens at random hosts of a
   * fleet of 87, `load` times its quota for 8 s. A part lets one prompt pass
   * that is larger than itself: the more parts, the further that exceeds the
   * quota.
   */
  it.each([
    {parts: 87, load: 0.5, isExceeded: false, mostRefused: 0.1},
    {parts: 87, load: 8, isExceeded: true, mostRefused: 1},
    {parts: 5, load: 0.5, isExceeded: false, mostRefused: 0.1},
    {parts: 5, load: 8, isExceeded: false, mostRefused: 1},
  ])('with $parts parts bound a load of $load quotas', row => {
    const {passed, refused} = sendToParts(row.parts, row.load);
    expect(passed > ALLOWED_IN_WINDOW).toBe(row.isExceeded);
    expect(refused).toBeLessThanOrEqual(row.mostRefused);
  });
});

const LARGE_QUOTA: WorkspaceQuota = {
  unit: 'tokens',
  perSecond: 50_000,
  burst: 100_000,
  defaultTokens: 200,
};
const WINDOW_SECONDS = 8;
const MOST_TOKENS = 40_000;

/** What may pass in a window, a slack of 190,000 and 10% more included. */
const ALLOWED_IN_WINDOW =
  (LARGE_QUOTA.perSecond * WINDOW_SECONDS + LARGE_QUOTA.burst) * 1.1 + 190_000;

/** Sends for one window; `refused` is the share of the requests. */
function sendToParts(
  parts: number,
  load: number,
): {readonly passed: number; readonly refused: number} {
  const shares = Array.from({length: parts}, () => new QuotaShare(190_000, 1));
  const random = randomNumbers(1);
  const meanTokens = (1000 + MOST_TOKENS) / 2;
  const requests = Math.round(
    (load * LARGE_QUOTA.perSecond * WINDOW_SECONDS) / meanTokens,
  );
  let refused = 0;
  let passed = 0;
  for (let index = 0; index < requests; index += 1) {
    const now = (index / requests) * WINDOW_SECONDS * 1000;
    const amount = 1000 + random() * (MOST_TOKENS - 1000);
    const taker = shuffle(shares, random)
      .slice(0, 4)
      .find(
        share => share.take('large', LARGE_QUOTA, amount, parts, now) === 0,
      );
    passed += taker === undefined ? 0 : amount;
    refused += taker === undefined ? 1 / requests : 0;
  }
  return {passed, refused};
}

/** Numbers from 0 to 1 that are the same in every run. */
function randomNumbers(seed: number): () => number {
  let state = seed;
  return () => {
    state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0;
    return state / 2 ** 32;
  };
}

describe('a part of a retry budget', () => {
  it('stays below its share of the requests and of the slack', () => {
    const budget = new SharedRetryBudget({
      ratio: 0.2,
      slack: 40,
      windowMilliseconds: 10_000,
    });
    let taken = 0;
    for (let now = 0; now < 10_000; now += 100) {
      budget.addRequest(now);
      taken += budget.take(HOSTS, now) ? 1 : 0;
    }
    expect(taken).toBeLessThanOrEqual(0.2 * 100 + 40 / HOSTS);
    expect(taken).toBeGreaterThan(20);
    expect(budget.take(HOSTS, 25_000)).toBe(true);
  });
});

const HISTORY: AttemptHistory = {
  execution: 'repeatable',
  upstreamsReached: 1,
  attempts: 1,
  maximumAttempts: 2,
  hasAnswerBegun: false,
  millisecondsLeft: 1000,
};
const LOST: RoutedAttemptFailure = {
  kind: 'lost',
  cause: 'connection',
  reason: 'reset',
};
const NOT_EXECUTED: RoutedAttemptFailure = {kind: 'not-executed', status: 503};
const NOT_SENT: RoutedAttemptFailure = {kind: 'not-sent', reason: 'refused'};

describe('after a failed attempt', () => {
  it.each<{
    readonly name: string;
    readonly failure: RoutedAttemptFailure;
    readonly history: Partial<AttemptHistory>;
    readonly next: string;
  }>([
    {
      name: 'a repeatable request is sent again',
      failure: LOST,
      history: {},
      next: 'attempt',
    },
    {
      name: 'a repeatable request stops at its attempts',
      failure: LOST,
      history: {upstreamsReached: 2},
      next: 'outcome-unknown',
    },
    {
      name: 'what may run once is not sent again once it was sent',
      failure: LOST,
      history: {execution: 'at-most-once', maximumAttempts: 3},
      next: 'outcome-unknown',
    },
    {
      name: 'what may run once is sent again when no byte was sent',
      failure: NOT_SENT,
      history: {execution: 'at-most-once', upstreamsReached: 0},
      next: 'attempt',
    },
    {
      name: 'what may run once is sent again when it was not executed',
      failure: NOT_EXECUTED,
      history: {execution: 'at-most-once', upstreamsReached: 0},
      next: 'attempt',
    },
    {
      name: 'a request that nobody executes is refused in the end',
      failure: NOT_EXECUTED,
      history: {upstreamsReached: 0, attempts: 4},
      next: 'overloaded',
    },
    {
      name: 'a request that ran before is not refused as if it had not',
      failure: NOT_EXECUTED,
      history: {upstreamsReached: 1, attempts: 5},
      next: 'outcome-unknown',
    },
    {
      name: 'a stream that may be resumed goes on after its answer began',
      failure: LOST,
      history: {execution: 'resumable', hasAnswerBegun: true},
      next: 'attempt',
    },
    {
      name: 'another answer does not go on after it began',
      failure: LOST,
      history: {hasAnswerBegun: true},
      next: 'outcome-unknown',
    },
    {
      name: 'nothing is sent without time left',
      failure: NOT_SENT,
      history: {upstreamsReached: 0, millisecondsLeft: 10},
      next: 'overloaded',
    },
  ])('$name', ({failure, history, next}) => {
    const decided = decideNextAttempt(failure, {...HISTORY, ...history});
    expect(decided.kind === 'attempt' ? 'attempt' : decided.error).toBe(next);
  });
});
