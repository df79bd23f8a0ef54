/**
 * Random numbers that a seed determines.
 */
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** Seeds of the runs that a figure summarizes. */
export const SEEDS: readonly number[] = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10];

/** Returns a source of random numbers from 0 (inclusive) to 1 (exclusive). */
export function randomFrom(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
}

/**
 * Returns a random time until the next event of a Poisson process with `rate`
 * events per unit of time.
 */
export function exponential(random: () => number, rate: number): number {
  return -Math.log(1 - random()) / rate;
}

/** Returns a random factor whose logarithm has `deviation` around zero. */
export function lognormal(random: () => number, deviation: number): number {
  const [left, right] = [1 - random(), random()];
  const normal = Math.sqrt(-2 * Math.log(left)) * Math.cos(2 * Math.PI * right);
  return Math.exp(normal * deviation);
}
