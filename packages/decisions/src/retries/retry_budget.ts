/**
 * The budget of further attempts of one service: a fraction of its recent
 * first attempts, so that a wave of failures cannot multiply the load.
 */

/** Milliseconds over which first attempts count as recent. */
const WINDOW_MILLISECONDS = 10_000;

/** Counts that fade linearly with time, per service. */
export class RetryBudget {
  private firstAttempts = 0;
  private furtherAttempts = 0;
  private updated = 0;

  /** Counts a first attempt. */
  addFirstAttempt(now: number): void {
    this.fade(now);
    this.firstAttempts += 1;
  }

  /**
   * Takes one further attempt out of the budget; false if it is used up. The
   * budget is `fraction` of the recent first attempts, but never less than
   * `minimum`: all calls of one lost upstream can be repeated.
   */
  takeFurtherAttempt(fraction: number, minimum: number, now: number): boolean {
    this.fade(now);
    const allowed = Math.max(minimum, this.firstAttempts * fraction);
    if (this.furtherAttempts + 1 > allowed) {
      return false;
    }
    this.furtherAttempts += 1;
    return true;
  }

  private fade(now: number): void {
    const elapsed = Math.max(0, now - this.updated);
    const kept = Math.exp(-elapsed / WINDOW_MILLISECONDS);
    this.firstAttempts *= kept;
    this.furtherAttempts *= kept;
    this.updated = Math.max(now, this.updated);
  }
}
