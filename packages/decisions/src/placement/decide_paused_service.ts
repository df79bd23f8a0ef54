/**
 * The decision on a request while every upstream of its service requested a
 * pause of this host. Overloaded engines send them at about the same time.
 * Requests that can wait for the first engine to accept requests again are
 * kept; the others are refused at once and return spread over the time after
 * the pause, so that they do not overload the engines again together.
 */
import {
  type LatencyBounds,
  longestToleratedWait,
} from './decide_load_shedding.js';

/** The decision on a request to a paused service. */
export type PausedServiceVerdict =
  | {readonly kind: 'wait'; readonly milliseconds: number}
  /** The request is not sent; the client should retry after the given time. */
  | {readonly kind: 'refuse'; readonly retryAfterMilliseconds: number};

/** Time over which the clients that were refused return after a pause. */
export const RETURN_SPREAD_MILLISECONDS = 1000;

/**
 * Decides on a request while the first upstream accepts requests again only
 * after `pauseMilliseconds`. `jitter`, from 0 to 1, spreads the clients that
 * return.
 */
export function decidePausedService(
  pauseMilliseconds: number,
  bounds: LatencyBounds,
  jitter: number,
): PausedServiceVerdict {
  return pauseMilliseconds <= longestToleratedWait(bounds)
    ? {kind: 'wait', milliseconds: pauseMilliseconds}
    : {
        kind: 'refuse',
        retryAfterMilliseconds:
          pauseMilliseconds + jitter * RETURN_SPREAD_MILLISECONDS,
      };
}
