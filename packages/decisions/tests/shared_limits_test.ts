/** Tests of the limits and budgets that are shared among hosts. */
import {describe, expect, it} from 'vitest';

import {
  type AttemptHistory,
  countSharingHosts,
  decideNextAttempt,
  quotaHolders,
  QuotaShare,
  type RoutedAttemptFailure,
  SharedRetryBudget,
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
  it('admits no more than its rate and burst, whatever the load', () => {
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

  it('admits one request larger than its capacity, then delays others', () => {
    const share = new QuotaShare(0, 1);
    expect(share.take('large', QUOTA, 6000, HOSTS, 0)).toBe(0);
    expect(share.take('large', QUOTA, 1, HOSTS, 0)).toBeGreaterThan(2000 - 1);
    expect(share.take('large', QUOTA, 1, HOSTS, 2001)).toBe(0);
  });

  it('no longer has the amount that it gave to another host', () => {
    const giver = new QuotaShare(0, 1);
    const taker = new QuotaShare(0, 0);
    expect(taker.take('large', QUOTA, 1000, HOSTS, 0)).toBeGreaterThan(0);
    const given = giver.give('large', QUOTA, 1000, HOSTS, 0);
    taker.receive('large', given);
    expect(given).toBe(1000);
    expect(taker.take('large', QUOTA, 1000, HOSTS, 0)).toBe(0);
    expect(giver.levelOf('large')).toBe(1000);
  });

  it('keeps a received amount beyond its own capacity', () => {
    const share = new QuotaShare(0, 1);
    share.take('large', QUOTA, 0, HOSTS, 0);
    share.receive('large', 5000);
    expect(share.take('large', QUOTA, 7000, HOSTS, 100)).toBe(0);
  });

  it('gets back the amount of a request that did not run', () => {
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
  ])('is one of $hosts when $known hosts are known after $age ms', row => {
    expect(countSharingHosts(row.known, row.age)).toBe(row.hosts);
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

  it('differ between workspaces and are the same on every host', () => {
    const holders = quotaHolders('large', FLEET);
    expect(quotaHolders('large', [...FLEET].reverse())).toEqual(holders);
    expect(quotaHolders('small', FLEET)).not.toEqual(holders);
  });

  it('stay the same except for hosts that left', () => {
    const before = quotaHolders('large', FLEET);
    const after = quotaHolders(
      'large',
      FLEET.filter(host => host !== before[0]),
    );
    expect(after.slice(0, 4)).toEqual(before.slice(1));
  });

  /**
   * One workspace sends prompts of 1,000 to 40,000 tokens to random hosts of a
   * fleet of 87 for 8 s, in total `load` times its quota. Each part admits one
   * prompt that is larger than the part, so that more parts exceed the quota
   * further.
   */
  it.each([
    {parts: 87, load: 0.5, isExceeded: false, maximumRefused: 0.1},
    {parts: 87, load: 8, isExceeded: true, maximumRefused: 1},
    {parts: 5, load: 0.5, isExceeded: false, maximumRefused: 0.1},
    {parts: 5, load: 8, isExceeded: false, maximumRefused: 1},
  ])(
    'with $parts parts and $load times the quota: exceeded is $isExceeded',
    row => {
      const {admitted, refused} = sendToParts(row.parts, row.load);
      expect(admitted > MAXIMUM_ADMITTED_IN_WINDOW).toBe(row.isExceeded);
      expect(refused).toBeLessThanOrEqual(row.maximumRefused);
    },
  );
});

const LARGE_QUOTA: WorkspaceQuota = {
  unit: 'tokens',
  perSecond: 50_000,
  burst: 100_000,
  defaultTokens: 200,
};
const WINDOW_SECONDS = 8;
const MAXIMUM_TOKENS = 40_000;

/** Maximum amount in a window: the quota plus 10% and a slack of 190,000. */
const MAXIMUM_ADMITTED_IN_WINDOW =
  (LARGE_QUOTA.perSecond * WINDOW_SECONDS + LARGE_QUOTA.burst) * 1.1 + 190_000;

/** Sends requests for one window; `refused` is their refused share. */
function sendToParts(
  parts: number,
  load: number,
): {readonly admitted: number; readonly refused: number} {
  const shares = Array.from({length: parts}, () => new QuotaShare(190_000, 1));
  const random = randomNumbers(1);
  const meanTokens = (1000 + MAXIMUM_TOKENS) / 2;
  const requests = Math.round(
    (load * LARGE_QUOTA.perSecond * WINDOW_SECONDS) / meanTokens,
  );
  let refused = 0;
  let admitted = 0;
  for (let index = 0; index < requests; index += 1) {
    const now = (index / requests) * WINDOW_SECONDS * 1000;
    const amount = 1000 + random() * (MAXIMUM_TOKENS - 1000);
    const admittingShare = shuffle(shares, random)
      .slice(0, 4)
      .find(
        share => share.take('large', LARGE_QUOTA, amount, parts, now) === 0,
      );
    admitted += admittingShare === undefined ? 0 : amount;
    refused += admittingShare === undefined ? 1 / requests : 0;
  }
  return {admitted, refused};
}

/** Returns a source of numbers from 0 to 1 that are the same in every run. */
function randomNumbers(seed: number): () => number {
  let state = seed;
  return () => {
    state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0;
    return state / 2 ** 32;
  };
}

describe('a part of a retry budget', () => {
  const BOUNDS = {ratio: 0.2, slack: 40, windowMilliseconds: 10_000};

  it('stays below its share of the requests and of the slack', () => {
    const budget = new SharedRetryBudget(BOUNDS, {
      startedAt: 0,
      isFirstStart: true,
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

  it.each([
    {name: 'at the first start', isFirstStart: true, now: 1000, taken: 16},
    {name: 'after another process', isFirstStart: false, now: 1000, taken: 0},
    {
      name: 'until the retries of that process no longer count',
      isFirstStart: false,
      now: 10_999,
      taken: 0,
    },
    {
      name: 'when they no longer count',
      isFirstStart: false,
      now: 11_000,
      taken: 16,
    },
  ])('has $taken retries without requests $name', testCase => {
    const {isFirstStart, now, taken} = testCase;
    const budget = new SharedRetryBudget(BOUNDS, {
      startedAt: 1000,
      isFirstStart,
    });
    const retries = Array.from({length: 40}, () => budget.take(2, now));
    expect(retries.filter(Boolean).length).toBe(taken);
  });

  it('has fewer retries for the requests of a process that follows another one', () => {
    const budget = new SharedRetryBudget(BOUNDS, {
      startedAt: 0,
      isFirstStart: false,
    });
    Array.from({length: 100}, () => budget.addRequest(0));
    const retries = Array.from({length: 40}, () => budget.take(2, 0));
    expect(retries.filter(Boolean).length).toBe(4);
  });
});

const HISTORY: AttemptHistory = {
  execution: 'repeatable',
  upstreamsReached: 1,
  attempts: 1,
  maximumAttempts: 2,
  hasAnswerBegun: false,
  canContinue: true,
  millisecondsLeft: 1000,
};
const LOST: RoutedAttemptFailure = {
  kind: 'lost',
  cause: 'connection',
  reason: 'reset',
};
const NOT_EXECUTED: RoutedAttemptFailure = {kind: 'not-executed', status: 503};
const NOT_SENT: RoutedAttemptFailure = {
  kind: 'not-sent',
  cause: 'connect-failed',
  reason: 'refused',
};

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
      name: 'a repeatable request is not sent again after its last attempt',
      failure: LOST,
      history: {upstreamsReached: 2},
      next: 'outcome-unknown',
    },
    {
      name: 'an at-most-once request is not sent again after it was sent',
      failure: LOST,
      history: {execution: 'at-most-once', maximumAttempts: 3},
      next: 'outcome-unknown',
    },
    {
      name: 'an at-most-once request is sent again when no byte was sent',
      failure: NOT_SENT,
      history: {execution: 'at-most-once', upstreamsReached: 0},
      next: 'attempt',
    },
    {
      name: 'an at-most-once request is sent again when it was not executed',
      failure: NOT_EXECUTED,
      history: {execution: 'at-most-once', upstreamsReached: 0},
      next: 'attempt',
    },
    {
      name: 'a request that no upstream executes is eventually refused',
      failure: NOT_EXECUTED,
      history: {upstreamsReached: 0, attempts: 4},
      next: 'overloaded',
    },
    {
      name: 'a request that may have run is not refused as not executed',
      failure: NOT_EXECUTED,
      history: {upstreamsReached: 1, attempts: 5},
      next: 'outcome-unknown',
    },
    {
      name: 'a resumable stream continues after its answer has begun',
      failure: LOST,
      history: {execution: 'resumable', hasAnswerBegun: true},
      next: 'attempt',
    },
    {
      name: 'a resumable stream whose events have no ids does not continue',
      failure: LOST,
      history: {
        execution: 'resumable',
        hasAnswerBegun: true,
        canContinue: false,
      },
      next: 'outcome-unknown',
    },
    {
      name: 'any other answer does not continue after it has begun',
      failure: LOST,
      history: {hasAnswerBegun: true},
      next: 'outcome-unknown',
    },
    {
      name: 'nothing is sent when no time is left',
      failure: NOT_SENT,
      history: {upstreamsReached: 0, millisecondsLeft: 10},
      next: 'overloaded',
    },
  ])('$name', ({failure, history, next}) => {
    const decided = decideNextAttempt(failure, {...HISTORY, ...history});
    expect(decided.kind === 'attempt' ? 'attempt' : decided.error).toBe(next);
  });
});
