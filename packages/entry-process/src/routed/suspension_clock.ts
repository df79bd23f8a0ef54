/**
 * Clocks of a process on a host that may be suspended and whose time of day
 * may jump.
 */
import {uptime} from 'node:os';

/** The clocks of a process; all in milliseconds. */
export interface Clocks {
  /** Does not jump and does not count suspension; for timeouts. */
  readonly steady: () => number;
  /** Counts suspension; for the age of beliefs. */
  readonly sinceBoot: () => number;
  /** Milliseconds since the epoch; may jump. */
  readonly timeOfDay: () => number;
}

/** The clocks of this process. */
export const PROCESS_CLOCKS: Clocks = {
  steady: () => performance.now(),
  sinceBoot: () => uptime() * 1000,
  timeOfDay: () => Date.now(),
};
