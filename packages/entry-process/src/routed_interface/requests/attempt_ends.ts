/**
 * What the end of an attempt means for its request and for the way that it took.
 */
import type {
  CarrierResult,
  RoutedAttemptFailure,
} from '@lacewingwinch/decisions';

import type {AttemptOutcome} from './routed_attempt.js';

/** Returns whether an attempt may take another way to the same upstream. */
export function canTakeAnotherWay(outcome: AttemptOutcome): boolean {
  return (
    isUnsent(outcome) &&
    outcome.kind === 'failed' &&
    !(outcome.failure.kind === 'not-sent' && outcome.failure.cause === 'closed')
  );
}

/** Returns whether the upstream has received no byte of an attempt. */
function isUnsent(outcome: AttemptOutcome): boolean {
  return (
    outcome.kind === 'failed' &&
    (outcome.failure.kind === 'not-sent' ||
      outcome.failure.kind === 'not-carried')
  );
}

/** Returns what became of an attempt that another host was to carry. */
export function carrierResultFrom(
  failure: RoutedAttemptFailure | undefined,
): CarrierResult {
  if (failure?.kind === 'not-carried') {
    return failure.result;
  }
  return failure?.kind === 'not-sent' ? 'unreachable' : 'carried';
}

/** Returns whether the upstream certainly did not run an attempt. */
export function hasNotRun(outcome: AttemptOutcome): boolean {
  return (
    outcome.kind === 'failed' &&
    (outcome.failure.kind === 'not-executed' || isUnsent(outcome))
  );
}
