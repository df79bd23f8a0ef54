/**
 * Whether a request is refused because its answer would come too late. Answers
 * more load than the engines can carry: what waits longer than its caller is
 * ready to wait takes the engines' time from requests that could be on time.
 */
import type {Choice} from './choose_engine.js';

/** How long a caller is ready to wait for the first event. */
export interface Patience {
  /** Time to the first event within which an answer has its full benefit. */
  readonly objectiveMilliseconds: number;
  /** Time until the final answer is due. */
  readonly millisecondsLeft: number;
}

/** The verdict on a placed request. */
export type PlacementVerdict =
  | {readonly kind: 'send'}
  /** Nothing is sent; it is worth coming back after this time. */
  | {readonly kind: 'refuse'; readonly retryAfterMilliseconds: number};

/**
 * Objectives for which a caller waits: callers give a stream up after four
 * objectives without an event, and estimates are off by up to a half.
 */
const OBJECTIVES_OF_PATIENCE = 2.5;

/** Milliseconds for which every caller waits, however short its objective. */
const LEAST_PATIENCE_MILLISECONDS = 1000;

/** Share of the time left that may pass before the first event. */
const SHARE_OF_TIME_LEFT = 0.9;

/** Shortest time after which to come back, in milliseconds. */
const LEAST_RETRY_MILLISECONDS = 200;

/**
 * Decides on the best `choice` for a request. `spread`, from 0 to 1, spreads
 * callers that are refused together over the time to come back.
 */
export function refuseHopeless(
  choice: Choice,
  patience: Patience,
  spread: number,
): PlacementVerdict {
  const wait = choice.estimateMilliseconds;
  const longest = Math.min(
    patience.millisecondsLeft * SHARE_OF_TIME_LEFT,
    Math.max(
      patience.objectiveMilliseconds * OBJECTIVES_OF_PATIENCE,
      LEAST_PATIENCE_MILLISECONDS,
    ),
  );
  if (!choice.mustWait || wait <= longest) {
    return {kind: 'send'};
  }
  const drain = Math.max(
    wait - patience.objectiveMilliseconds,
    LEAST_RETRY_MILLISECONDS,
  );
  return {kind: 'refuse', retryAfterMilliseconds: drain * (0.5 + spread)};
}
