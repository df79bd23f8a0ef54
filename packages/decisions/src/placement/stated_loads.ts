/**
 * The loads of engines as a dispatcher stated them a while ago. A host uses them
 * while it places requests itself, because the dispatcher does not answer or
 * because it has just become the dispatcher.
 */
import type {SpeedStatement} from './work_speeds.js';

/** What a dispatcher knows of an engine. */
export interface LoadStatement {
  readonly upstreamId: string;
  /** Start time of the engine's process in milliseconds since the epoch. */
  readonly bornAt: number;
  /** Requests in progress. */
  readonly running: number;
  /** Milliseconds until all prompts that wait there are read. */
  readonly waitMilliseconds: number;
  /** Speed of reading prompts; absent if it was not measured. */
  readonly speed?: SpeedStatement;
}

/** The load of an engine at the time when it was stated. */
export interface StatedLoad extends Pick<
  LoadStatement,
  'running' | 'waitMilliseconds'
> {
  readonly statedAt: number;
}

/** Age in milliseconds beyond which a load says nothing any more. */
export const MAXIMUM_LOAD_AGE_MILLISECONDS = 4000;

/** The newest loads that were stated. */
export class StatedLoads {
  private readonly loads = new Map<string, StatedLoad>();

  /** Records loads at `now`. */
  record(statements: readonly LoadStatement[], now: number): void {
    for (const {upstreamId, running, waitMilliseconds} of statements) {
      this.loads.set(upstreamId, {running, waitMilliseconds, statedAt: now});
    }
  }

  /** Returns the load stated last; undefined if it is too old or unknown. */
  of(upstreamId: string, now: number): StatedLoad | undefined {
    const load = this.loads.get(upstreamId);
    return load === undefined ||
      now - load.statedAt > MAXIMUM_LOAD_AGE_MILLISECONDS
      ? undefined
      : load;
  }

  /** Discards the load of an engine that left or restarted. */
  forget(upstreamId: string): void {
    this.loads.delete(upstreamId);
  }
}
