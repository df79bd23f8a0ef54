/**
 * The error of a failed attempt at an upstream.
 */
import type {AttemptFailure} from '@lacewingwinch/decisions';

/** Error of one failed attempt at an upstream. */
export class UpstreamError extends Error {
  override readonly name = 'UpstreamError';

  constructor(
    readonly failure: AttemptFailure,
    message: string,
    /** Whether any byte of the attempt was written. */
    readonly wasSent: boolean,
    cause?: Error,
  ) {
    super(message, {cause});
  }
}

/** Returns whether `value` is an `UpstreamError`. */
export function isUpstreamError(value: unknown): value is UpstreamError {
  return value instanceof UpstreamError;
}
