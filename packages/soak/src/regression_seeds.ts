/**
 * Seeds that exposed a bug, each with its cause. The soak test runs them all.
 */

/** A seed that exposed a bug. */
export interface RegressionSeed {
  readonly seed: number;
  readonly cause: string;
}

/** All seeds that exposed a bug. */
export const REGRESSION_SEEDS: readonly RegressionSeed[] = [];
