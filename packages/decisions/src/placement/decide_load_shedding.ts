/**
 * Load shedding: refuses a request whose answer would come too late. If there
 * is more load than the engines can carry, requests whose clients give up
 * before the first event would take time from requests that can still be
 * answered in time.
 */
import type {EngineChoice} from './choose_engine.js';

/** The times by which a client needs the first event and the final answer. */
export interface LatencyBounds {
  /**
   * Latency objective: time to the first event up to which an answer has its
   * full benefit.
   */
  readonly objectiveMilliseconds: number;
  /** Time until the final answer is due. */
  readonly millisecondsLeft: number;
}

/** The decision on a placed request. */
export type PlacementVerdict =
  | {readonly kind: 'send'}
  /** The request is not sent; the client should retry after the given time. */
  | {readonly kind: 'refuse'; readonly retryAfterMilliseconds: number};

/**
 * Longest tolerated wait, as a multiple of the latency objective. Clients give
 * up on a stream after four objectives without an event, and estimates can be
 * wrong by up to a half.
 */
const TOLERATED_OBJECTIVES = 2.5;

/** Wait that is tolerated however short the objective is. */
const MINIMUM_TOLERATED_WAIT_MILLISECONDS = 1000;

/** Share of the remaining time that may pass before the first event. */
const MAXIMUM_SHARE_OF_TIME_LEFT = 0.9;

/** Shortest delay after which a client may retry, before jitter. */
const MINIMUM_RETRY_AFTER_MILLISECONDS = 200;

/** Returns the milliseconds for which a request may wait for its first event. */
export function longestToleratedWait(bounds: LatencyBounds): number {
  return Math.min(
    bounds.millisecondsLeft * MAXIMUM_SHARE_OF_TIME_LEFT,
    Math.max(
      bounds.objectiveMilliseconds * TOLERATED_OBJECTIVES,
      MINIMUM_TOLERATED_WAIT_MILLISECONDS,
    ),
  );
}

/**
 * Decides whether a request is sent to the engine of `choice` or refused.
 * `jitter`, from 0 to 1, spreads the retries of requests that are refused at
 * the same time.
 */
export function decideLoadShedding(
  choice: EngineChoice,
  bounds: LatencyBounds,
  jitter: number,
): PlacementVerdict {
  const expectedWait = choice.estimateMilliseconds;
  if (!choice.mustWait || expectedWait <= longestToleratedWait(bounds)) {
    return {kind: 'send'};
  }
  const excessWait = Math.max(
    expectedWait - bounds.objectiveMilliseconds,
    MINIMUM_RETRY_AFTER_MILLISECONDS,
  );
  return {kind: 'refuse', retryAfterMilliseconds: excessWait * (0.5 + jitter)};
}
