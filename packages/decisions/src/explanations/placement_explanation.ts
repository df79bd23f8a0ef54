/**
 * The explanation of where a request would be placed: the upstreams that a host
 * considers, best first, and why it leaves out the others.
 */
import type {KnownReturn} from '../admission/return_places.js';
import type {WeighedEngine} from '../placement/weighed_engines.js';
import type {UsableUpstream} from '../upstreams/listed_upstream.js';

/** An upstream at which a request may be placed, as one host knows it. */
export interface ConsideredUpstream {
  readonly upstreamId: string;
  readonly failureDomain: string;
  readonly softwareVersion: string;
  /** Requests in progress. */
  readonly running: number;
  /** Age of the load in milliseconds; absent where it is not known. */
  readonly loadAgeMilliseconds?: number;
  readonly waitMilliseconds: number;
  readonly readMilliseconds: number;
  readonly tokensPerMillisecond: number;
  readonly cachedTokens: number;
  /** Expected milliseconds until the first output. */
  readonly estimateMilliseconds: number;
  /** What the choice goes by. */
  readonly costMilliseconds: number;
  /** Share of such requests that are placed here, 0 to 1. */
  readonly share: number;
  /**
   * Host that would carry the request, because the explaining one does not reach
   * the upstream; absent if it does.
   */
  readonly carriedBy?: string;
}

/** Why an upstream is left out. */
export type ExclusionReason =
  /** It is leaving, or the list says so. */
  | 'leaving'
  /** It has announced a pause to this host. */
  | 'paused'
  /** Its software version may not run the request. */
  | 'version'
  /** The results of all hosts eject it. */
  | 'ejected-for-all'
  /** The results of this host eject it. */
  | 'ejected-here'
  /** It has no grant left by the limit that it named. */
  | 'limit'
  /** It is brittle and has no room. */
  | 'brittle'
  /** Another shard has it. */
  | 'other-shard';

/** An upstream that is left out. */
export interface ExcludedUpstream {
  readonly upstreamId: string;
  readonly reason: ExclusionReason;
  /** Milliseconds until that ends; absent where it is not known. */
  readonly milliseconds?: number;
}

/** Whose decision on a shard is explained. */
export type DecidingHost =
  /** This host dispatches the shard. */
  | {readonly kind: 'dispatcher'}
  /**
   * Another host dispatches the shard. The explanation is what this host would
   * decide if that one did not answer.
   */
  | {
      readonly kind: 'other-host';
      readonly hostId: string;
      /** Whether it is called at present; a silent one is not, for a while. */
      readonly isCalled: boolean;
    }
  /** No host is known that dispatches the shard. */
  | {readonly kind: 'none'};

/** What would become of a request in one shard, or in all of them. */
export type ExplainedResult =
  | {
      readonly kind: 'placed';
      readonly upstreamId: string;
      readonly estimateMilliseconds: number;
      /** Standard error; absent where it is not known. */
      readonly errorMilliseconds?: number;
      /** Rank at the upstream; absent if it is that of the request. */
      readonly promotedRank?: number;
      readonly returned?: KnownReturn;
    }
  | {
      readonly kind: 'refused';
      readonly reason: string;
      readonly retryAfterMilliseconds: number;
    }
  | {readonly kind: 'limited'; readonly milliseconds: number}
  | {readonly kind: 'none'};

/** The decision in one shard. */
export interface ShardExplanation {
  readonly shardId: string;
  readonly decidedBy: DecidingHost;
  /** Best first. */
  readonly considered: readonly ConsideredUpstream[];
  readonly excluded: readonly ExcludedUpstream[];
  readonly result: ExplainedResult;
}

/** The decision in the shards that are tried. */
export interface PlacementExplanation {
  readonly shards: readonly ShardExplanation[];
  readonly result: ExplainedResult;
}

/** Returns the upstreams that were weighed, best first. */
export function describeConsidered(
  engines: readonly WeighedEngine[],
): readonly ConsideredUpstream[] {
  return [...engines]
    .sort(
      (left, right) =>
        right.share - left.share ||
        left.costMilliseconds - right.costMilliseconds,
    )
    .map(({choice, ...weighed}) => {
      const {upstream, cachedTokens, estimateMilliseconds} = choice;
      const {upstreamId, failureDomain, softwareVersion} = upstream;
      const {knowledgeAgeMilliseconds: age} = choice;
      return {
        upstreamId,
        failureDomain,
        softwareVersion,
        cachedTokens,
        estimateMilliseconds,
        ...weighed,
        ...(age !== undefined && {loadAgeMilliseconds: age}),
      };
    });
}

/** What a host knows of the reasons to leave an upstream out. */
export interface ExclusionFacts {
  /** Time from which it accepts requests; `Infinity` if it is leaving. */
  readonly acceptsFrom: (upstream: UsableUpstream) => number;
  readonly hasVersion: (upstream: UsableUpstream) => boolean;
  readonly isEjectedForAll: (upstream: UsableUpstream) => boolean;
  readonly isEjectedHere: (upstream: UsableUpstream) => boolean;
  /** Returns the milliseconds until it has a grant. */
  readonly grantWaitOf: (upstream: UsableUpstream) => number;
  readonly isBrittle: (upstream: UsableUpstream) => boolean;
  /** Whether the shard that is explained has it. */
  readonly isInShard: (upstream: UsableUpstream) => boolean;
}

/** Returns why an upstream is left out. */
export function describeExclusion(
  upstream: UsableUpstream,
  facts: ExclusionFacts,
  now: number,
): ExcludedUpstream {
  const {upstreamId} = upstream;
  const acceptsFrom = facts.acceptsFrom(upstream);
  if (acceptsFrom === Infinity) {
    return {upstreamId, reason: 'leaving'};
  }
  if (acceptsFrom > now) {
    return {upstreamId, reason: 'paused', milliseconds: acceptsFrom - now};
  }
  if (!facts.hasVersion(upstream)) {
    return {upstreamId, reason: 'version'};
  }
  if (!facts.isInShard(upstream)) {
    return {upstreamId, reason: 'other-shard'};
  }
  if (facts.isEjectedForAll(upstream)) {
    return {upstreamId, reason: 'ejected-for-all'};
  }
  if (facts.isEjectedHere(upstream)) {
    return {upstreamId, reason: 'ejected-here'};
  }
  const milliseconds = facts.grantWaitOf(upstream);
  const reason = facts.isBrittle(upstream) ? 'brittle' : 'limit';
  return {upstreamId, reason, milliseconds};
}
