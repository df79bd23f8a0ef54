/**
 * The decision on what follows a failed attempt.
 */
import type {ErrorKind} from '../errors/error_kinds.js';
import type {Ran} from '../errors/error_kinds.js';

/** Why an attempt ended without an answer. */
export type AttemptFailure =
  /** Nothing was written to the upstream. */
  | {readonly kind: 'not-sent'}
  /** The connection was lost after the first byte was written. */
  | {readonly kind: 'connection-lost'}
  /** The upstream refused and says that it did not run the call. */
  | {readonly kind: 'refused-by-upstream'}
  /** The upstream was announced as leaving; the attempt was cancelled. */
  | {readonly kind: 'upstream-leaving'}
  /** The deadline passed while the attempt ran. */
  | {readonly kind: 'deadline-passed'};

/** What is known of a request when an attempt of it has failed. */
export interface RetryFacts {
  readonly failure: AttemptFailure;
  readonly isIdempotent: boolean;
  /** Attempts so far, the failed one included. */
  readonly attempts: number;
  readonly maximumAttempts: number;
  /** Whether any attempt, this or an earlier one, wrote a byte. */
  readonly wasSent: boolean;
  /** Milliseconds since the epoch. */
  readonly deadline: number;
}

/** What follows a failed attempt. */
export type RetryDecision =
  | {readonly kind: 'give-up'; readonly error: ErrorKind; readonly ran: Ran}
  | {
      readonly kind: 'try-again';
      /** Whether the attempt counts against the retry budget. */
      readonly needsBudget: boolean;
    };

/** Decides what follows a failed attempt. */
export function decideRetry(facts: RetryFacts, now: number): RetryDecision {
  const ran: Ran = facts.wasSent ? 'unknown' : 'no';
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
