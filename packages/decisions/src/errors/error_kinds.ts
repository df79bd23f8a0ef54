/**
 * The complete list of error kinds and the response to each of them.
 */

/** Whether any byte of any attempt can have reached an upstream. */
export type RanStatus = 'no' | 'unknown' | 'yes';

/** Whether, when or where a client can usefully retry after a refusal. */
export type RetryAdvice = 'another-entry-host' | 'later' | 'never';

/** The response to one kind of error. */
export interface ErrorRow {
  /** HTTP status code. */
  readonly status: number;
  /** Short title of the problem document. */
  readonly title: string;
  /** Default of `ran`; the thrown error can replace it. */
  readonly ran: RanStatus;
  readonly retry: RetryAdvice;
  /** Default of `Retry-After` in seconds; the thrown error can replace it. */
  readonly retryAfterSeconds?: number;
}

/** The response to each kind of error. */
export const ERROR_TABLE = {
  'backup-unreachable': {
    status: 503,
    title: 'No entry host of another failure domain can hold the request',
    ran: 'no',
    retry: 'later',
    retryAfterSeconds: 2,
  },
  'deadline-passed': {
    status: 504,
    title: 'The deadline passed',
    ran: 'no',
    retry: 'never',
  },
  'headers-too-large': {
    status: 431,
    title: 'The request headers are too large',
    ran: 'no',
    retry: 'never',
  },
  'host-full': {
    status: 503,
    title: 'This entry host has no memory for the request',
    ran: 'no',
    retry: 'another-entry-host',
    retryAfterSeconds: 1,
  },
  internal: {
    status: 500,
    title: 'Internal error',
    ran: 'unknown',
    retry: 'later',
    retryAfterSeconds: 5,
  },
  'key-expired': {
    status: 409,
    title: 'The idempotency key is older than the claim window',
    ran: 'unknown',
    retry: 'never',
  },
  'key-reused': {
    status: 422,
    title: 'The idempotency key was used with other content',
    ran: 'no',
    retry: 'never',
  },
  'key-without-age': {
    status: 400,
    title: 'The idempotency key does not show its age',
    ran: 'unknown',
    retry: 'never',
  },
  'limit-exceeded': {
    status: 429,
    title: 'A limit of the workspace is used up',
    ran: 'no',
    retry: 'later',
    retryAfterSeconds: 1,
  },
  'log-unavailable': {
    status: 503,
    title: 'The claim of a non-idempotent request cannot be recorded',
    ran: 'no',
    retry: 'later',
    retryAfterSeconds: 5,
  },
  'method-not-allowed': {
    status: 405,
    title: 'The method is not allowed here',
    ran: 'no',
    retry: 'never',
  },
  'no-rule-matched': {
    status: 403,
    title: 'No rule matches the request',
    ran: 'no',
    retry: 'never',
  },
  'no-upstream': {
    status: 503,
    title: 'No upstream that the rule allows can take the request',
    ran: 'no',
    retry: 'later',
    retryAfterSeconds: 2,
  },
  'stream-unknown': {
    status: 503,
    title: 'The software version that began the stream is not known',
    ran: 'no',
    retry: 'later',
    retryAfterSeconds: 1,
  },
  'not-ready': {
    status: 503,
    title: 'This entry host is not serving',
    ran: 'no',
    retry: 'another-entry-host',
    retryAfterSeconds: 1,
  },
  'outcome-unknown': {
    status: 502,
    title: 'The request may have run; its outcome is not known',
    ran: 'unknown',
    retry: 'never',
  },
  overloaded: {
    status: 503,
    title: 'The upstreams cannot start the request in time',
    ran: 'no',
    retry: 'later',
    retryAfterSeconds: 2,
  },
  'path-unknown': {
    status: 404,
    title: 'Nothing is served at this path',
    ran: 'no',
    retry: 'never',
  },
  'prompt-part-quarantined': {
    status: 503,
    title: 'A part of the prompt crashed several upstreams',
    ran: 'no',
    retry: 'later',
    retryAfterSeconds: 60,
  },
  quarantined: {
    status: 422,
    title: 'The same content crashed several upstreams',
    ran: 'no',
    retry: 'later',
  },
  'refused-by-rule': {
    status: 403,
    title: 'A rule refuses the request',
    ran: 'no',
    retry: 'never',
  },
  'request-malformed': {
    status: 400,
    title: 'The request is malformed',
    ran: 'no',
    retry: 'never',
  },
  'request-too-large': {
    status: 413,
    title: 'The request body is too large',
    ran: 'no',
    retry: 'never',
  },
  'request-unknown': {
    status: 404,
    title: 'No request with this id is known',
    ran: 'unknown',
    retry: 'never',
  },
  'service-unknown': {
    status: 404,
    title: 'No such service',
    ran: 'no',
    retry: 'never',
  },
  'upstream-failed': {
    status: 502,
    title: 'Every allowed attempt failed',
    ran: 'unknown',
    retry: 'later',
    retryAfterSeconds: 2,
  },
  'workspace-key-rejected': {
    status: 401,
    title: 'The workspace key is missing or wrong',
    ran: 'no',
    retry: 'never',
  },
} as const satisfies Readonly<Record<string, ErrorRow>>;

/** A kind of error that a client can receive. */
export type ErrorKind = keyof typeof ERROR_TABLE;

/** Returns the response to errors of `kind`. */
export function errorRow(kind: ErrorKind): ErrorRow {
  return ERROR_TABLE[kind];
}

/** Statuses by which a client is promised that its request has not run. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/**
 * Returns whether a response with `status` promises that the request has not run and
 * never will.
 */
export function promisesNotRun(status: number): boolean {
  return NOT_RUN_STATUSES.has(status);
}

/** All error kinds in alphabetical order. */
export const ERROR_KINDS: readonly ErrorKind[] = (
  Object.keys(ERROR_TABLE) as ErrorKind[]
).sort();
