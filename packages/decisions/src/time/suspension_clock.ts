/**
 * A clock that includes the time for which its host was suspended. Without it,
 * the state of a resumed host would appear to be recent. The steady clock does
 * not advance during suspension; the time of day does, but it can jump. The
 * larger of the two advances counts, so that an age can be overstated but not
 * understated, unless the time of day jumps backward during a suspension.
 */

/**
 * Milliseconds by which the time of day may advance further than the steady
 * clock between two readings without counting as a suspension.
 */
const TOLERANCE_MILLISECONDS = 50;

/** Readings of the clocks of a host. */
export interface ClockReading {
  /** Milliseconds; does not jump and does not include suspension. */
  readonly steady: number;
  /** Milliseconds since the epoch; can jump. */
  readonly timeOfDay: number;
}

/** Combines the readings of the steady clock and of the time of day. */
export class SuspensionClock {
  private total = 0;
  private last: ClockReading;

  constructor(first: ClockReading) {
    this.last = first;
  }

  /**
   * Takes a reading and returns the milliseconds since the first one, including
   * suspension.
   */
  advance(reading: ClockReading): number {
    const steadyElapsed = Math.max(0, reading.steady - this.last.steady);
    const timeOfDayElapsed = reading.timeOfDay - this.last.timeOfDay;
    const isSteadyClockBehind =
      timeOfDayElapsed - steadyElapsed > TOLERANCE_MILLISECONDS;
    this.total += isSteadyClockBehind ? timeOfDayElapsed : steadyElapsed;
    this.last = reading;
    return this.total;
  }
}
