/**
 * Rendezvous (highest random weight) hashing.
 */
import murmurhash from 'murmurhash';

/** The members in order of their weight for `key`, highest first. */
export function rendezvousOrder(
  key: string,
  members: readonly string[],
): readonly string[] {
  const weighted = members.map(member => ({
    member,
    weight: murmurhash.v3(`${key}\u0000${member}`),
  }));
  weighted.sort(
    (left, right) =>
      right.weight - left.weight || (left.member < right.member ? -1 : 1),
  );
  return weighted.map(({member}) => member);
}

/** The member with the highest weight for `key`. */
export function rendezvousWinner(
  key: string,
  members: readonly string[],
): string | undefined {
  let winner: string | undefined;
  let highest = -1;
  for (const member of members) {
    const weight = murmurhash.v3(`${key}\u0000${member}`);
    if (
      weight > highest ||
      (weight === highest && winner !== undefined && member < winner)
    ) {
      winner = member;
      highest = weight;
    }
  }
  return winner;
}

/** A bucket for `key`, from 0 to `count` - 1. */
export function hashBucket(key: string, count: number): number {
  return murmurhash.v3(key) % count;
}
