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
}

/** What the end of an answer says about its completeness. */
export type AnswerEndVerdict =
  | 'broken-off'
  | 'complete'
  /** It may be complete; only an end that states no more may be passed on. */
  | 'unconfirmed';

/**
 * Judges the end of an answer. A stream that ends inside an event was broken
 * off, unless it has a length, which counts the bytes of a complete body.
 */
export function judgeAnswerEnd({
  framing,
  pendingBytes,
}: AnswerEnd): AnswerEndVerdict {
  switch (framing) {
    case 'length':
      return 'complete';
    case 'chunks':
      return pendingBytes === 0 ? 'complete' : 'broken-off';
    case 'connection':
      return pendingBytes === 0 ? 'unconfirmed' : 'broken-off';
  }
}
