/**
 * Judgement of answers and errors of an attempt that is not complete.
 */
import {
  type AnswerEnd,
  isFinalStatus,
  type RoutedAttemptFailure,
} from '@lacewingwinch/decisions';
import {
  type AnswerHeaders,
  MISDIRECTED_REQUEST_STATUS,
} from '@lacewingwinch/platform';
import {
  CheckNotMetError,
  ConnectFailedError,
  OtherProcessError,
} from '@lacewingwinch/upstreams';

import {carrierResultOf, NotCarriedError} from '../../paths/relay_sender.js';

/** Statuses that promise a client that its request has not run. */
const SAFE_RETRY_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** The attempt whose answer is expected on a connection. */
interface ExpectedAnswer {
  /** Whether the body is a stream of events. */
  readonly isStream: boolean;
  readonly attemptId: string;
  /** Otherwise an answer without an id may be a late copy of an earlier one. */
  readonly isFirstOnConnection: boolean;
}

/** Returns why an answer with this head is none; undefined if it may be one. */
export function failureOfHead(
  status: number,
  answerHeaders: AnswerHeaders,
  {isStream, attemptId, isFirstOnConnection}: ExpectedAnswer,
): RoutedAttemptFailure | undefined {
  if (isForeign(answerHeaders, attemptId)) {
    return lostAnswer('the answer belongs to another attempt');
  }
  if (answerHeaders.attemptId === undefined && !isFirstOnConnection) {
    return lostAnswer('the answer may belong to an earlier attempt');
  }
  if (!isFinalStatus(status)) {
    return lostAnswer(`status ${status} is none of an answer`);
  }
  if (answerHeaders.isNotExecuted || status === MISDIRECTED_REQUEST_STATUS) {
    return {kind: 'not-executed', status};
  }
  if (SAFE_RETRY_STATUSES.has(status)) {
    return lostAnswer(`status ${status} without "not executed"`);
  }
  const isSuccess = status >= 200 && status < 300;
  if (
    isSuccess &&
    (!answerHeaders.isSigned || answerHeaders.attemptId === undefined)
  ) {
    return lostAnswer('a success without signature or attempt id');
  }
  if (answerHeaders.isEncoded) {
    return lostAnswer('the body is encoded');
  }
  if (isStream && answerHeaders.isOtherThanEvents) {
    return lostAnswer('the body is no stream of events');
  }
  return undefined;
}

/** Returns whether a response belongs to another attempt. */
export function isForeign(
  answerHeaders: AnswerHeaders,
  attemptId: string,
): boolean {
  return (
    answerHeaders.attemptId !== undefined &&
    answerHeaders.attemptId !== attemptId
  );
}

/** Returns the failure of an attempt of which the upstream got no byte. */
export function failureOfUnsent(error: Error): RoutedAttemptFailure {
  const reason = error.message;
  if (error instanceof NotCarriedError) {
    const result = carrierResultOf(error.refusal);
    return {kind: 'not-carried', result, reason};
  }
  if (error instanceof CheckNotMetError) {
    return {kind: 'withheld', reason};
  }
  if (error instanceof OtherProcessError) {
    return {kind: 'replaced', reason};
  }
  const cause =
    error instanceof ConnectFailedError ? 'connect-failed' : 'closed';
  return {kind: 'not-sent', cause, reason};
}

/** Returns the failure of an attempt whose answer is invalid. */
export function lostAnswer(reason: string): RoutedAttemptFailure {
  return {kind: 'lost', cause: 'answer', reason};
}

/** Returns the failure of an attempt whose stream is not complete. */
export function lostStream(
  {framing}: AnswerEnd,
  reason: string,
): RoutedAttemptFailure {
  const cause = framing === 'connection' ? 'connection' : 'answer';
  return {kind: 'lost', cause, reason};
}
