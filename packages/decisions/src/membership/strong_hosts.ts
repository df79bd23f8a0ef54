/**
 * The hosts that carry the work of a fleet whose hosts differ in capacity. On a
 * host with a fraction of a core, code that it seldom runs stays uncompiled, and
 * every request waits for it; such hosts are spares.
 */
import type {Member} from './member.js';

/**
 * Least number of strong hosts. A host that has just started knows few of the
 * others, and many hosts can be lost together for a second; the spares do not
 * take over the work for all hosts then, and give it back.
 */
const MINIMUM_STRONG_HOSTS = 3;

/**
 * Share of the capacity of the strongest hosts from which a host counts as
 * strong. Clients and rendezvous hashing load hosts evenly, so that a host with
 * less would be full while the others are half empty.
 */
const STRONG_SHARE = 0.5;

/**
 * Returns the hosts with the most capacity, in the order of `members`. All are
 * returned if they are alike, or if one of them states no capacity.
 */
export function strongHosts(members: readonly Member[]): readonly Member[] {
  const capacities = members.flatMap(({capacity}) => capacity ?? []);
  if (capacities.length < members.length) {
    return members;
  }
  const descending = capacities.sort((left, right) => right - left);
  const threshold = (descending[MINIMUM_STRONG_HOSTS - 1] ?? 0) * STRONG_SHARE;
  return members.filter(({capacity = 0}) => capacity >= threshold);
}
