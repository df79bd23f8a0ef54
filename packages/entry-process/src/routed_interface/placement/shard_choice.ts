/**
 * The choice in one shard by what this host knows; placing and explaining a
 * request share it.
 */
import type {
  AdmissionRefusal,
  AdmissionTerms,
  AdmittedChoice,
  PlacementDemand,
  PlacementGrants,
  UsableUpstream,
} from '@lacewingwinch/decisions';
import type {PlacementRequest} from '@lacewingwinch/entry-hosts';

import type {LimitedGrants, LimitedUpstreams} from './limited_upstreams.js';
import type {PlacementCandidates} from './placement_candidates.js';

/** Chooses one of the candidates, unless the request is refused. */
export type CandidateChooser = (
  request: PlacementRequest,
  candidates: readonly UsableUpstream[],
  grants: PlacementGrants,
) => AdmissionRefusal | AdmittedChoice | undefined;

/** Result of a choice by what this host knows. */
export type OwnChoice =
  | AdmittedChoice
  | AdmissionRefusal
  /** Every upstream has as many requests as the limit that it named allows. */
  | {readonly kind: 'limited'; readonly milliseconds: number}
  | {readonly kind: 'none'};

/** A request in one shard, and the host that has it. */
export interface OwnRequest {
  readonly service: string;
  readonly shardId: string;
  readonly hostId: string;
  readonly failureDomain: string;
  readonly demand: PlacementDemand;
  readonly tried: ReadonlySet<string>;
  readonly terms: AdmissionTerms | undefined;
}

/** Returns the request that a host makes for its own client. */
export function ownPlacementRequest(
  {service, shardId, hostId, failureDomain, demand, tried, terms}: OwnRequest,
  candidates: PlacementCandidates,
): PlacementRequest {
  return {
    service,
    shardId,
    front: hostId,
    failureDomain,
    demand,
    excluded: [...tried, ...candidates.locallyExcludedIds(service)],
    ...(terms !== undefined && {terms}),
  };
}

/** Chooses among the upstreams for which this host has grants. */
export function chooseWithGrants(
  request: PlacementRequest,
  tried: ReadonlySet<string>,
  candidates: PlacementCandidates,
  grants: LimitedGrants,
  choose: CandidateChooser,
): OwnChoice {
  const filter = {...request, tried};
  const withRoom = candidates.select(filter, upstream =>
    grants.hasRoom(upstream),
  );
  const result = choose(request, withRoom, grants);
  if (result !== undefined) {
    return result;
  }
  const waits = candidates
    .select(filter)
    .map(upstream => grants.waitOf(upstream));
  return waits.length === 0
    ? {kind: 'none'}
    : {kind: 'limited', milliseconds: Math.min(...waits)};
}

/** Chooses among the upstreams that need no grant. */
export function chooseWithoutGrants(
  request: PlacementRequest,
  tried: ReadonlySet<string>,
  candidates: PlacementCandidates,
  limited: LimitedUpstreams,
  choose: CandidateChooser,
): AdmissionRefusal | AdmittedChoice | undefined {
  const withoutLimit = candidates.select(
    {...request, tried},
    upstream => !limited.isLimited(upstream),
  );
  return choose(request, withoutLimit, limited.grantsOf(undefined));
}
