/**
 * Limits on the responses of upstreams in trouble: bytes without end in a
 * status line, a header, the framing of a body or an event, at once or a byte
 * now and then. Such a response must not occupy memory or a connection, and
 * slow responses that make progress must not be cut off.
 */

/** Maximum number of bytes of a response that is not streamed. */
export const MAXIMUM_RESPONSE_BYTES = 8 * 1024 * 1024;

/** Maximum number of bytes of one event of a stream. */
export const MAXIMUM_EVENT_BYTES = 1024 * 1024;

/** Bytes of status line, headers and trailers that any response may have. */
const MAXIMUM_HEAD_BYTES = 64 * 1024;

/** A chunk of one byte is framed by five more bytes. */
const FRAMING_BYTES_PER_BODY_BYTE = 6;

/**
 * Returns whether a response has more bytes besides its body than its headers
 * and chunks can need. `receivedBytes` includes the body.
 */
export function hasExcessiveFraming(
  receivedBytes: number,
  bodyBytes: number,
): boolean {
  const allowedBytes =
    MAXIMUM_HEAD_BYTES + bodyBytes * FRAMING_BYTES_PER_BODY_BYTE;
  return receivedBytes - bodyBytes > allowedBytes;
}

/** What a client expects of a stream. */
export interface StreamObjectives {
  /** Latency objective of the first event. */
  readonly objectiveMilliseconds: number;
  /** Longest gap between events that is on time; undefined if not stated. */
  readonly eventGapMilliseconds: number | undefined;
}

/** Time without an event for which a client waits at least. */
const MINIMUM_PATIENCE_MILLISECONDS = 2000;

/** Time without an event for which a client waits, in latency objectives. */
const PATIENCE_OBJECTIVES = 4;

/** Time without an event for which a client waits, in gaps on time. */
const PATIENCE_GAPS = 8;

/**
 * Returns the time within which a begun event must be complete: clients abandon
 * a stream after that time without an event.
 */
export function eventPatienceMilliseconds(
  objectives: StreamObjectives,
): number {
  return Math.max(
    MINIMUM_PATIENCE_MILLISECONDS,
    objectives.objectiveMilliseconds * PATIENCE_OBJECTIVES,
    (objectives.eventGapMilliseconds ?? 0) * PATIENCE_GAPS,
  );
}

/** An event of a stream that is not complete yet. */
export interface PendingEvent {
  readonly bytes: number;
  /** Time at which its first byte arrived. */
  readonly since: number;
}

/** A reason to give up a stream. */
export type StreamFault = 'event-too-large' | 'event-too-slow';

/** Returns what is wrong with a pending event at `now`, if anything. */
export function findStreamFault(
  event: PendingEvent,
  patienceMilliseconds: number,
  now: number,
): StreamFault | undefined {
  if (event.bytes > MAXIMUM_EVENT_BYTES) {
    return 'event-too-large';
  }
  return now - event.since > patienceMilliseconds
    ? 'event-too-slow'
    : undefined;
}
