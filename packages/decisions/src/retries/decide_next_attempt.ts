/**
 * What follows the failure of an attempt at an upstream.
 */
import type {ErrorKind} from '../errors/error_kinds.js';
import type {Execution} from '../routing/routing_configuration.js';

/** How an attempt ended without the whole answer. */
export type RoutedAttemptFailure =
  /** No byte was sent: the upstream cannot be reached. */
  | {readonly kind: 'not-sent'; readonly reason: string}
  /** No byte was sent: every connection that this host may have is in use. */
  | {readonly kind: 'no-connection'; readonly reason: string}
  /** The upstream says that it did not and will not run the request. */
  | {readonly kind: 'not-executed'; readonly status: number}
  /** The upstream answered with a failure of its own after it ran. */
  | {readonly kind: 'failed-after-run'; readonly status: number}
  /** No usable answer came; it may have run. */
  | {
      readonly kind: 'lost';
      /** The connection ended, or what came is no answer to the request. */
      readonly cause: 'answer' | 'connection';
      readonly reason: string;
    }
  /** Nothing was heard in time; it may still run. */
  | {readonly kind: 'silent'; readonly reason: string};

/** The state of a request when one of its attempts failed. */
export interface AttemptHistory {
  readonly execution: Execution;
  /** Upstreams that may have run the request. */
  readonly upstreamsReached: number;
  /** Attempts in all, those that were not executed included. */
  readonly attempts: number;
  readonly maximumAttempts: number;
  /** Whether bytes of the answer went to the caller. */
  readonly hasAnswerBegun: boolean;
  readonly millisecondsLeft: number;
}

/** What to do next. */
export type NextAttempt =
  | {readonly kind: 'attempt'; readonly drawsOnBudget: boolean}
  | {readonly kind: 'give-up'; readonly error: ErrorKind};

/** Attempts that were not executed, after which a request is refused. */
const MAXIMUM_UNEXECUTED_ATTEMPTS = 4;

/** Milliseconds below which no attempt can be answered in time. */
const LEAST_MILLISECONDS_FOR_ATTEMPT = 20;

/** Decides by how the last attempt failed and what came before. */
export function decideNextAttempt(
  failure: RoutedAttemptFailure,
  history: AttemptHistory,
): NextAttempt {
  const hasTime = history.millisecondsLeft > LEAST_MILLISECONDS_FOR_ATTEMPT;
  switch (failure.kind) {
    case 'not-sent':
    case 'no-connection':
    case 'not-executed': {
      const mayGoOn =
        hasTime &&
        history.attempts - history.upstreamsReached <
          MAXIMUM_UNEXECUTED_ATTEMPTS;
      return mayGoOn
        ? {kind: 'attempt', drawsOnBudget: failure.kind === 'not-executed'}
        : {kind: 'give-up', error: giveUpError(history, 'overloaded')};
    }
    case 'failed-after-run':
    case 'lost':
    case 'silent':
      return mayRepeat(history) && hasTime
        ? {kind: 'attempt', drawsOnBudget: true}
        : {kind: 'give-up', error: giveUpError(history, 'outcome-unknown')};
  }
}

/** A request that may have run is never refused as if it had not. */
function giveUpError(history: AttemptHistory, otherwise: ErrorKind): ErrorKind {
  return history.upstreamsReached > 0 ? 'outcome-unknown' : otherwise;
}

function mayRepeat(history: AttemptHistory): boolean {
  if (history.upstreamsReached >= history.maximumAttempts) {
    return false;
  }
  switch (history.execution) {
    case 'at-most-once':
      return false;
    case 'repeatable':
      return !history.hasAnswerBegun;
    case 'resumable':
      return true;
  }
}
