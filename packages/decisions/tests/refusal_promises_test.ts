/**
 * Tests that a status which promises that a request has not run, and never will, is
 * given only to requests of which that is true.
 */
import {describe, expect, it} from 'vitest';

import {
  type AttemptFailure,
  type AttemptHistory,
  decideNextAttempt,
  decideRetry,
  ERROR_KINDS,
  errorRow,
  promisesNotRun,
  type RoutedAttemptFailure,
  ServingError,
} from '../src/index.js';

describe('the status of an error', () => {
  it.each(ERROR_KINDS)(
    '%s promises by default only what its row states',
    kind => {
      const {status, ran} = errorRow(kind);
      expect(promisesNotRun(status) && ran !== 'no').toBe(false);
    },
  );

  it.each(
    ERROR_KINDS.flatMap(kind =>
      (['unknown', 'yes'] as const).map(ran => ({kind, ran})),
    ),
  )('$kind promises nothing if the request has run: $ran', ({kind, ran}) => {
    const error = new ServingError(kind, {ran});
    expect(promisesNotRun(error.status)).toBe(false);
    expect(error.toProblem().status).toBe(error.status);
    expect(error.toProblem().ran).toBe(ran);
  });

  it.each([200, 400, 403, 422, 500, 502, 504])(
    '%s promises nothing',
    status => {
      expect(promisesNotRun(status)).toBe(false);
    },
  );

  it.each([408, 421, 429, 503])('%s is a promise', status => {
    expect(promisesNotRun(status)).toBe(true);
  });
});

/** Each way in which an attempt ends without an answer; true if it may have run. */
const ROUTED_ENDS: readonly (readonly [RoutedAttemptFailure, boolean])[] = [
  [{kind: 'not-sent', cause: 'closed', reason: ''}, false],
  [{kind: 'not-sent', cause: 'connect-failed', reason: ''}, false],
  [{kind: 'not-carried', result: 'declined', reason: ''}, false],
  [{kind: 'no-connection', reason: ''}, false],
  [{kind: 'withheld', reason: ''}, false],
  [{kind: 'replaced', reason: ''}, false],
  [{kind: 'not-executed', status: 503}, false],
  [{kind: 'failed-after-run', status: 500}, true],
  [{kind: 'failed-after-run', status: 504}, true],
  [{kind: 'lost', cause: 'answer', reason: ''}, true],
  [{kind: 'lost', cause: 'connection', reason: ''}, true],
  [{kind: 'lost', cause: 'path', reason: ''}, true],
  [{kind: 'silent', reason: ''}, true],
];

describe('an at-most-once request on the routed interface', () => {
  const history: AttemptHistory = {
    execution: 'at-most-once',
    upstreamsReached: 0,
    attempts: 1,
    maximumAttempts: 3,
    hasAnswerBegun: false,
    canContinue: true,
    millisecondsLeft: 1000,
  };

  it.each(
    ROUTED_ENDS.flatMap(([failure, mayHaveRun]) =>
      [1000, 0].flatMap(millisecondsLeft =>
        [0, 1].map(before => ({failure, mayHaveRun, millisecondsLeft, before})),
      ),
    ),
  )(
    'after $failure.kind with $millisecondsLeft ms left and $before reached before',
    ({failure, mayHaveRun, millisecondsLeft, before}) => {
      const upstreamsReached = before + (mayHaveRun ? 1 : 0);
      const next = decideNextAttempt(failure, {
        ...history,
        millisecondsLeft,
        upstreamsReached,
        attempts: 1 + before,
      });
      if (mayHaveRun) {
        expect(next.kind).toBe('give-up');
      }
      if (next.kind === 'give-up' && upstreamsReached > 0) {
        expect(promisesNotRun(new ServingError(next.error).status)).toBe(false);
      }
    },
  );
});

const ENDS: readonly AttemptFailure['kind'][] = [
  'not-sent',
  'connection-lost',
  'path-lost',
  'refused-by-upstream',
  'upstream-leaving',
  'deadline-passed',
];

describe('a request that may not be repeated on the own interface', () => {
  it.each(
    ENDS.flatMap(kind =>
      [true, false].flatMap(wasSent =>
        [500, 5000].map(now => ({kind, wasSent, now})),
      ),
    ),
  )('after $kind at $now, sent: $wasSent', ({kind, wasSent, now}) => {
    const decision = decideRetry(
      {
        failure: {kind},
        isIdempotent: false,
        attempts: 1,
        maximumAttempts: 3,
        wasSent,
        deadline: 1000,
      },
      now,
    );
    if (wasSent) {
      expect(decision.kind).toBe('give-up');
    }
    if (decision.kind === 'give-up') {
      const error = new ServingError(decision.error, {ran: decision.ran});
      expect(promisesNotRun(error.status) && wasSent).toBe(false);
    }
  });
});
