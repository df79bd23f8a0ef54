/**
 * The division of the upstreams of a service into shards, each with one
 * dispatcher.
 */
import {hashBucket, rendezvousOrder} from '../util/rendezvous_hash.js';
import type {Upstream} from './dispatch_messages.js';

/** Upstreams of one shard, at most about. */
export const MAXIMUM_SHARD_SIZE = 32;

/** Share of the size up to which shards are filled on average. */
const FILLED_SHARE = 0.75;

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
  const count = shardCount(upstreams.length, MAXIMUM_SHARD_SIZE * FILLED_SHARE);
  return divideByHash(upstreams, ({id}) => id, count).map((members, index) => ({
    id: `${service}/${failureDomain}/${index}of${count}`,
    service,
    failureDomain,
    upstreams: members,
  }));
}

/**
 * Shards of `upstreams` with `size` in each at most, on average: a power of two,
 * so that the division changes seldom as the fleet grows.
 */
export function shardCount(upstreams: number, size: number): number {
  return 2 ** Math.ceil(Math.log2(Math.max(1, upstreams / size)));
}

/** `items` in `count` parts, the same for everyone who knows them. */
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
