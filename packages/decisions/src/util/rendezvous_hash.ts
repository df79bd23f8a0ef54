/**
 * Rendezvous (highest random weight) hashing.
 */
import murmurhash from 'murmurhash';

/** Values that a hash can have. */
const HASH_VALUES = 2 ** 32;

/** Hashes of member names that are remembered. */
const MAXIMUM_REMEMBERED = 4096;

const memberHashes = new Map<string, number>();

interface Weighted {
  readonly member: string;
  readonly weight: number;
}

/**
 * The `count` members with the highest weight for `key`, the highest first;
 * all of them by default.
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
  const best = count < members.length ? highest(weighted, count) : weighted;
  return best.sort(compareWeighted).map(({member}) => member);
}

/** The member with the highest weight for `key`. */
export function rendezvousWinner(
  key: string,
  members: readonly string[],
): string | undefined {
  return rendezvousOrder(key, members, 1)[0];
}

/**
 * `members` in an order for `key` in which each comes first with a probability
 * in proportion to its weight. A change of a weight moves as few keys as the
 * change asks for.
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
      // From 0 to 1, both excluded.
      const part = (hash + 0.5) / HASH_VALUES;
      return {member, score: -weightOf(member) / Math.log(part)};
    })
    .sort((left, right) => right.score - left.score)
    .map(({member}) => member);
}

/** A bucket for `key`, from 0 to `count` - 1. */
export function hashBucket(key: string, count: number): number {
  return murmurhash.v3(key) % count;
}

function highest(weighted: readonly Weighted[], count: number): Weighted[] {
  const best: Weighted[] = [];
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

function compareWeighted(left: Weighted, right: Weighted): number {
  return right.weight - left.weight || (left.member < right.member ? -1 : 1);
}

function hashOfMember(member: string): number {
  const known = memberHashes.get(member);
  if (known !== undefined) {
    return known;
  }
  if (memberHashes.size >= MAXIMUM_REMEMBERED) {
    memberHashes.clear();
  }
  const hash = murmurhash.v3(member);
  memberHashes.set(member, hash);
  return hash;
}

/** The 32-bit finalizer of MurmurHash3. */
function mix(hash: number): number {
  let mixed = hash ^ (hash >>> 16);
  mixed = Math.imul(mixed, 0x85ebca6b);
  mixed ^= mixed >>> 13;
  mixed = Math.imul(mixed, 0xc2b2ae35);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}
