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
    const {shortSum, longSum} = this.sumsAt(now);
    this.shortSum = shortSum + amount;
    this.longSum = longSum + amount;
    this.updatedAt = Math.max(now, this.updatedAt);
  }

  /** Returns the amount per millisecond, as if `added` had been added now. */
  perMillisecond(now: number, added = 0): number {
    const age = Math.max(1, now - this.startedAt);
    const {shortSum, longSum} = this.sumsAt(now);
    return Math.max(
      rateOf(shortSum + added, RISE_MILLISECONDS, age),
      rateOf(longSum + added, FALL_MILLISECONDS, age),
    );
  }

  private sumsAt(now: number): {
    readonly shortSum: number;
    readonly longSum: number;
  } {
    const elapsed = Math.max(0, now - this.updatedAt);
    return {
      shortSum: this.shortSum * Math.exp(-elapsed / RISE_MILLISECONDS),
      longSum: this.longSum * Math.exp(-elapsed / FALL_MILLISECONDS),
    };
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
