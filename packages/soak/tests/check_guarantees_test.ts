/** Tests of the guarantee check with runs that it accepts or rejects. */
import {describe, expect, it} from 'vitest';

import {
  checkGuarantees,
  type ObservedCall,
  type ObservedRun,
  type Violation,
} from '../src/index.js';

const CALL: ObservedCall = {
  attemptId: 'a',
  kind: 'once',
  key: 'lasting',
  sentAt: 5000,
  status: 200,
  body: 'answer-of-i-1 for a',
  isComplete: true,
  isFramed: true,
  isSigned: true,
  answeredAttemptId: 'a',
};

const EVENTS = [1, 2, 3].map(id => `id: ${id}\ndata: event-${id} for a\n\n`);

const STREAM: ObservedCall = {...CALL, kind: 'stream', body: EVENTS.join('')};

function createRun(
  calls: readonly ObservedCall[],
  changes: Partial<ObservedRun>,
): ObservedRun {
  return {
    calls,
    executedAttemptIds: ['a'],
    reports: [],
    revokedAt: undefined,
    revokedKey: 'revoked',
    revocationMilliseconds: 2500,
    streamEvents: EVENTS.length,
    ...changes,
  };
}

describe('accepts a run', () => {
  it.each<{
    readonly name: string;
    readonly call?: ObservedCall;
    readonly run?: Partial<ObservedRun>;
  }>([
    {name: 'with a complete answer'},
    {name: 'with a complete stream', call: STREAM},
    {
      name: 'with a stream that breaks off and is marked incomplete',
      call: {...STREAM, body: EVENTS[0] ?? '', isComplete: false},
    },
    {
      name: 'with a stream that breaks off and whose end says nothing',
      call: {...STREAM, body: EVENTS[0] ?? '', isFramed: false},
    },
    {
      name: 'with an idempotent request that ran twice',
      call: {...CALL, kind: 'again'},
      run: {executedAttemptIds: ['a', 'a']},
    },
    {
      name: 'with a refusal',
      call: {...CALL, status: 503},
      run: {executedAttemptIds: []},
    },
    {
      name: 'with an unknown outcome',
      call: {...CALL, status: 502},
    },
    {
      name: 'with a revoked key accepted until the revocation deadline',
      call: {...CALL, key: 'revoked'},
      run: {revokedAt: 2500},
    },
    {
      name: 'with the same report sent twice',
      run: {
        reports: [
          {window: 1, counts: '{"one":2}'},
          {window: 1, counts: '{"one":2}'},
        ],
      },
    },
  ])('$name', ({call = CALL, run = {}}) => {
    expect(checkGuarantees(createRun([call], run))).toEqual([]);
  });
});

describe('rejects a run as', () => {
  it.each<{
    readonly guarantee: Violation['guarantee'];
    readonly name: string;
    readonly call?: ObservedCall;
    readonly run?: Partial<ObservedRun>;
  }>([
    {
      guarantee: 'twice',
      name: 'if a non-idempotent request ran twice',
      run: {executedAttemptIds: ['a', 'a']},
    },
    {
      guarantee: 'refused-and-ran',
      name: 'if a refused request ran',
      call: {...CALL, status: 503},
    },
    {
      guarantee: 'answer-of-another',
      name: 'if the answer names another attempt',
      call: {...CALL, answeredAttemptId: 'b'},
    },
    {
      guarantee: 'answer-of-another',
      name: 'if the body belongs to another attempt',
      call: {...CALL, body: 'answer-of-i-1 for b'},
    },
    {
      guarantee: 'unsigned-success',
      name: 'if a success is not signed by an upstream',
      call: {...CALL, isSigned: false},
    },
    {
      guarantee: 'stream-not-whole',
      name: 'if a stream ends early but looks complete',
      call: {...STREAM, body: EVENTS.slice(0, 2).join('')},
    },
    {
      guarantee: 'stream-not-whole',
      name: 'if a stream lacks an event',
      call: {
        ...STREAM,
        body: `${EVENTS[0] ?? ''}${EVENTS[2] ?? ''}`,
        isComplete: false,
      },
    },
    {
      guarantee: 'stream-not-whole',
      name: 'if a stream repeats an event',
      call: {
        ...STREAM,
        body: `${EVENTS[0] ?? ''}${EVENTS[0] ?? ''}`,
        isComplete: false,
      },
    },
    {
      guarantee: 'revoked-key-served',
      name: 'if a key is accepted after the revocation deadline',
      call: {...CALL, key: 'revoked'},
      run: {revokedAt: 2499},
    },
    {
      guarantee: 'two-reports',
      name: 'if two reports for one window differ',
      run: {
        reports: [
          {window: 1, counts: '{"one":2}'},
          {window: 1, counts: '{"one":3}'},
        ],
      },
    },
  ])('"$guarantee" $name', ({guarantee, call = CALL, run = {}}) => {
    const violations = checkGuarantees(createRun([call], run));
    expect(violations.map(violation => violation.guarantee)).toEqual([
      guarantee,
    ]);
  });
});
