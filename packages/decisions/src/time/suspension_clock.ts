/**
 * A clock that counts the time for which its host was suspended. Answers hosts
 * that stand still and wake with beliefs that look young: the steady clock does
 * not count suspension, the time of day does but may jump. Whichever moved
 * further counts, so that an age may be overstated but not understated, unless
 * a jump backward falls into a suspension.
 */

/** Milliseconds by which the clocks may differ between two readings. */
const TOLERANCE_MILLISECONDS = 50;

/** Readings of the clocks of a host. */
export interface ClockReading {
  /** Does not jump and does not count suspension. */
  readonly steady: number;
  /** Milliseconds since the epoch; may jump. */
  readonly timeOfDay: number;
}

/** Joins the readings of two clocks. */
export class SuspensionClock {
  private total = 0;
  private last: ClockReading;

  constructor(first: ClockReading) {
    this.last = first;
  }

  /** Milliseconds since the first reading, suspension included. */
  advance(reading: ClockReading): number {
    const steady = Math.max(0, reading.steady - this.last.steady);
    const timeOfDay = reading.timeOfDay - this.last.timeOfDay;
    const isBehind = timeOfDay - steady > TOLERANCE_MILLISECONDS;
    this.total += isBehind ? timeOfDay : steady;
    this.last = reading;
    return this.total;
  }
}
