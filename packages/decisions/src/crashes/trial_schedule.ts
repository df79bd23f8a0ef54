/**
 * When a request with quarantined content or a quarantined part is tried, to see
 * whether it still crashes upstreams: one at a time, each failed trial followed by a
 * longer wait.
 */
import type {CrashReport} from './upstream_crash.js';

/** Factor by which each crash after the verdict delays the next trial. */
const TRIAL_BACKOFF = 8;

/** Longest time between two trials. */
const MAXIMUM_TRIAL_MILLISECONDS = 3_600_000;

/**
 * Time after the verdict within which crashes come from requests that were under
 * way, and not from trials.
 */
const UNDER_WAY_MILLISECONDS = 1500;

/**
 * Time after the last crash at which a verdict lapses: its requests have stopped
 * coming, or trials would have ended upstreams.
 */
export const VERDICT_RETENTION_MILLISECONDS = 86_400_000;

/** What has become known since a verdict. */
export interface TrialHistory {
  /** Crashes before and after the verdict, earliest first. */
  readonly crashes: readonly Pick<CrashReport, 'time'>[];
  /**
   * Time at which the last trial was let through, in milliseconds since the epoch;
   * undefined without one.
   */
  readonly triedAt?: number | undefined;
}

/** A verdict; times in milliseconds since the epoch. */
export interface TriedVerdict {
  /** Time of the last crash that led to it. */
  readonly at: number;
  /** Milliseconds from the verdict to the first trial. */
  readonly trialMilliseconds: number;
}

/** Returns the time from which one request may be tried. */
export function nextTrialAt(
  {crashes, triedAt = -Infinity}: TrialHistory,
  {at, trialMilliseconds}: TriedVerdict,
): number {
  const trials = crashes.filter(
    ({time}) => time > at + Math.min(trialMilliseconds, UNDER_WAY_MILLISECONDS),
  );
  const delay = Math.min(
    trialMilliseconds * TRIAL_BACKOFF ** trials.length,
    MAXIMUM_TRIAL_MILLISECONDS,
  );
  return Math.max(trials.at(-1)?.time ?? at, triedAt) + delay;
}
