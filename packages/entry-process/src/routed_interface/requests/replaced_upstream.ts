/**
 * What follows when another process answers for an upstream: it has started under
 * the id and at the address of the listed one, and its entry is not read yet.
 */
import type {ListedUpstream} from '@lacewingwinch/decisions';

import type {FrontDependencies} from './front_dependencies.js';
import type {AttemptOutcome} from './routed_attempt.js';

/**
 * Age of the list up to which it is not read again, which bounds the reads while
 * all upstreams start anew.
 */
const MAXIMUM_LIST_AGE_MILLISECONDS = 50;

/** An attempt that has ended, and its upstream as it was listed. */
export interface EndedAttemptAt {
  readonly upstream: ListedUpstream;
  readonly outcome: AttemptOutcome;
}

/**
 * Returns whether the upstream may be tried again because its new process is listed;
 * reads the list if another process has answered.
 */
export async function isReplacementListed(
  {
    confirmUpstreams,
    listedUpstream,
  }: Pick<FrontDependencies, 'confirmUpstreams' | 'listedUpstream'>,
  {upstream, outcome}: EndedAttemptAt,
  now: number,
): Promise<boolean> {
  if (outcome.kind !== 'failed' || outcome.failure.kind !== 'replaced') {
    return false;
  }
  await confirmUpstreams(now - MAXIMUM_LIST_AGE_MILLISECONDS);
  const present = listedUpstream(upstream.upstreamId);
  return present !== undefined && present.bornAt !== upstream.bornAt;
}
