/**
 * The promises of the platform's pages, checked from what callers and upstreams
 * saw.
 */

/** How often a request may run. */
export type SoakKind = 'again' | 'once' | 'resumed' | 'stream';

/** One call and its answer, as its caller saw them. */
export interface SeenCall {
  readonly attemptId: string;
  readonly kind: SoakKind;
  readonly key: string;
  /** Milliseconds from the start of traffic. */
  readonly sentAt: number;
  /** Undefined if no answer came. */
  readonly status: number | undefined;
  readonly body: string;
  readonly isComplete: boolean;
  readonly isSigned: boolean;
  readonly answeredAttemptId: string | undefined;
}

/** A report of usage that the platform accepted. */
export interface SeenReport {
  readonly window: unknown;
  readonly counts: string;
}

/** All that was seen in a run. */
export interface SeenRun {
  readonly calls: readonly SeenCall[];
  /** Attempt of each request that ran, in the order of the runs. */
  readonly ran: readonly string[];
  readonly reports: readonly SeenReport[];
  /** When the store held the revocation of `revokedKey`. */
  readonly revokedAt: number | undefined;
  readonly revokedKey: string;
  /** Milliseconds after which a revoked key must be refused everywhere. */
  readonly revocationMilliseconds: number;
  /** Events of a whole stream. */
  readonly streamEvents: number;
}

/** A promise that was broken. */
export interface Violation {
  readonly promise:
    | 'answer-of-another'
    | 'two-reports'
    | 'refused-and-ran'
    | 'revoked-key-served'
    | 'stream-not-whole'
    | 'twice'
    | 'unsigned-success';
  readonly detail: string;
}

/** Statuses by which a host promises that a request did not and will not run. */
const NOT_RUN_STATUSES: ReadonlySet<number | undefined> = new Set([
  408, 421, 429, 503,
]);

/** Every promise that `run` broke. */
export function checkPromises(run: SeenRun): readonly Violation[] {
  const runs = new Map<string, number>();
  for (const attemptId of run.ran) {
    runs.set(attemptId, (runs.get(attemptId) ?? 0) + 1);
  }
  return [
    ...run.calls.flatMap(call => [
      ...checkExecution(call, runs.get(call.attemptId) ?? 0),
      ...checkAnswer(call, run.streamEvents),
      ...checkKey(call, run),
    ]),
    ...checkReports(run.reports),
  ];
}

function checkExecution(
  {attemptId, kind, status}: SeenCall,
  runs: number,
): readonly Violation[] {
  if (kind === 'again' || kind === 'resumed') {
    return [];
  }
  const found: Violation[] = [];
  if (runs > 1) {
    found.push({promise: 'twice', detail: `${attemptId} ran ${runs} times`});
  }
  if (runs > 0 && NOT_RUN_STATUSES.has(status)) {
    const detail = `${attemptId} got ${status ?? 0} and ran`;
    found.push({promise: 'refused-and-ran', detail});
  }
  return found;
}

function checkAnswer(
  call: SeenCall,
  streamEvents: number,
): readonly Violation[] {
  const {attemptId, status, body, kind} = call;
  if (status !== 200) {
    return [];
  }
  if (call.answeredAttemptId !== attemptId) {
    const detail = `${attemptId} got that of ${call.answeredAttemptId ?? ''}`;
    return [{promise: 'answer-of-another', detail}];
  }
  if (!call.isSigned) {
    return [{promise: 'unsigned-success', detail: attemptId}];
  }
  if (kind === 'stream' || kind === 'resumed') {
    return checkStream(call, streamEvents);
  }
  return !call.isComplete || body.endsWith(` for ${attemptId}`)
    ? []
    : [{promise: 'answer-of-another', detail: `${attemptId}: ${body}`}];
}

/** A stream may break off, but then it must not look complete. */
function checkStream(
  {attemptId, body, isComplete}: SeenCall,
  streamEvents: number,
): readonly Violation[] {
  const events = body.split('\n\n').filter(text => text !== '');
  const expected = Array.from(
    {length: streamEvents},
    (_, index) => `id: ${index + 1}\ndata: event-${index + 1} for ${attemptId}`,
  );
  const isPrefix = events.every((event, index) => event === expected[index]);
  const isWhole = events.length === streamEvents;
  return isPrefix && (isWhole || !isComplete)
    ? []
    : [{promise: 'stream-not-whole', detail: `${attemptId}: ${body}`}];
}

function checkKey(
  {attemptId, key, sentAt, status}: SeenCall,
  {revokedAt, revokedKey, revocationMilliseconds}: SeenRun,
): readonly Violation[] {
  const isLate =
    revokedAt !== undefined &&
    key === revokedKey &&
    sentAt > revokedAt + revocationMilliseconds;
  if (!isLate || status !== 200) {
    return [];
  }
  const after = Math.round(sentAt - revokedAt);
  const detail = `${attemptId}, sent ${after} ms after the revocation`;
  return [{promise: 'revoked-key-served', detail}];
}

function checkReports(reports: readonly SeenReport[]): readonly Violation[] {
  const known = new Map<unknown, string>();
  return reports.flatMap(({window, counts}): readonly Violation[] => {
    const before = known.get(window) ?? counts;
    known.set(window, before);
    return before === counts
      ? []
      : [
          {
            promise: 'two-reports',
            detail: `${String(window)}: ${before}, then ${counts}`,
          },
        ];
  });
}
