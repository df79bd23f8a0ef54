/**
 * Which hosts read what the store publishes. Answers a fleet whose reads would
 * grow with its size: a few hosts read, the rest ask one of them.
 */
import {rendezvousOrder} from '../util/rendezvous_hash.js';
import {FEW_HOSTS} from './few_hosts.js';

/**
 * Readers in a larger fleet. More than half of them may die at once while the
 * rest still answer; each answers the others about three times a second.
 */
const READERS = 5;

/** The hosts of `serving` that read the store. */
export function storeReaders(serving: readonly string[]): readonly string[] {
  return serving.length <= FEW_HOSTS
    ? serving
    : rendezvousOrder('store-readers', serving, READERS);
}

/** The readers that `hostId` asks, the first one first. */
export function readersFor(
  hostId: string,
  serving: readonly string[],
): readonly string[] {
  return rendezvousOrder(`store-readers/${hostId}`, storeReaders(serving));
}
