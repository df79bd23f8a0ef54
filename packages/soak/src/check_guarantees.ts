/**
 * Checks the guarantees of the platform's documentation against what clients,
 * upstreams and the store observed during a run.
 */

import type {ObservedBudget} from './budget_observer.js';

/**
 * The kinds of calls: idempotent requests (`again`), non-idempotent requests
 * (`once`), streams, and streams that may be resumed.
 */
export type SoakCallKind = 'again' | 'once' | 'resumed' | 'stream';

/** A call and its answer, as the client observed them. */
export interface ObservedCall {
  readonly attemptId: string;
  readonly kind: SoakCallKind;
  readonly key: string;
  /** Milliseconds since the start of the run. */
  readonly sentAt: number;
  /** Status of the answer; undefined if there was none. */
  readonly status: number | undefined;
  readonly body: string;
  readonly isComplete: boolean;
  /** Whether the end of the answer says that it is complete. */
  readonly isFramed: boolean;
  readonly isSigned: boolean;
  readonly answeredAttemptId: string | undefined;
}

/** A usage report that the platform accepted. */
export interface ObservedReport {
  readonly window: unknown;
  readonly counts: string;
}

/** Everything that was observed during a run. */
export interface ObservedRun {
  readonly calls: readonly ObservedCall[];
  /**
   * Attempt ids of the requests that upstreams executed, in the order of
   * execution at each upstream. An attempt executed twice is listed twice.
   */
  readonly executedAttemptIds: readonly string[];
  readonly reports: readonly ObservedReport[];
  /**
   * Milliseconds from the start of the run to the revocation of `revokedKey`
   * in the store; undefined if it was not revoked.
   */
  readonly revokedAt: number | undefined;
  readonly revokedKey: string;
  /** Milliseconds after which every host must refuse a revoked key. */
  readonly revocationMilliseconds: number;
  /** Number of events in a complete stream. */
  readonly streamEvents: number;
  readonly limits?: readonly ObservedLimit[];
  /**
   * Requests with a crashing part that were executed after the hosts had the time
   * to refuse it, and how many may be.
   */
  readonly crashing?: {readonly executed: number; readonly tolerated: number};
  /** Ids of the attempts that went on at another software version. */
  readonly mixedAttemptIds?: readonly string[];
  readonly budgets?: readonly ObservedBudget[];
  /** Descriptions of processes that ended by themselves. */
  readonly ownEnds?: readonly string[];
  /** Descriptions of versions and fencing numbers that went back. */
  readonly numbersGoingBack?: readonly string[];
}

/** An upstream that named a limit for a while. */
export interface ObservedLimit {
  readonly upstreamId: string;
  /** Most requests in a window, and how many may be. */
  readonly most: number;
  readonly tolerated: number;
}

/** A violation of a guarantee. */
export interface Violation {
  readonly guarantee:
    | 'answer-of-another'
    | 'budget-exceeded'
    | 'crashing-part-sent'
    | 'limit-exceeded'
    | 'number-went-back'
    | 'process-ended'
    | 'two-versions'
    | 'two-reports'
    | 'refused-and-ran'
    | 'revoked-key-served'
    | 'stream-not-whole'
    | 'twice'
    | 'unsigned-success';
  readonly detail: string;
}

/**
 * Statuses by which a host guarantees that the request was not executed and
 * never will be.
 */
const NOT_EXECUTED_STATUSES: ReadonlySet<number | undefined> = new Set([
  408, 421, 429, 503,
]);

/** Returns all violations of guarantees in `run`. */
export function checkGuarantees(run: ObservedRun): readonly Violation[] {
  const executionCounts = new Map<string, number>();
  for (const attemptId of run.executedAttemptIds) {
    executionCounts.set(attemptId, (executionCounts.get(attemptId) ?? 0) + 1);
  }
  return [
    ...run.calls.flatMap(call => [
      ...checkExecution(call, executionCounts.get(call.attemptId) ?? 0),
      ...checkAnswer(call, run.streamEvents),
      ...checkKey(call, run),
    ]),
    ...checkReports(run.reports),
    ...checkUpstreams(run),
    ...checkHosts(run),
  ];
}

function checkExecution(
  {attemptId, kind, status}: ObservedCall,
  executionCount: number,
): readonly Violation[] {
  if (kind === 'again' || kind === 'resumed') {
    return [];
  }
  const violations: Violation[] = [];
  if (executionCount > 1) {
    violations.push({
      guarantee: 'twice',
      detail: `${attemptId} ran ${executionCount} times`,
    });
  }
  if (executionCount > 0 && NOT_EXECUTED_STATUSES.has(status)) {
    const detail = `${attemptId} got status ${status ?? 0} but ran`;
    violations.push({guarantee: 'refused-and-ran', detail});
  }
  return violations;
}

function checkAnswer(
  call: ObservedCall,
  streamEvents: number,
): readonly Violation[] {
  const {attemptId, status, body, kind} = call;
  if (status !== 200) {
    return [];
  }
  if (call.answeredAttemptId !== attemptId) {
    const detail = `${attemptId} got the answer of ${call.answeredAttemptId ?? ''}`;
    return [{guarantee: 'answer-of-another', detail}];
  }
  if (!call.isSigned) {
    return [{guarantee: 'unsigned-success', detail: attemptId}];
  }
  if (kind === 'stream' || kind === 'resumed') {
    return checkStream(call, streamEvents);
  }
  return !call.isComplete || body.endsWith(` for ${attemptId}`)
    ? []
    : [{guarantee: 'answer-of-another', detail: `${attemptId}: ${body}`}];
}

/** Checks a stream: it may break off, but then it must not look complete. */
function checkStream(
  {attemptId, body, isComplete, isFramed}: ObservedCall,
  streamEvents: number,
): readonly Violation[] {
  const events = body.split('\n\n').filter(text => text !== '');
  const expected = Array.from(
    {length: streamEvents},
    (_, index) => `id: ${index + 1}\ndata: event-${index + 1} for ${attemptId}`,
  );
  const isPrefix = events.every(
    (event, index) => event.replace(/\.+$/, '') === expected[index],
  );
  const hasAllEvents = events.length === streamEvents;
  const looksComplete = isComplete && isFramed;
  return isPrefix && (hasAllEvents || !looksComplete)
    ? []
    : [{guarantee: 'stream-not-whole', detail: `${attemptId}: ${body}`}];
}

function checkKey(
  {attemptId, key, sentAt, status}: ObservedCall,
  {revokedAt, revokedKey, revocationMilliseconds}: ObservedRun,
): readonly Violation[] {
  const isAfterRevocationDeadline =
    revokedAt !== undefined &&
    key === revokedKey &&
    sentAt > revokedAt + revocationMilliseconds;
  if (!isAfterRevocationDeadline || status !== 200) {
    return [];
  }
  const elapsedMilliseconds = Math.round(sentAt - revokedAt);
  const detail = `${attemptId}, sent ${elapsedMilliseconds} ms after the revocation`;
  return [{guarantee: 'revoked-key-served', detail}];
}

function checkUpstreams({
  limits = [],
  crashing,
  mixedAttemptIds = [],
}: ObservedRun): readonly Violation[] {
  const exceeded = limits.filter(({most, tolerated}) => most > tolerated);
  const hasCrashed =
    crashing !== undefined && crashing.executed > crashing.tolerated;
  return [
    ...exceeded.map(({upstreamId, most, tolerated}) => ({
      guarantee: 'limit-exceeded' as const,
      detail: `${upstreamId} got ${most} requests, ${tolerated} are tolerated`,
    })),
    ...mixedAttemptIds.map(attemptId => ({
      guarantee: 'two-versions' as const,
      detail: attemptId,
    })),
    ...(hasCrashed
      ? [
          {
            guarantee: 'crashing-part-sent' as const,
            detail: `${crashing.executed} requests, ${crashing.tolerated} are tolerated`,
          },
        ]
      : []),
  ];
}

function checkHosts({
  budgets = [],
  ownEnds = [],
  numbersGoingBack = [],
}: ObservedRun): readonly Violation[] {
  return [
    ...budgets
      .filter(({repeats, tolerated}) => repeats > tolerated)
      .map(({service, repeats, tolerated}) => ({
        guarantee: 'budget-exceeded' as const,
        detail: `${service} got ${repeats} repeats, ${tolerated} are tolerated`,
      })),
    ...ownEnds.map(detail => ({guarantee: 'process-ended' as const, detail})),
    ...numbersGoingBack.map(detail => ({
      guarantee: 'number-went-back' as const,
      detail,
    })),
  ];
}

function checkReports(
  reports: readonly ObservedReport[],
): readonly Violation[] {
  const countsByWindow = new Map<unknown, string>();
  return reports.flatMap(({window, counts}): readonly Violation[] => {
    const expectedCounts = countsByWindow.get(window) ?? counts;
    countsByWindow.set(window, expectedCounts);
    return expectedCounts === counts
      ? []
      : [
          {
            guarantee: 'two-reports',
            detail: `${String(window)}: ${expectedCounts}, then ${counts}`,
          },
        ];
  });
}
