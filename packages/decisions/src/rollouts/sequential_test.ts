/**
 * A sequential comparison of the rate of bad results of a new version with that
 * of the old one. It may be evaluated after every result without an increase of
 * its error (mixture sequential probability ratio test: Robbins, 1970; Johari,
 * Koomen, Pekelis and Walsh, "Always valid inference", 2022). Acceptance is the
 * lower bound of Wald's sequential probability ratio test (1945).
 */

/** Results of a version. */
export interface Trials {
  readonly trials: number;
  readonly bad: number;
}

/** Probability with which a test rejects a version that is as good, at most. */
const REJECTION_ERROR = 1 / 2000;

/** Probability with which a test accepts the harmful rate, at most. */
const ACCEPTANCE_ERROR = 1 / 100;

/** Standard errors of the old rate that the new version is given. */
const CONFIDENCE_WIDTH = 2;

/** Factor and addition by which a version may be worse and still be good. */
const TOLERATED_FACTOR = 1.5;
const TOLERATED_ADDITION = 0.04;

/** Rate of bad results that is expected of any version. */
const NATURAL_RATE = 0.02;

const MAXIMUM_RATE = 0.98;

/** Rate to be found above which the old version is too bad to compare with. */
const MAXIMUM_HARMFUL_RATE = 0.85;

/**
 * Bad rates of the mixture, as parts of the way from the tolerated rate to one.
 */
const MIXTURE_PARTS: readonly number[] = [0.1, 0.2, 0.35, 0.5, 0.7, 0.95];

/** Returns the upper end of the confidence interval (Wilson) of a rate. */
export function upperRate({trials, bad}: Trials): number {
  if (trials === 0) {
    return 1;
  }
  const rate = bad / trials;
  const square = CONFIDENCE_WIDTH ** 2;
  const spread = Math.sqrt(
    (rate * (1 - rate)) / trials + square / (4 * trials ** 2),
  );
  const upper =
    (rate + square / (2 * trials) + CONFIDENCE_WIDTH * spread) /
    (1 + square / trials);
  return Math.min(1, upper);
}

/** Returns the highest rate that a good version may have beside `old`. */
export function tolerableRate(old: Trials): number {
  return Math.min(
    MAXIMUM_RATE,
    upperRate(old) * TOLERATED_FACTOR + TOLERATED_ADDITION,
  );
}

/**
 * Returns whether the results `candidate` of a new version are beyond what the
 * results `old` of the same time explain.
 */
export function isWorse(candidate: Trials, old: Trials): boolean {
  const tolerable = tolerableRate(old);
  const likelihoods = MIXTURE_PARTS.map(part =>
    Math.exp(
      logLikelihoodRatio(
        candidate,
        tolerable + (MAXIMUM_RATE + 0.01 - tolerable) * part,
        tolerable,
      ),
    ),
  );
  const mean =
    likelihoods.reduce((sum, likelihood) => sum + likelihood, 0) /
    likelihoods.length;
  return mean > 1 / REJECTION_ERROR;
}

/**
 * Returns whether a rate of the new version that is higher than the tolerable one
 * by `increase` is excluded.
 */
export function isHarmless(
  candidate: Trials,
  old: Trials,
  increase: number,
): boolean {
  const harmful = tolerableRate(old) + increase;
  const expected = Math.max(NATURAL_RATE, (old.bad + 0.5) / (old.trials + 1));
  return (
    harmful < MAXIMUM_HARMFUL_RATE &&
    logLikelihoodRatio(candidate, harmful, expected) <
      Math.log(ACCEPTANCE_ERROR)
  );
}

function logLikelihoodRatio(
  {trials, bad}: Trials,
  rate: number,
  reference: number,
): number {
  return (
    bad * Math.log(rate / reference) +
    (trials - bad) * Math.log((1 - rate) / (1 - reference))
  );
}
