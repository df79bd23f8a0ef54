/**
 * A request that is attempted at upstreams, and when its attempts took place.
 */
import type {RoutedCall} from '@lacewingwinch/callers';
import type {RoutedAdmission, UsableUpstream} from '@lacewingwinch/decisions';

import type {StreamRelay} from './stream_relay.js';

/** The request that is sent to upstreams. */
export interface AttemptedRequest {
  readonly attemptId: string;
  readonly promptTokens: number;
  /** Whether the client takes a stream up after one of its events. */
  readonly isContinuation: boolean;
  readonly call: RoutedCall;
  readonly admission: RoutedAdmission;
  /** The part of the response that the client has received so far. */
  readonly relay: StreamRelay;
  /** Returns the number of upstreams that may run it. */
  readonly maximumAttempts: () => number;
  /** Returns whether it may be sent to `upstream` just before its first byte. */
  readonly mayBeSent: (upstream: UsableUpstream) => boolean;
  /** Called at the first sign that an upstream is working on the request. */
  readonly onFirstAnswerByte: (upstream: UsableUpstream) => void;
}

/** Steady clock readings of an attempt; undefined for what did not happen. */
export interface AttemptTimes {
  readonly sentAt: number | undefined;
  readonly answerBegunAt: number | undefined;
}
