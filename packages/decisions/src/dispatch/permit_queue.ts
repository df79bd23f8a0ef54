/**
 * The queue of asks that wait for a place at an upstream.
 */
import type {PermitAsk} from './dispatch_messages.js';

/** Milliseconds of waiting that raise an ask by one priority. */
export const AGING_MILLISECONDS = 500;

/** An ask that waits. */
export interface WaitingAsk {
  readonly ask: PermitAsk;
  /** Milliseconds since the epoch. */
  readonly since: number;
}

/** When a waiting ask must be refused, in milliseconds since the epoch. */
export function latestStart({ask, since}: WaitingAsk): number {
  return Math.min(since + ask.maximumWait, ask.deadline);
}

/**
 * Orders asks: aged priority first, then the workspace with the fewest calls
 * in progress, then the earliest deadline, then the longest wait.
 */
export function compareAsks(
  left: WaitingAsk,
  right: WaitingAsk,
  inFlightOf: (workspace: string) => number,
  now: number,
): number {
  return (
    agedPriority(right, now) - agedPriority(left, now) ||
    inFlightOf(left.ask.workspace) - inFlightOf(right.ask.workspace) ||
    left.ask.deadline - right.ask.deadline ||
    left.since - right.since
  );
}

function agedPriority({ask, since}: WaitingAsk, now: number): number {
  const raised = Math.floor((now - since) / AGING_MILLISECONDS);
  return ask.priority + raised;
}
