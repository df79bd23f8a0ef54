/**
 * Explains a request from the log lines that entry hosts wrote to standard
 * output.
 */
import {createInterface} from 'node:readline';

import {z} from 'zod';

/** Events about a single request on the platform. */
const REQUEST_ENDED_EVENT = 4101;
const ATTEMPT_FAILED_EVENT = 4102;
const REQUEST_REFUSED_EVENT = 4103;
const REQUEST_SENT_EVENT = 4104;

/**
 * Events that may explain what happened to the requests of a host: it is
 * leaving, had an unexpected error, lost or regained access to a log, could not
 * call a peer, lost the duty lease, or learned of a new configuration or of the
 * new state of an upstream.
 */
const CONTEXT_EVENTS: ReadonlySet<number> = new Set([
  1003, 1006, 2001, 2002, 2003, 3004, 3005, 5004,
]);

/** Milliseconds of context shown before the first line of a request. */
const CONTEXT_MILLISECONDS = 5000;

/** Maximum number of context lines kept in memory while reading. */
const MAXIMUM_CONTEXT_LINES = 100_000;

const LINE_SCHEMA = z.looseObject({
  event: z.number(),
  hostId: z.string(),
  message: z.string(),
  timestamp: z.string(),
  requestId: z.string().optional(),
  upstreamId: z.string().optional(),
  kind: z.string().optional(),
  outcome: z.string().optional(),
  failure: z.string().optional(),
  reason: z.union([z.string(), z.number()]).optional(),
  duration: z.number().optional(),
  estimate: z.number().optional(),
});

/** A parsed line of the log. */
export type LogLine = z.infer<typeof LINE_SCHEMA>;

/** The explanation of a request from the logs. */
export interface LoggedExplanation {
  readonly requestId: string;
  /** Log lines of the request from all hosts, ordered by time. */
  readonly lines: readonly LogLine[];
  /** Other events at its hosts and upstreams at that time. */
  readonly context: readonly LogLine[];
  readonly cause: string;
}

/**
 * Explains a request from the log lines in `input`, which is read to its end.
 * Returns undefined if no line is about the request.
 */
export async function explainFromLogs(
  requestId: string,
  input: NodeJS.ReadableStream,
): Promise<LoggedExplanation | undefined> {
  const lines: LogLine[] = [];
  const context: LogLine[] = [];
  for await (const text of createInterface({input})) {
    const line = parseLine(text);
    if (line?.requestId === requestId) {
      lines.push(line);
    } else if (line !== undefined && CONTEXT_EVENTS.has(line.event)) {
      context.push(line);
      if (context.length > MAXIMUM_CONTEXT_LINES) {
        context.shift();
      }
    }
  }
  if (lines.length === 0) {
    return undefined;
  }
  const ordered = lines.sort(compareTimestamps);
  return {
    requestId,
    lines: ordered,
    context: context
      .filter(line => isContextOf(line, ordered))
      .sort(compareTimestamps),
    cause: describeCause(ordered),
  };
}

/** Returns the text of an explanation. */
export function renderLoggedExplanation(
  explanation: LoggedExplanation,
): string {
  const render = ({timestamp, hostId, event, message}: LogLine): string =>
    `  ${timestamp} ${hostId} ${event} ${message}`;
  return [
    `${explanation.requestId}: ${explanation.cause}`,
    'request:',
    ...explanation.lines.map(render),
    ...(explanation.context.length === 0
      ? []
      : ['its hosts and upstreams at that time:']),
    ...explanation.context.map(render),
  ].join('\n');
}

/**
 * Parses a line of the log. Log collectors may write a prefix before the JSON
 * object.
 */
function parseLine(text: string): LogLine | undefined {
  const start = text.indexOf('{');
  if (start < 0) {
    return undefined;
  }
  try {
    return LINE_SCHEMA.safeParse(JSON.parse(text.slice(start))).data;
  } catch {
    // The line is truncated or comes from another program.
    return undefined;
  }
}

function compareTimestamps(left: LogLine, right: LogLine): number {
  return Date.parse(left.timestamp) - Date.parse(right.timestamp);
}

function isContextOf(line: LogLine, request: readonly LogLine[]): boolean {
  const first = request[0];
  const last = request.at(-1);
  if (first === undefined || last === undefined) {
    return false;
  }
  const time = Date.parse(line.timestamp);
  const isInTimeRange =
    time >= Date.parse(first.timestamp) - CONTEXT_MILLISECONDS &&
    time <= Date.parse(last.timestamp);
  const isFromRequestHost = request.some(({hostId}) => hostId === line.hostId);
  const isAboutRequestUpstream =
    line.upstreamId === undefined ||
    request.some(({upstreamId}) => upstreamId === line.upstreamId);
  return isInTimeRange && isFromRequestHost && isAboutRequestUpstream;
}

function describeCause(lines: readonly LogLine[]): string {
  const refusal = lines.find(({event}) => event === REQUEST_REFUSED_EVENT);
  const failures = lines.filter(({event}) => event === ATTEMPT_FAILED_EVENT);
  const end = lines.findLast(({event}) => event === REQUEST_ENDED_EVENT);
  const lastFailure = failures.at(-1);
  if (lastFailure !== undefined) {
    const {upstreamId, failure, reason} = lastFailure;
    const outcome = end?.outcome ?? 'its end is not logged';
    return `${failures.length} failed attempts, the last at upstream ${upstreamId} (${failure}: ${reason}); ${outcome}`;
  }
  if (end?.outcome === 'deadline-passed') {
    return `upstream ${end.upstreamId} said nothing for ${end.duration} ms`;
  }
  if (refusal !== undefined) {
    return `refused, not run: ${refusal.message}`;
  }
  if (end === undefined) {
    return 'its host has not logged its end: it is still in progress, or the host was lost';
  }
  const sent = lines.findLast(({event}) => event === REQUEST_SENT_EVENT);
  return `${end.outcome} after ${end.duration} ms; ${sent?.estimate ?? '?'} ms were expected until its first token at upstream ${end.upstreamId}`;
}
