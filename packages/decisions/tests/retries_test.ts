/** Tests of retries, quarantine, shared limits and stream resumption. */
import {describe, expect, it} from 'vitest';

import {
  chooseResumption,
  decideRetry,
  LimitShares,
  Quarantine,
  RetryBudget,
  type RetryFacts,
  SHARED_POLICY,
  type Suspicion,
} from '../src/index.js';

const FACTS: RetryFacts = {
  failure: {kind: 'connection-lost'},
  isIdempotent: true,
  attempts: 1,
  maximumAttempts: 3,
  wasSent: true,
  deadline: 1000,
};

describe('the decision after a failed attempt', () => {
  it.each([
    {name: 'an idempotent call', changes: {}, expected: 'try-again'},
    {
      name: 'a call that was sent and is not idempotent',
      changes: {isIdempotent: false},
      expected: 'outcome-unknown unknown',
    },
    {
      name: 'a call that was not sent and is not idempotent',
      changes: {
        isIdempotent: false,
        wasSent: false,
        failure: {kind: 'not-sent'},
      },
      expected: 'try-again',
    },
    {
      name: 'the last attempt, sent',
      changes: {attempts: 3},
      expected: 'upstream-failed unknown',
    },
    {
      name: 'the last attempt, never sent',
      changes: {attempts: 3, wasSent: false, failure: {kind: 'not-sent'}},
      expected: 'no-upstream no',
    },
    {
      name: 'a deadline that passed before the send',
      changes: {deadline: 0, wasSent: false},
      expected: 'deadline-passed no',
    },
    {
      name: 'a deadline that passed after the send',
      changes: {deadline: 0},
      expected: 'deadline-passed unknown',
    },
    {
      name: 'a leaving upstream, whatever the number of attempts',
      changes: {attempts: 9, failure: {kind: 'upstream-leaving'}},
      expected: 'try-again',
    },
  ] as const)('for $name is $expected', ({changes, expected}) => {
    const decision = decideRetry({...FACTS, ...changes}, 500);
    const text =
      decision.kind === 'try-again'
        ? decision.kind
        : `${decision.error} ${decision.ran}`;
    expect(text).toBe(expected);
  });
});

describe('the retry budget', () => {
  it.each([
    {first: 0, allowed: 5},
    {first: 100, allowed: 10},
    {first: 1000, allowed: 100},
  ])(
    'allows $allowed retries after $first first attempts',
    ({first, allowed}) => {
      const budget = new RetryBudget();
      for (let count = 0; count < first; count += 1) {
        budget.addFirstAttempt(0);
      }
      let taken = 0;
      while (budget.takeRetry(0.1, 5, 0)) {
        taken += 1;
      }
      expect(taken).toBe(allowed);
    },
  );
});

describe('the quarantine verdict', () => {
  const WINDOW = 60_000;
  const cases: readonly {
    readonly name: string;
    readonly crashes: readonly (readonly [string, boolean])[];
    readonly verdict: string;
  }[] = [
    {name: 'no crash', crashes: [], verdict: 'clear'},
    {name: 'one crash', crashes: [['a', false]], verdict: 'run-alone'},
    {
      name: 'two crashes, the second alone',
      crashes: [
        ['a', false],
        ['b', true],
      ],
      verdict: 'quarantined',
    },
    {
      name: 'two crashes, none of them alone',
      crashes: [
        ['a', false],
        ['b', false],
      ],
      verdict: 'run-alone',
    },
    {
      name: 'two crashes of one upstream',
      crashes: [
        ['a', true],
        ['a', true],
      ],
      verdict: 'run-alone',
    },
  ];

  it.each(cases)('on content with $name is $verdict', ({crashes, verdict}) => {
    const quarantine = new Quarantine();
    crashes.forEach(([upstreamId, wasAlone]) =>
      quarantine.recordCrash(upstreamId, 'f', wasAlone, 1000),
    );
    expect(quarantine.verdict('f', WINDOW, 2000).kind).toBe(verdict);
    const otherQuarantine = new Quarantine();
    [...quarantine.list()]
      .reverse()
      .forEach(suspicion => otherQuarantine.merge(suspicion));
    quarantine.list().forEach(suspicion => otherQuarantine.merge(suspicion));
    expect(otherQuarantine.verdict('f', WINDOW, 2000).kind).toBe(verdict);
  });

  it.each([
    {upstreams: ['a', 'b'], verdict: 'run-alone'},
    {upstreams: ['a', 'b', 'b'], verdict: 'run-alone'},
    {upstreams: ['a', 'b', 'c'], verdict: 'quarantined'},
  ])(
    'on content that shares upstreams and crashed $upstreams is $verdict',
    ({upstreams, verdict}) => {
      const quarantine = new Quarantine(SHARED_POLICY);
      upstreams.forEach((upstreamId, index) =>
        quarantine.recordCrash(upstreamId, 'f', false, 1000 + index),
      );
      expect(quarantine.verdict('f', WINDOW, 2000).kind).toBe(verdict);
    },
  );

  it('ignores crashes before the last complete run', () => {
    const quarantine = new Quarantine(SHARED_POLICY);
    const suspicions: Suspicion[] = [];
    ['a', 'b'].forEach(id =>
      suspicions.push(quarantine.recordCrash(id, 'f', false, 1)),
    );
    const cleared = quarantine.clear('f', 2);
    suspicions.push(quarantine.recordCrash('c', 'f', false, 3));
    expect(quarantine.verdict('f', WINDOW, 4).kind).toBe('run-alone');
    const otherQuarantine = new Quarantine(SHARED_POLICY);
    suspicions.forEach(suspicion => otherQuarantine.merge(suspicion));
    if (cleared !== undefined) {
      otherQuarantine.merge(cleared);
    }
    expect(otherQuarantine.find('f')).toEqual(quarantine.find('f'));
  });

  it('expires after the quarantine time', () => {
    const quarantine = new Quarantine();
    quarantine.recordCrash('a', 'f', false, 0);
    quarantine.recordCrash('b', 'f', true, 0);
    expect(quarantine.verdict('f', WINDOW, WINDOW - 1).kind).toBe(
      'quarantined',
    );
    expect(quarantine.verdict('f', WINDOW, WINDOW).kind).toBe('run-alone');
  });

  it('is lifted by a complete run without other requests', () => {
    const quarantine = new Quarantine();
    quarantine.recordCrash('a', 'f', false, 0);
    const otherQuarantine = new Quarantine();
    quarantine.list().forEach(suspicion => otherQuarantine.merge(suspicion));
    quarantine.clear('f', 1);
    quarantine.list().forEach(suspicion => otherQuarantine.merge(suspicion));
    expect(quarantine.verdict('f', WINDOW, 2).kind).toBe('clear');
    expect(otherQuarantine.verdict('f', WINDOW, 2).kind).toBe('clear');
    otherQuarantine.recordCrash('b', 'f', false, 3);
    expect(otherQuarantine.verdict('f', WINDOW, 4).kind).toBe('run-alone');
  });
});

describe('a shared limit', () => {
  const LIMIT = 80;
  const HOSTS = 8;

  function takeAll(shares: LimitShares, now: number): number {
    let taken = 0;
    while (shares.take('w', LIMIT, HOSTS, now)) {
      taken += 1;
    }
    return taken;
  }

  it('gives each host an equal part', () => {
    const shares = new LimitShares();
    expect(takeAll(shares, 0)).toBe(10);
    expect(takeAll(shares, 500)).toBe(5);
    expect(takeAll(shares, 60_000)).toBe(10);
  });

  it('removes tokens before it sends them', () => {
    const sender = new LimitShares();
    sender.take('w', LIMIT, HOSTS, 0);
    const transfers = sender.give('w', new Map([['b', 5]]), LIMIT, HOSTS, 0);
    const sent = transfers.reduce((sum, {tokens}) => sum + tokens, 0);
    expect(sent + takeAll(sender, 0)).toBeLessThanOrEqual(9);
    expect(sent).toBeGreaterThan(8);
  });

  it('never holds more than a burst', () => {
    const shares = new LimitShares();
    takeAll(shares, 0);
    shares.receive('w', 1000, LIMIT);
    expect(takeAll(shares, 0)).toBe(LIMIT);
  });
});

describe('the resumption of a stream', () => {
  const facts = {
    promptTokens: 1000,
    producedTokens: 200,
    isSourceReachable: true,
    canMoveCache: true,
    noticeMillisecondsLeft: 1500,
    cacheTokensPerMillisecond: 20,
  };
  it.each([
    {name: 'enough time', changes: {}, way: 'import-cache'},
    {
      name: 'too little time',
      changes: {noticeMillisecondsLeft: 60},
      way: 'prefill',
    },
    {
      name: 'an unreachable source',
      changes: {isSourceReachable: false},
      way: 'prefill',
    },
    {
      name: 'no cache transfer',
      changes: {canMoveCache: false},
      way: 'prefill',
    },
    {
      name: 'no output and no cache transfer',
      changes: {canMoveCache: false, producedTokens: 0},
      way: 'restart',
    },
    {
      name: 'too few tokens to transfer',
      changes: {promptTokens: 10, producedTokens: 5},
      way: 'prefill',
    },
  ])('with $name is $way', ({changes, way}) => {
    expect(chooseResumption({...facts, ...changes}).kind).toBe(way);
  });
});
