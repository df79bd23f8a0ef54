/**
 * The choice of the hosts that read from the store. To keep the number of reads
 * independent of the size of a large fleet, a few hosts read and the others get
 * the state from one of them.
 */
import {rendezvousOrder} from '../util/rendezvous_hash.js';
import {SMALL_FLEET_MAXIMUM_HOSTS} from './small_fleet.js';

/**
 * Number of readers in a large fleet. More than half of them can fail at once
 * while the rest still answer. Each reader answers each of the others about
 * three times a second.
 */
const READERS_IN_LARGE_FLEET = 5;

/**
 * Returns the serving hosts that read the store. In a large fleet, they are
 * selected among `candidates`.
 */
export function storeReaders(
  serving: readonly string[],
  candidates = serving,
): readonly string[] {
  return serving.length <= SMALL_FLEET_MAXIMUM_HOSTS
    ? serving
    : rendezvousOrder('store-readers', candidates, READERS_IN_LARGE_FLEET);
}

/** Returns the `readers` for `hostId` in order of preference. */
export function readersFor(
  hostId: string,
  readers: readonly string[],
): readonly string[] {
  return rendezvousOrder(`store-readers/${hostId}`, readers);
}
