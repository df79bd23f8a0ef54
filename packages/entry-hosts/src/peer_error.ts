/**
 * Errors of calls to other entry hosts.
 */

/** Reason why a call failed, and whether it can have had an effect. */
export type PeerFailure =
  /** No connection could be made; nothing was sent. */
  | 'unreachable'
  /** No response arrived; the call may have taken effect. */
  | 'unanswered'
  /** The host responded with an error. */
  | 'refused';

/** Error thrown when a call to another entry host fails. */
export class PeerError extends Error {
  override readonly name = 'PeerError';

  constructor(
    readonly failure: PeerFailure,
    message: string,
  ) {
    super(message);
  }
}

/** Returns whether `value` is a `PeerError`. */
export function isPeerError(value: unknown): value is PeerError {
  return value instanceof PeerError;
}
