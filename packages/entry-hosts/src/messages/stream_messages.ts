/**
 * Messages that keep the origins of streams.
 */
import type {OriginKnowledge, StreamOrigin} from '@lacewingwinch/decisions';

/** Question for the origin of a stream that a client takes up. */
export interface OriginQuery {
  /** ID of the attempt that brought the first event; empty if not stated. */
  readonly attemptId: string;
  readonly service: string;
  /** Milliseconds for which streams of the rule may be taken up. */
  readonly lifetimeMilliseconds: number;
  /**
   * Whether the host looks for the origin in the store as well; builds before do
   * not.
   */
  readonly readsStore?: boolean;
}

/** Parameters and result of each of these methods. */
export interface StreamMethods {
  /** Gives the origins of streams to a host that keeps them. */
  readonly 'stream.began': {
    readonly params: {readonly origins: readonly StreamOrigin[]};
    readonly result: null;
  };
  /** Returns what a host knows of the origin of a stream. */
  readonly 'stream.locate': {
    readonly params: OriginQuery;
    readonly result: OriginKnowledge;
  };
}
