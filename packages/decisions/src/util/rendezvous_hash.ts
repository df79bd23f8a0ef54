/**
 * Rendezvous (highest random weight) hashing.
 */
import murmurhash from 'murmurhash';

/** Number of possible hash values. */
const HASH_VALUES = 2 ** 32;

/** Largest number of member hashes that are cached. */
const MAXIMUM_CACHED_HASHES = 4096;

const memberHashes = new Map<string, number>();

interface WeightedMember {
  readonly member: string;
  readonly weight: number;
}

/**
 * Returns the `count` members with the highest weights for `key`, in descending
 * order; all members by default.
 */
export function rendezvousOrder(
  key: string,
  members: readonly string[],
  count = members.length,
): readonly string[] {
  const keyHash = murmurhash.v3(key);
  const weighted = members.map(member => ({
    member,
    weight: mix(keyHash ^ hashOfMember(member)),
  }));
  const best =
    count < members.length ? selectHighest(weighted, count) : weighted;
  return best.sort(compareWeighted).map(({member}) => member);
}

/** Returns the member with the highest weight for `key`. */
export function rendezvousWinner(
  key: string,
  members: readonly string[],
): string | undefined {
  return rendezvousOrder(key, members, 1)[0];
}

/**
 * Returns `members` in an order for `key`. Over all keys, each member comes
 * first in proportion to its weight. A change of a weight moves the smallest
 * possible number of keys.
 */
export function weightedRendezvousOrder<T>(
  key: string,
  members: readonly T[],
  nameOf: (member: T) => string,
  weightOf: (member: T) => number,
): readonly T[] {
  const keyHash = murmurhash.v3(key);
  return members
    .map(member => {
      const hash = mix(keyHash ^ hashOfMember(nameOf(member)));
      // Between 0 and 1, both excluded.
      const fraction = (hash + 0.5) / HASH_VALUES;
      return {member, score: -weightOf(member) / Math.log(fraction)};
    })
    .sort((left, right) => right.score - left.score)
    .map(({member}) => member);
}

/** Returns the bucket of `key`, from 0 to `count` - 1. */
export function hashBucket(key: string, count: number): number {
  return murmurhash.v3(key) % count;
}

function selectHighest(
  weighted: readonly WeightedMember[],
  count: number,
): WeightedMember[] {
  const best: WeightedMember[] = [];
  for (const candidate of weighted) {
    const last = best.at(-1);
    if (best.length < count) {
      best.push(candidate);
    } else if (last !== undefined && compareWeighted(candidate, last) < 0) {
      best[best.length - 1] = candidate;
    } else {
      continue;
    }
    best.sort(compareWeighted);
  }
  return best;
}

function compareWeighted(left: WeightedMember, right: WeightedMember): number {
  return right.weight - left.weight || (left.member < right.member ? -1 : 1);
}

function hashOfMember(member: string): number {
  const cached = memberHashes.get(member);
  if (cached !== undefined) {
    return cached;
  }
  if (memberHashes.size >= MAXIMUM_CACHED_HASHES) {
    memberHashes.clear();
  }
  const hash = murmurhash.v3(member);
  memberHashes.set(member, hash);
  return hash;
}

/** Applies the 32-bit finalizer of MurmurHash3. */
function mix(hash: number): number {
  let mixed = hash ^ (hash >>> 16);
  mixed = Math.imul(mixed, 0x85ebca6b);
  mixed ^= mixed >>> 13;
  mixed = Math.imul(mixed, 0xc2b2ae35);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}
