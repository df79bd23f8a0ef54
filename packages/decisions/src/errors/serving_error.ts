/**
 * The error class for failures that are reported to the client.
 */
import {
  type ErrorKind,
  errorRow,
  promisesNotRun,
  type RanStatus,
} from './error_kinds.js';

/** Longest wait that an answer states. */
const MAXIMUM_WAIT_SECONDS = 3600;

/** Values of one error that replace the defaults of the error table. */
export interface ServingErrorOptions {
  /** A sentence for the client; must not contain secrets. */
  readonly detail?: string;
  readonly ran?: RanStatus;
  readonly retryAfterSeconds?: number;
  readonly cause?: unknown;
}

/** The body of an `application/problem+json` response. */
export interface ProblemDocument {
  readonly type: string;
  readonly title: string;
  readonly status: number;
  readonly kind: ErrorKind;
  readonly detail?: string;
  readonly ran: RanStatus;
  readonly requestId?: string;
  readonly retryAfterSeconds?: number;
}

/** A failure with one of the listed error kinds. */
export class ServingError extends Error {
  override readonly name = 'ServingError';
  readonly ran: RanStatus;
  readonly retryAfterSeconds: number | undefined;
  readonly detail: string | undefined;

  constructor(
    readonly kind: ErrorKind,
    options: ServingErrorOptions = {},
  ) {
    const row = errorRow(kind);
    super(options.detail ?? row.title, {cause: options.cause});
    this.ran = options.ran ?? row.ran;
    this.detail = options.detail;
    this.retryAfterSeconds =
      boundedWait(options.retryAfterSeconds) ?? row.retryAfterSeconds;
  }

  /**
   * HTTP status code of the response. A request that may have run never gets a
   * status that promises the opposite.
   */
  get status(): number {
    const {status} = errorRow(this.kind);
    return promisesNotRun(status) && this.ran !== 'no'
      ? errorRow('outcome-unknown').status
      : status;
  }

  /** Returns the problem document for the response. */
  toProblem(requestId?: string): ProblemDocument {
    return {
      type: `urn:lacewingwinch:error:${this.kind}`,
      title: errorRow(this.kind).title,
      status: this.status,
      kind: this.kind,
      ...(this.detail === undefined ? {} : {detail: this.detail}),
      ran: this.ran,
      ...(requestId === undefined ? {} : {requestId}),
      ...(this.retryAfterSeconds === undefined
        ? {}
        : {retryAfterSeconds: this.retryAfterSeconds}),
    };
  }
}

/** Returns whether `value` is a `ServingError`. */
export function isServingError(value: unknown): value is ServingError {
  return value instanceof ServingError;
}

/** Returns a wait that a header can state; undefined if it is no number. */
function boundedWait(seconds: number | undefined): number | undefined {
  return seconds === undefined || Number.isNaN(seconds)
    ? undefined
    : Math.min(MAXIMUM_WAIT_SECONDS, Math.max(0, seconds));
}
