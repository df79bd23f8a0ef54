/**
 * The order of permit requests that wait for a slot at an upstream.
 */
import type {PermitRequest} from './dispatch_messages.js';

/** Waiting time that raises a request by one priority level. */
export const AGING_INTERVAL_MILLISECONDS = 500;

/** A permit request that waits for a slot. */
export interface WaitingRequest {
  readonly request: PermitRequest;
  /** Start of the wait, in milliseconds since the epoch. */
  readonly since: number;
}

/**
 * Returns the time at which a request that is still waiting must be refused,
 * in milliseconds since the epoch.
 */
export function latestStart({request, since}: WaitingRequest): number {
  return Math.min(since + request.maximumWait, request.deadline);
}

/**
 * Compares waiting requests: higher aged priority first, then the workspace
 * with the fewest calls in progress, the earliest deadline and the longest
 * wait.
 */
export function compareWaitingRequests(
  left: WaitingRequest,
  right: WaitingRequest,
  inFlightOf: (workspace: string) => number,
  now: number,
): number {
  return (
    agedPriority(right, now) - agedPriority(left, now) ||
    inFlightOf(left.request.workspace) - inFlightOf(right.request.workspace) ||
    left.request.deadline - right.request.deadline ||
    left.since - right.since
  );
}

function agedPriority({request, since}: WaitingRequest, now: number): number {
  const agingLevels = Math.floor((now - since) / AGING_INTERVAL_MILLISECONDS);
  return request.priority + agingLevels;
}
