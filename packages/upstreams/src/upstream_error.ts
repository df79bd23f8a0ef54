/**
 * The failure of one attempt at an upstream.
 */
import type {AttemptFailure} from '@lacewingwinch/decisions';

/** One attempt at an upstream failed. */
export class UpstreamError extends Error {
  override readonly name = 'UpstreamError';

  constructor(
    readonly failure: AttemptFailure,
    message: string,
    /** Whether a byte of the attempt was written. */
    readonly wasSent: boolean,
  ) {
    super(message);
  }
}

/** Whether `value` is an `UpstreamError`. */
export function isUpstreamError(value: unknown): value is UpstreamError {
  return value instanceof UpstreamError;
}
