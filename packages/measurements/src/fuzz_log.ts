/**
 * Faults of the log service in the fuzzing.
 */

/** A log service that can be down and to which appends can be delayed. */
export class FuzzLog {
  isDown = false;
  /** Appends that have not reached the log and may never reach it. */
  private readonly delayedAppends: (() => void)[] = [];

  /** Number of appends that have not reached the log. */
  get delayedCount(): number {
    return this.delayedAppends.length;
  }

  /** Runs `append`, or queues it if it is delayed or the log is down. */
  applyOrDelay(isDelayed: boolean, append: () => void): void {
    if (this.isDown || isDelayed) {
      this.delayedAppends.push(append);
      return;
    }
    append();
  }

  /** Runs the oldest delayed append, even while the log is down. */
  applyNextDelayed(): void {
    this.delayedAppends.shift()?.();
  }
}
