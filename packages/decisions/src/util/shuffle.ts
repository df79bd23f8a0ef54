/**
 * Random choice, with the source of random numbers as an argument.
 */

/** A source of random numbers from 0 (included) to 1 (excluded). */
export type RandomSource = () => number;

/** `items` in random order. */
export function shuffle<T>(
  items: readonly T[],
  random: RandomSource,
): readonly T[] {
  const shuffled = [...items];
  for (let last = shuffled.length - 1; last > 0; last -= 1) {
    const other = Math.floor(random() * (last + 1));
    const kept = shuffled[last] as T;
    shuffled[last] = shuffled[other] as T;
    shuffled[other] = kept;
  }
  return shuffled;
}
