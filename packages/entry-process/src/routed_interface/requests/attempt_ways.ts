/**
 * What the end of an attempt shows of the way that it took and of its upstream.
 */
import type {UpstreamResult, Way} from '@lacewingwinch/decisions';
import type {Metrics} from '@lacewingwinch/observability';

import type {UpstreamPaths} from '../../paths/upstream_paths.js';
import {carrierResultFrom} from './attempt_ends.js';
import type {AttemptOutcome} from './routed_attempt.js';
import {upstreamResultOf} from './upstream_result.js';

/** An attempt over one way that has ended. */
export interface EndedAttempt {
  readonly way: Way;
  readonly upstreamId: string;
  readonly outcome: AttemptOutcome;
}

/** Records what an attempt showed of the way that it took. */
export function recordWay(
  {paths, metrics}: {readonly paths: UpstreamPaths; readonly metrics: Metrics},
  {way, upstreamId, outcome}: EndedAttempt,
): void {
  const failure = outcome.kind === 'failed' ? outcome.failure : undefined;
  switch (way.kind) {
    case 'direct':
      if (failure?.kind === 'not-sent' && failure.cause === 'connect-failed') {
        paths.recordUnreachable(upstreamId, failure.reason);
      }
      if (failure?.kind === 'lost' && failure.cause === 'connection') {
        paths.recordLost(upstreamId);
      }
      return;
    case 'carried': {
      const result = carrierResultFrom(failure);
      paths.recordCarried(way.carrier.hostId, upstreamId, result);
      metrics.relayedAttempts.inc({result});
    }
  }
}

/** Returns what an outcome says of the upstream itself. */
export function healthResultOf(
  paths: UpstreamPaths,
  upstreamId: string,
  outcome: AttemptOutcome,
): UpstreamResult | undefined {
  const result = upstreamResultOf(outcome);
  return result === 'unreachable' && !paths.isUnreachableForAll(upstreamId)
    ? undefined
    : result;
}
