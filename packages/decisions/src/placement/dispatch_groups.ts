/**
 * How the engines of a service are divided among dispatchers. Answers a fleet
 * in which one small host cannot choose for every request of a service: each
 * group of engines has a dispatcher of its own, a request belongs to a group by
 * the prompt part that it shares with others, and the largest groups get the
 * most requests.
 */
import type {UsableUpstream} from '../upstreams/upstream_list.js';
import {hashBucket, weightedRendezvousOrder} from '../util/rendezvous_hash.js';
import {affinityKey, type PlacementDemand} from './choose_engine.js';

/**
 * Engines that one dispatcher looks at, at most on average. Choosing among 32
 * takes about 0.1 ms on a third of a core, and 32 engines begin some 100
 * requests a second.
 */
const ENGINES_IN_GROUP = 32;

/** Engines of a service that one dispatcher looks after. */
export interface DispatchGroup {
  /** Name of the group, the same at every host. */
  readonly name: string;
  readonly upstreams: readonly UsableUpstream[];
}

/**
 * The groups of `upstreams`. Their number is a power of two: a change of the
 * number of engines seldom changes it, and then splits or joins groups.
 */
export function dispatchGroups(
  service: string,
  upstreams: readonly UsableUpstream[],
): readonly DispatchGroup[] {
  let count = 1;
  while (upstreams.length > count * ENGINES_IN_GROUP) {
    count *= 2;
  }
  if (count === 1) {
    return [{name: service, upstreams}];
  }
  const members = Array.from({length: count}, (): UsableUpstream[] => []);
  for (const upstream of upstreams) {
    members[hashBucket(upstream.upstreamId, count)]?.push(upstream);
  }
  return members.map((group, index) => ({
    name: `${service}/${count}/${index}`,
    upstreams: group,
  }));
}

/**
 * The groups to ask for `demand`, the first one first. Requests that share a
 * prompt part have the same order; the rest spread by the size of the groups.
 */
export function groupsInOrder(
  demand: PlacementDemand,
  groups: readonly DispatchGroup[],
): readonly DispatchGroup[] {
  if (groups.length < 2) {
    return groups;
  }
  return weightedRendezvousOrder(
    affinityKey(demand),
    groups.filter(({upstreams}) => upstreams.length > 0),
    ({name}) => name,
    ({upstreams}) => upstreams.length,
  );
}
