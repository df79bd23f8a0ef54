/**
 * Which process of an upstream began a stream if it did not report its start on the
 * connection. Another process may have replaced the listed one under its id shortly
 * before, and its first entry is read later than its first answer.
 */
import type {ListedUpstream} from '../upstreams/listed_upstream.js';

/** Largest difference between the clock of an upstream and true time. */
const CLOCK_DIFFERENCE_MILLISECONDS = 250;

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
 * Decides by the entry of the upstream in a list that was confirmed after the first
 * event; undefined if that list has none. A connection ends with its
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
