/**
 * How the engines of a service are divided among dispatchers. Answers a fleet
 * in which one small host cannot choose for every request of a service. A
 * request belongs to a shard by the prompt part that it shares with others, and
 * the largest shards get the most requests. A shard spans all failure domains:
 * the reclaim of one of them makes every shard smaller and none disappear.
 */
import {
  divideByHash,
  MAXIMUM_SHARD_SIZE,
  shardCount,
} from '../dispatch/shards.js';
import type {UsableUpstream} from '../upstreams/upstream_list.js';
import {weightedRendezvousOrder} from '../util/rendezvous_hash.js';
import {affinityKey, type PlacementDemand} from './choose_engine.js';

/** Engines of a service that one dispatcher looks after. */
export interface RoutedShard {
  /** The same at every host. */
  readonly id: string;
  readonly upstreams: readonly UsableUpstream[];
}

/** The shards of a service; the same for everyone who knows `upstreams`. */
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
 * The shards to ask for `demand`, the first one first. Requests that share a
 * prompt part have the same order; the rest spread by the size of the shards.
 */
export function shardsInOrder(
  demand: PlacementDemand,
  shards: readonly RoutedShard[],
): readonly RoutedShard[] {
  if (shards.length < 2) {
    return shards;
  }
  return weightedRendezvousOrder(
    affinityKey(demand),
    shards.filter(({upstreams}) => upstreams.length > 0),
    ({id}) => id,
    ({upstreams}) => upstreams.length,
  );
}
