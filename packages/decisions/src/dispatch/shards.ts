/**
 * The division of a service's upstreams into shards with one dispatcher each.
 */
import {hashBucket, rendezvousOrder} from '../util/rendezvous_hash.js';
import type {Upstream} from './dispatch_messages.js';

/**
 * Number of upstreams above which a service is divided into several shards.
 * It isn't a strict maximum, because hashing fills the shards unevenly.
 */
export const MAXIMUM_SHARD_SIZE = 32;

/** Maximum average size of a shard, as a share of `MAXIMUM_SHARD_SIZE`. */
const AVERAGE_FILL_SHARE = 0.75;

/** A group of upstreams that has its own dispatcher. */
export interface Shard {
  readonly id: string;
  readonly service: string;
  /** Failure domain of the upstreams; undefined if the shard spans all. */
  readonly failureDomain: string | undefined;
  readonly upstreams: readonly Upstream[];
}

/**
 * Returns the shards of one service. All hosts that know the same `upstreams`
 * get the same result.
 */
export function shardsOf(
  service: string,
  upstreams: readonly Upstream[],
): readonly Shard[] {
  const serviceUpstreams = upstreams.filter(
    upstream => upstream.service === service,
  );
  if (serviceUpstreams.length <= MAXIMUM_SHARD_SIZE) {
    return [
      {
        id: service,
        service,
        failureDomain: undefined,
        upstreams: serviceUpstreams,
      },
    ];
  }
  const failureDomains = [
    ...new Set(serviceUpstreams.map(upstream => upstream.failureDomain)),
  ];
  return failureDomains.sort().flatMap(failureDomain =>
    shardsOfDomain(
      service,
      failureDomain,
      serviceUpstreams.filter(
        upstream => upstream.failureDomain === failureDomain,
      ),
    ),
  );
}

/**
 * Returns the `count` entry hosts from which to request a permit, in order of
 * preference; the first is the dispatcher.
 */
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
  const count = shardCount(
    upstreams.length,
    MAXIMUM_SHARD_SIZE * AVERAGE_FILL_SHARE,
  );
  return divideByHash(upstreams, ({id}) => id, count).map((members, index) => ({
    id: `${service}/${failureDomain}/${index}of${count}`,
    service,
    failureDomain,
    upstreams: members,
  }));
}

/**
 * Returns the number of shards that leaves at most `size` upstreams in each on
 * average. It is a power of two, so that the division rarely changes as the
 * fleet grows.
 */
export function shardCount(upstreams: number, size: number): number {
  return 2 ** Math.ceil(Math.log2(Math.max(1, upstreams / size)));
}

/**
 * Divides `items` into `count` parts by the hash of their IDs, so that all
 * hosts that know the same items get the same parts.
 */
export function divideByHash<T>(
  items: readonly T[],
  idOf: (item: T) => string,
  count: number,
): readonly (readonly T[])[] {
  const parts: T[][] = Array.from({length: count}, () => []);
  for (const item of items) {
    parts[hashBucket(idOf(item), count)]?.push(item);
  }
  return parts;
}
