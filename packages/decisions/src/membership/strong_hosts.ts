/**
 * The hosts that carry the work of a fleet whose hosts differ in capacity. On a
 * host with a fraction of a core, code that it seldom runs stays uncompiled, and
 * every request waits for it; such hosts are spares.
 */
import type {Member} from './member.js';
import {SMALL_FLEET_MAXIMUM_HOSTS} from './small_fleet.js';

/**
 * Least number of strong hosts. With fewer, the loss of half of the hosts would
 * often leave none of them.
 */
const MINIMUM_STRONG_HOSTS = 5;

/**
 * Share of the capacity of the strongest hosts from which a host counts as
 * strong. Clients and rendezvous hashing load hosts evenly, so that a host with
 * less would be full while the others are half empty.
 */
const STRONG_SHARE = 0.5;

/**
 * Returns the hosts with the most capacity, in the order of `members`. All are
 * returned if the fleet is small, if they are alike, or if a host states no
 * capacity.
 */
export function strongHosts(members: readonly Member[]): readonly Member[] {
  const capacities = members.flatMap(({capacity}) => capacity ?? []);
  if (
    members.length <= SMALL_FLEET_MAXIMUM_HOSTS ||
    capacities.length < members.length
  ) {
    return members;
  }
  const descending = capacities.sort((left, right) => right - left);
  const threshold = (descending[MINIMUM_STRONG_HOSTS - 1] ?? 0) * STRONG_SHARE;
  return members.filter(({capacity = 0}) => capacity >= threshold);
}
