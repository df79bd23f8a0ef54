/**
 * The wait of a leaving process for the requests that it still has to answer.
 */
import {pause} from '../../util/pause.js';

/**
 * Milliseconds after the stop signal during which requests may still arrive:
 * clients cache addresses for some seconds, and requests sent up to 3,000 ms
 * after the signal must be answered.
 */
const LINGER_MILLISECONDS = 3200;

/**
 * Milliseconds between the stop of the process and the end of the grace period.
 */
const STOP_MARGIN_MILLISECONDS = 400;

/**
 * Milliseconds after the stop signal from which new requests are refused as not
 * executed, if the grace period is long enough.
 */
const LAST_REQUEST_MILLISECONDS = 2900;

/** Share of a short grace period for which requests are still taken. */
const ACCEPTING_SHARE = 0.5;

/** Milliseconds between two checks. */
const POLL_PERIOD_MILLISECONDS = 50;

/**
 * Returns the milliseconds after the stop signal from which new requests are refused,
 * because the grace period may end before they complete.
 */
export function lastRequestMilliseconds(
  gracePeriodMilliseconds: number,
): number {
  return Math.min(
    LAST_REQUEST_MILLISECONDS,
    ACCEPTING_SHARE * (gracePeriodMilliseconds - STOP_MARGIN_MILLISECONDS),
  );
}

/** A leaving process. */
export interface LeavingProcess {
  /** Returns steady clock readings in milliseconds. */
  readonly clock: () => number;
  readonly gracePeriodMilliseconds: number;
  /** Returns the number of requests whose answers are not sent completely. */
  readonly unfinishedCount: () => number;
  /** Ends the wait early. */
  readonly signal: AbortSignal;
}

/**
 * Resolves when no request can arrive any more and all are answered, or shortly
 * before the grace period ends.
 */
export async function waitUntilDrained({
  clock,
  gracePeriodMilliseconds,
  unfinishedCount,
  signal,
}: LeavingProcess): Promise<void> {
  const startedAt = clock();
  const lingerUntil = startedAt + LINGER_MILLISECONDS;
  const stopAt = startedAt + gracePeriodMilliseconds - STOP_MARGIN_MILLISECONDS;
  while (clock() < stopAt && (clock() < lingerUntil || unfinishedCount() > 0)) {
    await pause(POLL_PERIOD_MILLISECONDS, signal);
  }
}
