/**
 * What the outcome of an attempt indicates about its upstream.
 */
import type {UpstreamResult, VersionResult} from '@lacewingwinch/decisions';

import type {AttemptOutcome} from './routed_attempt.js';

/** Status with which an upstream turns a request away for want of room. */
const REFUSAL_STATUS = 503;

/** Lowest status that means a failure of the upstream itself. */
export const FIRST_FAILURE_STATUS = 500;

/**
 * Returns the result for the upstream's health; undefined if the outcome says
 * nothing about it.
 */
export function upstreamResultOf(
  outcome: AttemptOutcome,
): UpstreamResult | undefined {
  switch (outcome.kind) {
    case 'streamed':
      return outcome.isConfirmed ? 'answered' : undefined;
    case 'whole':
      return outcome.head.status >= FIRST_FAILURE_STATUS
        ? 'errored'
        : 'answered';
    case 'cancelled':
      return undefined;
    case 'failed':
      switch (outcome.failure.kind) {
        case 'not-sent':
        case 'not-carried':
          return 'unreachable';
        case 'failed-after-run':
          return 'errored';
        case 'lost':
          return resultOfLoss(outcome.failure.cause);
        case 'silent':
          return 'failed';
        case 'not-executed':
          return outcome.failure.status === REFUSAL_STATUS
            ? 'refused'
            : undefined;
        case 'no-connection':
        case 'withheld':
        case 'replaced':
          return undefined;
      }
  }
}

function resultOfLoss(
  cause: 'answer' | 'connection' | 'path',
): UpstreamResult | undefined {
  switch (cause) {
    case 'answer':
      return 'failed';
    case 'connection':
      return 'disconnected';
    case 'path':
      return undefined;
  }
}

/**
 * Returns what an outcome says of the software version of its upstream; undefined
 * if it says nothing. `hasWaited` states whether the request has waited for its
 * objective.
 */
export function versionOutcomeOf(
  outcome: AttemptOutcome,
  hasWaited: boolean,
): VersionResult['outcome'] | undefined {
  if (outcome.kind === 'cancelled') {
    return hasWaited ? 'unfinished' : undefined;
  }
  switch (upstreamResultOf(outcome)) {
    case 'answered':
      return 'answered';
    case 'errored':
    case 'failed':
    case 'disconnected':
      return 'failed';
    case 'refused':
    case 'unreachable':
    case undefined:
      return undefined;
  }
}
