/**
 * The decision on what follows a failed attempt of a call.
 */
import type {ErrorKind} from '../errors/error_kinds.js';
import type {RanStatus} from '../errors/error_kinds.js';

/** The reason for which an attempt ended without an answer. */
export type AttemptFailure =
  /** Nothing was written to the upstream. */
  | {readonly kind: 'not-sent'}
  /** The connection was lost after the first byte was written. */
  | {readonly kind: 'connection-lost'}
  /** The link to the upstream fell silent; another host still reached it. */
  | {readonly kind: 'path-lost'}
  /** The upstream refused the call and reported that it did not run it. */
  | {readonly kind: 'refused-by-upstream'}
  /** The attempt was cancelled because the upstream announced its departure. */
  | {readonly kind: 'upstream-leaving'}
  /** The deadline passed during the attempt. */
  | {readonly kind: 'deadline-passed'};

/** The state of a request after one of its attempts has failed. */
export interface RetryFacts {
  readonly failure: AttemptFailure;
  readonly isIdempotent: boolean;
  /** Attempts so far, including the failed one. */
  readonly attempts: number;
  readonly maximumAttempts: number;
  /** Whether this or an earlier attempt wrote a byte to an upstream. */
  readonly wasSent: boolean;
  /** Milliseconds since the epoch. */
  readonly deadline: number;
}

/** What follows a failed attempt. */
export type RetryDecision =
  | {
      readonly kind: 'give-up';
      readonly error: ErrorKind;
      readonly ran: RanStatus;
    }
  | {
      readonly kind: 'try-again';
      /** Whether the next attempt counts against the retry budget. */
      readonly needsBudget: boolean;
    };

/**
 * Decides whether the request is tried again. A request that may have run is
 * repeated only if it is idempotent. The departure of an upstream leads to a
 * new attempt whatever the number of attempts and the retry budget.
 */
export function decideRetry(facts: RetryFacts, now: number): RetryDecision {
  const ran: RanStatus = facts.wasSent ? 'unknown' : 'no';
  if (facts.wasSent && !facts.isIdempotent) {
    return {kind: 'give-up', error: 'outcome-unknown', ran};
  }
  if (facts.failure.kind === 'deadline-passed' || now >= facts.deadline) {
    return {kind: 'give-up', error: 'deadline-passed', ran};
  }
  if (facts.failure.kind === 'upstream-leaving') {
    return {kind: 'try-again', needsBudget: false};
  }
  if (facts.attempts >= facts.maximumAttempts) {
    return {
      kind: 'give-up',
      error: facts.wasSent ? 'upstream-failed' : 'no-upstream',
      ran,
    };
  }
  return {kind: 'try-again', needsBudget: true};
}
