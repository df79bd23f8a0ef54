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
  readonly upstreams: readonly UsableUpstream[];
}

/**
 * Returns the shards of a service. Hosts that know the same upstreams get the
 * same shards.
 */
export function routedShards(
  service: string,
  upstreams: readonly UsableUpstream[],
): readonly RoutedShard[] {
  const count = shardCount(upstreams.length, MAXIMUM_SHARD_SIZE);
  if (count === 1) {
    return [{id: service, upstreams}];
  }
  return divideByHash(upstreams, ({upstreamId}) => upstreamId, count).map(
    (members, index) => ({
      id: `${service}/${index}of${count}`,
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
    ({id}) => id,
    weightOf,
  );
}
