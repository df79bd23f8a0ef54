/**
 * Percentiles, and the median and range of a value over several runs.
 */

/** Median and range of a value over several runs. */
export interface Figure {
  readonly median: number;
  readonly minimum: number;
  readonly maximum: number;
}

/** Returns the value below which the fraction `share` of `values` lies. */
export function percentile(values: readonly number[], share: number): number {
  const sorted = [...values].sort((left, right) => left - right);
  const index = Math.min(sorted.length - 1, Math.floor(sorted.length * share));
  return sorted[index] ?? Number.NaN;
}

/** Returns the median and the range of `values`. */
export function figureOf(values: readonly number[]): Figure {
  return {
    median: percentile(values, 0.5),
    minimum: Math.min(...values),
    maximum: Math.max(...values),
  };
}

/** Formats a figure as `median (minimum to maximum)`. */
export function renderFigure(figure: Figure, digits: number): string {
  const {median, minimum, maximum} = figure;
  return `${median.toFixed(digits)} (${minimum.toFixed(digits)} to ${maximum.toFixed(digits)})`;
}
