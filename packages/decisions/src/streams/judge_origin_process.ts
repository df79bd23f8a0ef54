/**
 * Which process of an upstream began a stream. Another process may have replaced
 * the listed one under its id shortly before, and its first entry is read later
 * than its first answer.
 */
import type {ListedUpstream} from '../upstreams/listed_upstream.js';

/** Largest difference between the clock of an upstream and true time. */
const CLOCK_DIFFERENCE_MILLISECONDS = 250;

/**
 * Age of the list of upstreams above which no newer one is expected soon, because
 * the store is out of reach.
 */
const STALE_LIST_MILLISECONDS = 1000;

/** Start of a process that did not report one. */
const UNKNOWN_START = 0;

/** The beginning of a stream; times in milliseconds since the epoch. */
export interface StreamBeginning {
  /** Start of the process that was listed when the request was sent. */
  readonly listedStart: number;
  readonly sentAt: number;
  readonly firstEventAt: number;
}

/** The process that began a stream. */
export type OriginProcess =
  | {readonly kind: 'as-listed'}
  /** It had replaced the listed process before the request was sent. */
  | {readonly kind: 'replacement'; readonly softwareVersion: string}
  | {readonly kind: 'unknown'};

/**
 * Decides by the present entry of the upstream. A connection ends with its
 * process, so that a process which started after the first event began nothing.
 */
export function judgeOriginProcess(
  {listedStart, sentAt, firstEventAt}: StreamBeginning,
  present: Pick<ListedUpstream, 'bornAt' | 'softwareVersion'> | undefined,
): OriginProcess {
  const start = present?.bornAt ?? UNKNOWN_START;
  if (
    present === undefined ||
    listedStart === UNKNOWN_START ||
    start <= listedStart ||
    start > firstEventAt + CLOCK_DIFFERENCE_MILLISECONDS
  ) {
    return {kind: 'as-listed'};
  }
  return start < sentAt - CLOCK_DIFFERENCE_MILLISECONDS
    ? {kind: 'replacement', softwareVersion: present.softwareVersion}
    : {kind: 'unknown'};
}

/** When a host first saw a stream, and when its list of upstreams was valid. */
export interface OriginEvidence {
  readonly firstEventAt: number;
  /** Time at which the list was last confirmed as the newest. */
  readonly listConfirmedAt: number;
}

/**
 * Returns whether the list may still lack the process that began a stream, and is
 * likely to be confirmed again soon.
 */
export function mustAwaitList(
  {firstEventAt, listConfirmedAt}: OriginEvidence,
  now: number,
): boolean {
  return (
    listConfirmedAt < firstEventAt &&
    now - listConfirmedAt <= STALE_LIST_MILLISECONDS
  );
}
