/**
 * The shares of a roll-out and the times by which its steps must be taken, by
 * its time limit and by how much of the traffic a bad version may get.
 */
import type {RolloutBounds} from './rollout_order.js';

/**
 * Milliseconds for which a share is permitted after its record was first seen.
 * Together with the longest time between two renewals, it is well below the time
 * within which a bad version must get no more requests.
 */
export const PERMIT_MILLISECONDS = 2500;

/** Milliseconds after which the holder renews a permit. */
export const RENEWAL_MILLISECONDS = 1000;

/**
 * Share of the first requests, as a part of the fraction of all requests that a
 * bad version may get.
 */
const FIRST_SHARE_PART = 0.8;

/**
 * Largest share of the test, as a multiple of that fraction. The test takes a
 * part of the time until the time limit only.
 */
const LARGEST_SHARE_FACTOR = 2.5;

/** Change of the share, as a part of it, below which the share stays. */
const SHARE_TOLERANCE = 0.25;

/** Part of the present traffic that is expected until the time limit at least. */
const EXPECTED_TRAFFIC_PART = 0.7;

/** Largest multiple of the requests so far that is expected in total. */
const MAXIMUM_GROWTH = 2;

/** Part of the time limit for which the test lasts at least. */
const EARLIEST_MOVE_PART = 0.45;

/** Part of the time limit after which the test may end it. */
const LATEST_MOVE_PART = 0.6;

/**
 * Milliseconds from the end of the test to the time limit, for the steps to all
 * traffic and for the requests that run at the old version to end.
 */
const MOVE_MILLISECONDS = 5500;

/** Milliseconds from the first wider step to all traffic. */
export const WIDER_STEP_MILLISECONDS = 1200;

/** Milliseconds within which results of a step lead to its end. */
const REACTION_MILLISECONDS = 2500;

/** Share of the traffic at the first wider step, at most. */
const WIDER_SHARE = 0.5;

/** Part of the bound that is used, as hosts count late and some requests twice. */
const USED_BOUND_PART = 0.85;

/** Milliseconds before the time limit at which the result must be known. */
export const COMPLETION_MARGIN_MILLISECONDS = 1000;

/** What has been sent to a service since the order. */
export interface RolloutTraffic {
  /** Requests that reached the service. */
  readonly requests: number;
  /** Those that were assigned to the new version. */
  readonly assigned: number;
  readonly requestsPerSecond: number;
}

/** Returns the share before the first results. */
export function firstShare({exposureFraction}: RolloutBounds): number {
  return exposureFraction * FIRST_SHARE_PART;
}

/** The times of a roll-out at one moment. */
export interface RolloutTimes {
  readonly elapsedMilliseconds: number;
  readonly durationMilliseconds: number;
}

/**
 * Returns the share of the test: what is left of the bound, spread over the rest
 * of the test and the time in which its results are acted on.
 */
export function testShare(
  bounds: RolloutBounds,
  traffic: RolloutTraffic,
  times: RolloutTimes,
  present: number,
): number {
  const restMilliseconds =
    latestMove(times.durationMilliseconds) -
    times.elapsedMilliseconds +
    REACTION_MILLISECONDS;
  const share = Math.min(
    shareWithin(bounds, traffic, times, restMilliseconds),
    bounds.exposureFraction * LARGEST_SHARE_FACTOR,
    1,
  );
  return Math.abs(share - present) <= present * SHARE_TOLERANCE
    ? present
    : share;
}

/** Returns the share that uses up what is left of the bound in `milliseconds`. */
function shareWithin(
  {exposureFraction, exposureSlack}: RolloutBounds,
  {requests, assigned, requestsPerSecond}: RolloutTraffic,
  {durationMilliseconds, elapsedMilliseconds}: RolloutTimes,
  milliseconds: number,
): number {
  const millisecondsLeft = Math.max(
    0,
    durationMilliseconds - elapsedMilliseconds,
  );
  const expected =
    requests +
    ((requestsPerSecond * millisecondsLeft) / 1000) * EXPECTED_TRAFFIC_PART;
  const bound = (expected * exposureFraction + exposureSlack) * USED_BOUND_PART;
  const coming = (requestsPerSecond * milliseconds) / 1000;
  return coming > 0 ? Math.max(0, (bound - assigned) / coming) : 0;
}

/** Returns the time after the order before which the test does not end. */
export function earliestMove(durationMilliseconds: number): number {
  return durationMilliseconds * EARLIEST_MOVE_PART;
}

/** Returns the time after the order at which a version must be accepted. */
export function latestMove(durationMilliseconds: number): number {
  return Math.max(
    durationMilliseconds * LATEST_MOVE_PART,
    durationMilliseconds - MOVE_MILLISECONDS,
  );
}

/**
 * Returns the share of the first wider step: what is left of the bound until its
 * results are known, if the version turned bad then.
 */
export function widerShare(
  bounds: RolloutBounds,
  traffic: RolloutTraffic,
  times: RolloutTimes,
): number {
  const share = shareWithin(bounds, traffic, times, REACTION_MILLISECONDS);
  return Math.max(bounds.exposureFraction, Math.min(WIDER_SHARE, share));
}

/** What one host has sent to a service since the order. */
export interface HostTraffic {
  readonly requests: number;
  readonly assigned: number;
  /** Part of the time until the time limit that has passed, from 0 to 1. */
  readonly elapsedPart: number;
}

/**
 * Returns whether one host may send one more request to a new version during its
 * test. The sum over all hosts stays within the bound.
 */
export function isExposureLeft(
  {exposureFraction, exposureSlack}: RolloutBounds,
  {requests, assigned, elapsedPart}: HostTraffic,
  hostCount: number,
): boolean {
  const growth = Math.min(
    MAXIMUM_GROWTH,
    Math.max(1, EXPECTED_TRAFFIC_PART / Math.max(elapsedPart, 0.01)),
  );
  const allowed =
    requests * growth * exposureFraction * USED_BOUND_PART +
    (exposureSlack * USED_BOUND_PART) / Math.max(1, hostCount) / 2;
  return assigned + 1 <= allowed;
}

/**
 * Returns the time at which a record counts as seen if its age is not known at
 * `now`, so that it permits nothing.
 */
export function lapsedPermitTime(now: number): number {
  return now - PERMIT_MILLISECONDS - 1;
}
