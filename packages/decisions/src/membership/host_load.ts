/**
 * Whether a host has processor time left for more clients.
 */

/**
 * Share of the time at work from which a host is short of processor time:
 * requests wait there for longer than they take.
 */
const BUSY_UTILIZATION = 0.6;

/**
 * Number of measurements in a row that make a host busy, half a second each. A
 * single one can be a garbage collection or a burst of a fraction of a second.
 */
const BUSY_MEASUREMENTS = 2;

/**
 * Milliseconds for which a host stays busy: longer than clients need to move to
 * other hosts, which is three times the 2 s for which they cache a response.
 */
const BUSY_MILLISECONDS = 10_000;

/**
 * Milliseconds after the start of a process in which utilization does not count:
 * its code is not compiled yet.
 */
const START_MILLISECONDS = 3000;

/** The load of one host over time. */
export class HostLoad {
  private highMeasurements = 0;
  private busyUntil = -Infinity;

  constructor(private readonly startedAt: number) {}

  /**
   * Records the share of the time since the last measurement in which the host
   * was at work. Returns whether it is busy.
   */
  record(utilization: number, now: number): boolean {
    const isHigh =
      utilization >= BUSY_UTILIZATION &&
      now - this.startedAt >= START_MILLISECONDS;
    this.highMeasurements = isHigh ? this.highMeasurements + 1 : 0;
    if (this.highMeasurements >= BUSY_MEASUREMENTS) {
      this.busyUntil = now + BUSY_MILLISECONDS;
    }
    return now < this.busyUntil;
  }
}
