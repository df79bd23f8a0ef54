/**
 * The admission of a request at the front: its rule, its key and its quota.
 */
import {
  admitRoutedCall,
  featuresOf,
  type RoutedAdmission,
  type RoutedCallFacts,
  ServingError,
  type WorkspaceQuota,
} from '@lacewingwinch/decisions';
import type {CallHeaders} from '@lacewingwinch/platform';

import type {FrontDependencies} from './front_dependencies.js';

/** Seconds after which a client may try another host. */
const RETRY_ELSEWHERE_SECONDS = 0.05;

/** The state of the host on which admission depends. */
export type AdmittingFront = Pick<
  FrontDependencies,
  | 'clocks'
  | 'configuration'
  | 'isClosing'
  | 'isUpstreamListKnown'
  | 'maximumKeyAge'
>;

/** Returns the refusal of a request whose host stops; it has not run. */
export function stoppingError(): ServingError {
  return new ServingError('not-ready', {
    detail: 'this host is stopping',
    retryAfterSeconds: RETRY_ELSEWHERE_SECONDS,
  });
}

/** Returns the terms on which a request is served; throws its refusal. */
export function admitAtFront(
  front: AdmittingFront,
  facts: RoutedCallFacts,
): RoutedAdmission {
  if (front.isClosing()) {
    throw stoppingError();
  }
  const verdict = admitRoutedCall(
    facts,
    front.configuration(),
    front.maximumKeyAge(),
    front.clocks.suspensionAware(),
  );
  switch (verdict.kind) {
    case 'refused':
      throw new ServingError(verdict.error, {detail: verdict.detail});
    case 'admitted':
      if (!front.isUpstreamListKnown()) {
        throw new ServingError('not-ready', {
          detail: 'the list of upstreams is not known yet',
        });
      }
      return verdict.admission;
  }
}

/** Returns what a request takes from a quota. */
export function quotaAmountOf(
  headers: Pick<
    CallHeaders,
    'hasTokenCounts' | 'maximumAnswerTokens' | 'promptTokens'
  >,
  quota: WorkspaceQuota,
): number {
  const tokens = headers.hasTokenCounts
    ? headers.promptTokens + headers.maximumAnswerTokens
    : quota.defaultTokens;
  return quota.unit === 'tokens' ? tokens : 1;
}

/** Returns the rank by which a quota is taken; undefined if it has none. */
export function quotaRankOf(
  {domainCount}: Pick<FrontDependencies, 'domainCount'>,
  {service, priority}: RoutedAdmission,
): number | undefined {
  return featuresOf(service, domainCount()).hasRankedAdmission
    ? priority
    : undefined;
}

/** Returns the refusal of a request whose quota is used up. */
export function refusalForQuota(
  workspace: string,
  waitMilliseconds: number,
): ServingError {
  return new ServingError('limit-exceeded', {
    detail: `the quota of ${workspace} is used up`,
    retryAfterSeconds: waitMilliseconds / 1000,
  });
}
