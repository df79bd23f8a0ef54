/**
 * A rate as an exponentially decaying sum. A rise shows within half a second,
 * a fall within some seconds, so that capacity is not given away in a short
 * pause of a burst.
 */

/** Time constant of the rate that follows a rise. */
const RISE_MILLISECONDS = 500;

/** Time constant of the rate that follows a fall. */
const FALL_MILLISECONDS = 3000;

/** Amounts per millisecond of something that happens at irregular times. */
export class DecayingRate {
  private shortSum = 0;
  private longSum = 0;
  private updatedAt: number;

  constructor(private readonly startedAt: number) {
    this.updatedAt = startedAt;
  }

  /** Adds `amount` at `now`. */
  add(amount: number, now: number): void {
    this.decay(now);
    this.shortSum += amount;
    this.longSum += amount;
  }

  /** Returns the amount per millisecond. */
  perMillisecond(now: number): number {
    this.decay(now);
    const age = Math.max(1, now - this.startedAt);
    return Math.max(
      rateOf(this.shortSum, RISE_MILLISECONDS, age),
      rateOf(this.longSum, FALL_MILLISECONDS, age),
    );
  }

  private decay(now: number): void {
    const elapsed = Math.max(0, now - this.updatedAt);
    this.shortSum *= Math.exp(-elapsed / RISE_MILLISECONDS);
    this.longSum *= Math.exp(-elapsed / FALL_MILLISECONDS);
    this.updatedAt = Math.max(now, this.updatedAt);
  }
}

/**
 * Returns the rate of a decaying sum. A young sum has less than its full
 * window, of which half is taken as seen, so that one event is no burst.
 */
function rateOf(sum: number, constant: number, age: number): number {
  const seen = Math.max(0.5, 1 - Math.exp(-age / constant));
  return sum / (constant * seen);
}
