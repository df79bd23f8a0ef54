/**
 * Seeds that exposed a bug, each with its cause. The soak test runs them all.
 */

/** A seed that exposed a bug. */
export interface RegressionSeed {
  readonly seed: number;
  readonly cause: string;
}

/** All seeds that exposed a bug. */
export const REGRESSION_SEEDS: readonly RegressionSeed[] = [
  12, 1008, 1017, 1029, 1032, 1033, 5013,
].map(seed => ({
  seed,
  cause:
    'a stream continued at a process that had replaced, under its id, one of another software version',
}));
