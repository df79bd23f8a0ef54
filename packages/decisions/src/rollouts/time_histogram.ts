/**
 * Histograms of times with two bins for each doubling, small enough to be sent
 * with every report.
 */

const BINS_PER_DOUBLING = 2;

/** The last bin begins at 2^14 ms. */
const LAST_BIN = 14 * BINS_PER_DOUBLING;

/**
 * Tokens that an upstream could read in the time that every request takes,
 * however short its prompt is.
 */
const FIXED_TOKENS = 1000;

/** Returns the bin of a time in milliseconds. */
export function timeBin(milliseconds: number): number {
  const bin = Math.floor(
    Math.log2(Math.max(1, milliseconds)) * BINS_PER_DOUBLING,
  );
  return Math.min(bin, LAST_BIN);
}

/**
 * Returns the time to the beginning of an answer as if the upstream had had to
 * read no tokens. An engine that has just started has no cached prompts and has
 * more to read, which does not make it slow.
 */
export function timeWithoutReading(
  milliseconds: number,
  tokensToRead: number,
): number {
  return (milliseconds * FIXED_TOKENS) / (tokensToRead + FIXED_TOKENS);
}

/** Adds a time to `histogram`, which has as many bins as it needs. */
export function addTime(histogram: number[], milliseconds: number): void {
  const bin = timeBin(milliseconds);
  while (histogram.length <= bin) {
    histogram.push(0);
  }
  histogram[bin] = (histogram[bin] ?? 0) + 1;
}

/** Returns the sum of two histograms. */
export function sumHistograms(
  left: readonly number[],
  right: readonly number[],
): readonly number[] {
  const length = Math.max(left.length, right.length);
  return Array.from({length}, (_, bin) => (left[bin] ?? 0) + (right[bin] ?? 0));
}

/** Returns the number of times in `histogram`. */
export function countTimes(histogram: readonly number[]): number {
  return histogram.reduce((sum, count) => sum + count, 0);
}

/** Returns the number of times in the bins after `bin`. */
export function countTimesAfter(
  histogram: readonly number[],
  bin: number,
): number {
  return countTimes(histogram.slice(bin + 1));
}

/** Returns the last bin of times that are `factor` times the `quantile`. */
export function binOfMultiple(
  histogram: readonly number[],
  quantile: number,
  factor: number,
): number {
  const rank = countTimes(histogram) * quantile;
  let counted = 0;
  const bin = histogram.findIndex(count => {
    counted += count;
    return counted >= rank;
  });
  return bin + Math.round(Math.log2(factor) * BINS_PER_DOUBLING);
}
