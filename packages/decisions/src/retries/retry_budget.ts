/**
 * The retry budget of a service: a fraction of its recent first attempts, so
 * that a wave of failures cannot multiply the load.
 */

/** Time constant of the decay, which determines what counts as recent. */
const WINDOW_MILLISECONDS = 10_000;

/** The first attempts and retries of a service, with exponential decay. */
export class RetryBudget {
  private firstAttempts = 0;
  private retries = 0;
  private updatedAt = 0;

  /** Counts a first attempt. */
  addFirstAttempt(now: number): void {
    this.decay(now);
    this.firstAttempts += 1;
  }

  /**
   * Takes one retry out of the budget and returns whether there was one left.
   * The budget is `fraction` of the recent first attempts, but at least
   * `minimum`, so that all calls of one lost upstream can be repeated.
   */
  takeRetry(fraction: number, minimum: number, now: number): boolean {
    this.decay(now);
    const allowedRetries = Math.max(minimum, this.firstAttempts * fraction);
    if (this.retries + 1 > allowedRetries) {
      return false;
    }
    this.retries += 1;
    return true;
  }

  private decay(now: number): void {
    const elapsed = Math.max(0, now - this.updatedAt);
    const remainingShare = Math.exp(-elapsed / WINDOW_MILLISECONDS);
    this.firstAttempts *= remainingShare;
    this.retries *= remainingShare;
    this.updatedAt = Math.max(now, this.updatedAt);
  }
}
