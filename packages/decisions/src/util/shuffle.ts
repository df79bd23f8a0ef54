/**
 * Shuffling with a given source of random numbers.
 */

/** A source of random numbers from 0 (included) to 1 (excluded). */
export type RandomSource = () => number;

/** Returns `items` in random order. */
export function shuffle<T>(
  items: readonly T[],
  random: RandomSource,
): readonly T[] {
  const shuffled = [...items];
  for (let lastIndex = shuffled.length - 1; lastIndex > 0; lastIndex -= 1) {
    const otherIndex = Math.floor(random() * (lastIndex + 1));
    const swapped = shuffled[lastIndex] as T;
    shuffled[lastIndex] = shuffled[otherIndex] as T;
    shuffled[otherIndex] = swapped;
  }
  return shuffled;
}
