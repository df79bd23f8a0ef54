/**
 * Medians, ranges and percentiles.
 */

/** A figure over several seeds. */
export interface Figure {
  readonly median: number;
  readonly minimum: number;
  readonly maximum: number;
}

/** The value below which `share` of `values` lie. */
export function percentile(values: readonly number[], share: number): number {
  const sorted = [...values].sort((left, right) => left - right);
  const index = Math.min(sorted.length - 1, Math.floor(sorted.length * share));
  return sorted[index] ?? Number.NaN;
}

/** The median and the range of `values`. */
export function figureOf(values: readonly number[]): Figure {
  return {
    median: percentile(values, 0.5),
    minimum: Math.min(...values),
    maximum: Math.max(...values),
  };
}

/** Text of a figure. */
export function renderFigure(figure: Figure, digits: number): string {
  const {median, minimum, maximum} = figure;
  return `${median.toFixed(digits)} (${minimum.toFixed(digits)} to ${maximum.toFixed(digits)})`;
}
