/** Tests of the limits and budgets that hosts share. */
import {describe, expect, it} from 'vitest';

import {
  type AttemptHistory,
  decideNextAttempt,
  QuotaShare,
  type RoutedAttemptFailure,
  SharedRetryBudget,
  sharingHosts,
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
const LOST: RoutedAttemptFailure = {kind: 'lost', reason: 'reset'};
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
