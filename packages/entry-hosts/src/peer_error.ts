/**
 * The failure of a call to another entry host.
 */

/** Why a call failed. */
export type PeerFailure =
  /** The host could not be reached; nothing was sent. */
  | 'unreachable'
  /** No answer came; the call may have had its effect. */
  | 'unanswered'
  /** The host answered with an error. */
  | 'refused';

/** A call to another entry host failed. */
export class PeerError extends Error {
  override readonly name = 'PeerError';

  constructor(
    readonly failure: PeerFailure,
    message: string,
  ) {
    super(message);
  }
}

/** Whether `value` is a `PeerError`. */
export function isPeerError(value: unknown): value is PeerError {
  return value instanceof PeerError;
}
