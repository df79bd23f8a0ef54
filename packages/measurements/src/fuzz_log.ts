/**
 * The log service of the fuzzing, as far as it fails.
 */

/** A log service that may be down, and appends that reach it late. */
export class FuzzLog {
  isDown = false;
  /** Appends that reach the log later, if ever. */
  private readonly late: (() => void)[] = [];

  /** Appends on their way. */
  get lateCount(): number {
    return this.late.length;
  }

  /** Takes an append now, or later if it is late or the log is down. */
  take(isLate: boolean, append: () => void): void {
    if (this.isDown || isLate) {
      this.late.push(append);
      return;
    }
    append();
  }

  /** An append that was late reaches the log. */
  deliver(): void {
    this.late.shift()?.();
  }
}
