/**
 * A limit on the events that clients can cause by what they send. Beyond it events are
 * counted, so that their number can be logged.
 */

const PERIOD_MILLISECONDS = 1000;

/** Limits how many events of one kind are written in a second. */
export class EventThrottle {
  private periodStart = -Infinity;
  private written = 0;
  private leftOut = 0;

  constructor(private readonly maximumPerSecond: number) {}

  /**
   * Returns how many events were left out since the last one that was written, if
   * another one may be written at `now`; undefined if it is left out.
   */
  admit(now: number): number | undefined {
    if (now - this.periodStart >= PERIOD_MILLISECONDS) {
      this.periodStart = now;
      this.written = 0;
    }
    if (this.written >= this.maximumPerSecond) {
      this.leftOut += 1;
      return undefined;
    }
    this.written += 1;
    const {leftOut} = this;
    this.leftOut = 0;
    return leftOut;
  }
}
