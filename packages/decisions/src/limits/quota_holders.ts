/**
 * The choice of the hosts that hold the parts of a workspace's quota. A part
 * admits a request that is larger than the part itself. With eighty parts, a
 * workspace that sends many times its quota would therefore exceed the quota
 * many times over. In a large fleet, only a few hosts hold the parts of one
 * workspace, and other hosts hold those of the next.
 */
import {SMALL_FLEET_MAXIMUM_HOSTS} from '../membership/small_fleet.js';
import {rendezvousOrder} from '../util/rendezvous_hash.js';

/**
 * Number of hosts that hold one quota in a large fleet. While one of them is
 * down, a fifth of the quota is not available. With more holders, large prompts
 * have to wait for parts that are smaller than the prompts (192 of 4,462 in the
 * scenario rothro-ops-grown quiet-1).
 */
const HOLDER_COUNT = 5;

/**
 * Returns the hosts that hold a part of the quota of `workspace`. In a large
 * fleet, they are selected among `candidates`.
 */
export function quotaHolders(
  workspace: string,
  sharingHosts: readonly string[],
  candidates = sharingHosts,
): readonly string[] {
  return sharingHosts.length <= SMALL_FLEET_MAXIMUM_HOSTS
    ? sharingHosts
    : rendezvousOrder(`quota/${workspace}`, candidates, HOLDER_COUNT);
}
