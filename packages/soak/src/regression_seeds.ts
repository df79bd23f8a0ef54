/**
 * Seeds that failed once, each with the cause. The test of the soak runs them.
 */

/** A seed that failed. */
export interface RegressionSeed {
  readonly seed: number;
  readonly cause: string;
}

/** Every seed that failed. */
export const REGRESSION_SEEDS: readonly RegressionSeed[] = [];
