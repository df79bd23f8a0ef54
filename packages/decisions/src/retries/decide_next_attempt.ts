/**
 * The decision on what follows a failed attempt of a routed request.
 */
import type {ErrorKind} from '../errors/error_kinds.js';
import type {CarrierResult} from '../paths/carriers.js';
import type {Execution} from '../routing/routing_configuration.js';

/** How an attempt ended without a complete answer. */
export type RoutedAttemptFailure =
  /** No byte reached the upstream. */
  | {
      readonly kind: 'not-sent';
      /** Whether no connection could be made, or it closed just before. */
      readonly cause: 'closed' | 'connect-failed';
      readonly reason: string;
    }
  /** Another host was to carry the request and sent no byte of it. */
  | {
      readonly kind: 'not-carried';
      readonly result: CarrierResult;
      readonly reason: string;
    }
  /** No byte was sent because all connections of this host are in use. */
  | {readonly kind: 'no-connection'; readonly reason: string}
  /** No byte was sent because the upstream had stopped accepting requests. */
  | {readonly kind: 'withheld'; readonly reason: string}
  /** No byte was sent because another process answers for the upstream. */
  | {readonly kind: 'replaced'; readonly reason: string}
  /** The upstream reported that it did not and will not run the request. */
  | {readonly kind: 'not-executed'; readonly status: number}
  /** The upstream ran the request and answered with an error status. */
  | {readonly kind: 'failed-after-run'; readonly status: number}
  /** There was no usable answer; the request may have run. */
  | {
      readonly kind: 'lost';
      /**
       * Whether the answer was invalid, the connection ended, or the link to the
       * upstream fell silent while another host still reached it.
       */
      readonly cause: 'answer' | 'connection' | 'path';
      readonly reason: string;
    }
  /** There was no answer in time; the request may still be running. */
  | {readonly kind: 'silent'; readonly reason: string};

/** The state of a request after one of its attempts has failed. */
export interface AttemptHistory {
  readonly execution: Execution;
  /** Upstreams that may have run the request. */
  readonly upstreamsReached: number;
  /** All attempts, including those that were not executed. */
  readonly attempts: number;
  readonly maximumAttempts: number;
  /** Whether the client has received any byte of the answer. */
  readonly hasAnswerBegun: boolean;
  /** Whether a stream can continue after what the client has received. */
  readonly canContinue: boolean;
  readonly millisecondsLeft: number;
}

/** What follows a failed attempt. */
export type NextAttempt =
  | {readonly kind: 'attempt'; readonly drawsOnBudget: boolean}
  | {readonly kind: 'give-up'; readonly error: ErrorKind};

/** Number of attempts without execution after which a request is refused. */
const MAXIMUM_UNEXECUTED_ATTEMPTS = 4;

/** Least time left in which an attempt can still be answered. */
const MINIMUM_ATTEMPT_MILLISECONDS = 20;

/**
 * Decides by the failure of the last attempt and the history of the request. A
 * new attempt after one that sent no byte does not draw on the retry budget.
 */
export function decideNextAttempt(
  failure: RoutedAttemptFailure,
  history: AttemptHistory,
): NextAttempt {
  const hasTime = history.millisecondsLeft > MINIMUM_ATTEMPT_MILLISECONDS;
  switch (failure.kind) {
    case 'not-sent':
    case 'not-carried':
    case 'no-connection':
    case 'withheld':
    case 'replaced':
    case 'not-executed': {
      const canTryAgain =
        hasTime &&
        history.attempts - history.upstreamsReached <
          MAXIMUM_UNEXECUTED_ATTEMPTS;
      return canTryAgain
        ? {kind: 'attempt', drawsOnBudget: failure.kind === 'not-executed'}
        : {kind: 'give-up', error: errorOnGivingUp(history, 'overloaded')};
    }
    case 'failed-after-run':
    case 'lost':
    case 'silent':
      return canRepeat(history) && hasTime
        ? {kind: 'attempt', drawsOnBudget: true}
        : {kind: 'give-up', error: errorOnGivingUp(history, 'outcome-unknown')};
  }
}

/**
 * Returns the error for the client. For a request that may have run, it never
 * states that the request was not executed.
 */
function errorOnGivingUp(
  history: AttemptHistory,
  errorIfNotRun: ErrorKind,
): ErrorKind {
  return history.upstreamsReached > 0 ? 'outcome-unknown' : errorIfNotRun;
}

function canRepeat(history: AttemptHistory): boolean {
  if (history.upstreamsReached >= history.maximumAttempts) {
    return false;
  }
  switch (history.execution) {
    case 'at-most-once':
      return false;
    case 'repeatable':
      return !history.hasAnswerBegun;
    case 'resumable':
      return history.canContinue;
  }
}
