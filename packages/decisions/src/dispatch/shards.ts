/**
 * The division of the upstreams of a service into shards, each with one
 * dispatcher.
 */
import {hashBucket, rendezvousOrder} from '../util/rendezvous_hash.js';
import type {Upstream} from './dispatch_messages.js';

/** Upstreams of one shard, at most about. */
export const MAXIMUM_SHARD_SIZE = 32;

/** A group of upstreams with one dispatcher. */
export interface Shard {
  readonly id: string;
  readonly service: string;
  /** The failure domain, or undefined where the shard spans all of them. */
  readonly failureDomain: string | undefined;
  readonly upstreams: readonly Upstream[];
}

/** The shards of one service; the same for everyone who knows `upstreams`. */
export function shardsOf(
  service: string,
  upstreams: readonly Upstream[],
): readonly Shard[] {
  const own = upstreams.filter(upstream => upstream.service === service);
  if (own.length <= MAXIMUM_SHARD_SIZE) {
    return [{id: service, service, failureDomain: undefined, upstreams: own}];
  }
  const domains = [...new Set(own.map(upstream => upstream.failureDomain))];
  return domains.sort().flatMap(domain =>
    shardsOfDomain(
      service,
      domain,
      own.filter(upstream => upstream.failureDomain === domain),
    ),
  );
}

/** The `count` entry hosts to ask for a permit, the dispatcher first. */
export function dispatcherOrder(
  shard: Pick<Shard, 'id'>,
  servingHosts: readonly string[],
  count: number,
): readonly string[] {
  return rendezvousOrder(`dispatcher/${shard.id}`, servingHosts, count);
}

function shardsOfDomain(
  service: string,
  failureDomain: string,
  upstreams: readonly Upstream[],
): readonly Shard[] {
  const count = bucketCount(upstreams.length);
  const buckets: Upstream[][] = Array.from({length: count}, () => []);
  for (const upstream of upstreams) {
    buckets[hashBucket(upstream.id, count)]?.push(upstream);
  }
  return buckets.map((members, index) => ({
    id: `${service}/${failureDomain}/${index}of${count}`,
    service,
    failureDomain,
    upstreams: members,
  }));
}

/** A power of two, so that the division changes seldom as the fleet grows. */
function bucketCount(upstreams: number): number {
  const fewest = Math.max(1, upstreams / (MAXIMUM_SHARD_SIZE * 0.75));
  return 2 ** Math.ceil(Math.log2(fewest));
}
