/**
 * The division of the engines of a service among dispatchers. In a large fleet,
 * one small host cannot place every request of a service. A request is assigned
 * to a shard by its shared prompt part, and shards get requests in proportion
 * to their size or capacity. A shard spans all failure domains, so that the reclaim of one
 * domain makes every shard smaller but removes none.
 */
import {
  divideByHash,
  MAXIMUM_SHARD_SIZE,
  shardCount,
} from '../dispatch/shards.js';
import type {UsableUpstream} from '../upstreams/listed_upstream.js';
import {weightedRendezvousOrder} from '../util/rendezvous_hash.js';
import {affinityKey, type PlacementDemand} from './choose_engine.js';

/** The engines of a service that one dispatcher manages. */
export interface RoutedShard {
  /** Equal at all hosts that know the same number of shards. */
  readonly id: string;
  /** Name by which requests are assigned to the shard. */
  readonly name: string;
  readonly upstreams: readonly UsableUpstream[];
}

/** Ending of the service in the ids of shards of versions on trial. */
const TRIAL_SUFFIX = '@trial';

/**
 * Returns the shards of a service. Hosts that know the same upstreams get the
 * same shards. Upstreams of the versions `trialVersions` have shards of their own,
 * so that those of the others stay as they are during a roll-out.
 */
export function routedShards(
  service: string,
  upstreams: readonly UsableUpstream[],
  trialVersions: readonly string[] = [],
): readonly RoutedShard[] {
  const isOnTrial = ({softwareVersion}: UsableUpstream): boolean =>
    trialVersions.includes(softwareVersion);
  const tried = upstreams.filter(isOnTrial);
  return tried.length === 0
    ? divideIntoShards(service, '', upstreams)
    : [
        ...divideIntoShards(
          service,
          '',
          upstreams.filter(upstream => !isOnTrial(upstream)),
        ),
        ...divideIntoShards(service, TRIAL_SUFFIX, tried),
      ];
}

function divideIntoShards(
  service: string,
  suffix: string,
  upstreams: readonly UsableUpstream[],
): readonly RoutedShard[] {
  const count = shardCount(upstreams.length, MAXIMUM_SHARD_SIZE);
  if (count === 1) {
    return [{id: `${service}${suffix}`, name: service, upstreams}];
  }
  return divideByHash(upstreams, ({upstreamId}) => upstreamId, count).map(
    (members, index) => ({
      id: `${service}${suffix}/${index}of${count}`,
      name: `${service}/${index}of${count}`,
      upstreams: members,
    }),
  );
}

/**
 * Returns the shards to query for a request, in order of preference. Of several
 * shards, empty ones are left out. Requests that share a prompt part have the
 * same order; the others are spread over the shards in proportion to their
 * weights, by default their sizes.
 */
export function shardsInOrder(
  demand: PlacementDemand,
  shards: readonly RoutedShard[],
  weightOf: (shard: RoutedShard) => number = ({upstreams}) => upstreams.length,
): readonly RoutedShard[] {
  if (shards.length < 2) {
    return shards;
  }
  return weightedRendezvousOrder(
    affinityKey(demand),
    shards.filter(({upstreams}) => upstreams.length > 0),
    ({name}) => name,
    weightOf,
  );
}
