/**
 * The clocks of a process on a host that may be suspended and whose time of day
 * may jump.
 */
import {type ClockReading, SuspensionClock} from '@lacewingwinch/decisions';

/** The clocks of a process; all in milliseconds. */
export interface Clocks {
  /** Does not jump and does not count suspension; for timeouts. */
  readonly steady: () => number;
  /** Counts suspension; for the age of beliefs. */
  readonly counting: () => number;
  /** Milliseconds since the epoch; may jump. */
  readonly timeOfDay: () => number;
}

/** The clocks of this process. */
export function createProcessClocks(): Clocks {
  const read = (): ClockReading => ({
    steady: performance.now(),
    timeOfDay: Date.now(),
  });
  const clock = new SuspensionClock(read());
  return {
    steady: () => performance.now(),
    counting: () => clock.advance(read()),
    timeOfDay: () => Date.now(),
  };
}
