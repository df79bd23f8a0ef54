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
  /** Complete events of a stream in this answer. */
  readonly events: number;
  /** Whether the answer continues a stream, so that no event may be left. */
  readonly isContinuation: boolean;
}

/** What the end of an answer says about its completeness. */
export type AnswerEndVerdict =
  | 'broken-off'
  | 'complete'
  /** It may be complete; only an end that states no more may be passed on. */
  | 'unconfirmed';

/**
 * Judges the end of an answer. A stream that ends inside an event was broken
 * off, unless it has a length, which counts the bytes of a complete body. One
 * that ends with its connection before its first event was broken off as well.
 */
export function judgeAnswerEnd({
  framing,
  pendingBytes,
  events,
  isContinuation,
}: AnswerEnd): AnswerEndVerdict {
  switch (framing) {
    case 'length':
      return 'complete';
    case 'chunks':
      return pendingBytes === 0 ? 'complete' : 'broken-off';
    case 'connection':
      return pendingBytes === 0 && (events > 0 || isContinuation)
        ? 'unconfirmed'
        : 'broken-off';
  }
}
