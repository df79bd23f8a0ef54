/**
 * Random numbers from a fixed seed.
 */
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** Seeds of a figure. */
export const SEEDS: readonly number[] = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10];

/** A source of numbers from 0 (included) to 1 (excluded). */
export function randomFrom(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
}

/** Time to the next event of a Poisson process with `rate` events. */
export function exponential(random: () => number, rate: number): number {
  return -Math.log(1 - random()) / rate;
}
