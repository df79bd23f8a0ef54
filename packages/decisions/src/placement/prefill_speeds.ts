/**
 * The speed at which each engine reads prompts, measured on real requests,
 * because engines of one service differ in speed and can become slow.
 */

/** Speed assumed for an engine without measurements. */
const DEFAULT_TOKENS_PER_MILLISECOND = 40;

/**
 * Fewest tokens from which the speed is measured. For shorter prompts, the
 * duration of the engine's steps dominates.
 */
const MINIMUM_MEASURED_TOKENS = 1000;

/** Milliseconds to the first token that do not depend on the prompt. */
const FIXED_OVERHEAD_MILLISECONDS = 20;

/** Weight of the newest measurement in the moving average. */
const NEWEST_MEASUREMENT_WEIGHT = 0.15;

/** Lower bound of a measurement. */
const MINIMUM_TOKENS_PER_MILLISECOND = 2;

/** Upper bound of a measurement. */
const MAXIMUM_TOKENS_PER_MILLISECOND = 200;

/** Measured speeds by engine. */
export class PrefillSpeeds {
  private readonly speeds = new Map<string, number>();

  /** Returns the prompt tokens that `upstreamId` reads per millisecond. */
  speedOf(upstreamId: string): number {
    return this.speeds.get(upstreamId) ?? DEFAULT_TOKENS_PER_MILLISECOND;
  }

  /** Records that reading `tokens` took `elapsed` milliseconds. */
  recordMeasurement(upstreamId: string, tokens: number, elapsed: number): void {
    if (tokens < MINIMUM_MEASURED_TOKENS) {
      return;
    }
    const measured =
      tokens / Math.max(1, elapsed - FIXED_OVERHEAD_MILLISECONDS);
    const bounded = Math.min(
      Math.max(measured, MINIMUM_TOKENS_PER_MILLISECOND),
      MAXIMUM_TOKENS_PER_MILLISECOND,
    );
    const current = this.speedOf(upstreamId);
    this.speeds.set(
      upstreamId,
      current + (bounded - current) * NEWEST_MEASUREMENT_WEIGHT,
    );
  }

  /** Discards the measurements of an engine. */
  forget(upstreamId: string): void {
    this.speeds.delete(upstreamId);
  }
}
