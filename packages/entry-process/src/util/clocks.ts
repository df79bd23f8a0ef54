/**
 * Clocks of a process on a host that may be suspended and whose time of day may
 * jump.
 */
import {type ClockReading, SuspensionClock} from '@lacewingwinch/decisions';

/** Clocks of a process, all in milliseconds. */
export interface Clocks {
  /** Never jumps and excludes suspensions; used for timeouts. */
  readonly steady: () => number;
  /** Includes suspensions; used for the age of confirmed state. */
  readonly suspensionAware: () => number;
  /** Milliseconds since the epoch; may jump. */
  readonly timeOfDay: () => number;
}

/** Creates the clocks of this process. */
export function createProcessClocks(): Clocks {
  const read = (): ClockReading => ({
    steady: performance.now(),
    timeOfDay: Date.now(),
  });
  const clock = new SuspensionClock(read());
  return {
    steady: () => performance.now(),
    suspensionAware: () => clock.advance(read()),
    timeOfDay: () => Date.now(),
  };
}
