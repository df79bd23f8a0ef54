/**
 * Whether an answer that ended without an error of its connection is complete.
 * An upstream that crashes may end its connection in the orderly way, so the end
 * of a connection confirms nothing.
 */
import type {BodyFraming} from './body_framing.js';

/** The end of an answer, as it arrived. */
export interface AnswerEnd {
  readonly framing: BodyFraming;
  /** Bytes of a stream after its last complete event. */
  readonly pendingBytes: number;
  /** Events that this answer added to its stream. */
  readonly events: number;
  /** Whether the answer continues a stream, so that no event may be left. */
  readonly isContinuation: boolean;
  /** Whether it continues one of which the same client has events in this answer. */
  readonly isJoined: boolean;
}

/** What the end of an answer says about its completeness. */
export type AnswerEndVerdict =
  | 'broken-off'
  | 'complete'
  /** It may be complete; only an end that states no more may be passed on. */
  | 'unconfirmed';

/**
 * Judges the end of an answer by its events, and by its framing as far as that
 * confirms anything. A stream that ends inside an event was broken off, whatever its
 * length states. So was one that ends with its connection before its first event. A
 * continuation that is joined to other events and brings none confirms no end:
 * upstreams in trouble answer with nothing as well.
 */
export function judgeAnswerEnd({
  framing,
  pendingBytes,
  events,
  isContinuation,
  isJoined,
}: AnswerEnd): AnswerEndVerdict {
  if (pendingBytes > 0 || (isJoined && events === 0)) {
    return 'broken-off';
  }
  switch (framing) {
    case 'length':
    case 'chunks':
      return 'complete';
    case 'connection':
      return events > 0 || isContinuation ? 'unconfirmed' : 'broken-off';
  }
}
