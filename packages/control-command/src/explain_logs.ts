/**
 * Explains a request from what entry hosts wrote to standard output.
 */
import {createInterface} from 'node:readline';

import {z} from 'zod';

/** Events that tell the life of a request on the platform. */
const ENDED = 4101;
const ATTEMPT_FAILED = 4102;
const REFUSED = 4103;
const SENT = 4104;

/** Events that tell what a host lost or learned around a request. */
const CONTEXT_EVENTS: ReadonlySet<number> = new Set([
  1003, 1006, 2001, 2002, 2003, 3004, 3005, 5004,
]);

/** Milliseconds before a request from which on lines belong to its context. */
const CONTEXT_MILLISECONDS = 5000;

/** Lines of context that are kept while reading. */
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

/** A line of the log. */
export type LogLine = z.infer<typeof LINE_SCHEMA>;

/** What the logs say of a request. */
export interface LoggedExplanation {
  readonly requestId: string;
  /** The lines of the request, over all hosts, by time. */
  readonly lines: readonly LogLine[];
  /** What its hosts lost or learned at that time. */
  readonly context: readonly LogLine[];
  readonly cause: string;
}

/** Reads `input` to its end; undefined if no line names the request. */
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
  const ordered = lines.sort(byTime);
  return {
    requestId,
    lines: ordered,
    context: context.filter(line => isAround(line, ordered)).sort(byTime),
    cause: causeOf(ordered),
  };
}

/** The text of an explanation. */
export function renderLoggedExplanation(found: LoggedExplanation): string {
  const render = ({timestamp, hostId, event, message}: LogLine): string =>
    `  ${timestamp} ${hostId} ${event} ${message}`;
  return [
    `${found.requestId}: ${found.cause}`,
    'request:',
    ...found.lines.map(render),
    ...(found.context.length === 0
      ? []
      : ['its hosts and upstreams at that time:']),
    ...found.context.map(render),
  ].join('\n');
}

/** Log collectors may write something before the object of a line. */
function parseLine(text: string): LogLine | undefined {
  const start = text.indexOf('{');
  if (start < 0) {
    return undefined;
  }
  try {
    return LINE_SCHEMA.safeParse(JSON.parse(text.slice(start))).data;
  } catch {
    // A line that was cut off, or one of another program.
    return undefined;
  }
}

function byTime(one: LogLine, other: LogLine): number {
  return Date.parse(one.timestamp) - Date.parse(other.timestamp);
}

function isAround(line: LogLine, request: readonly LogLine[]): boolean {
  const first = request[0];
  const last = request.at(-1);
  if (first === undefined || last === undefined) {
    return false;
  }
  const at = Date.parse(line.timestamp);
  const isThen =
    at >= Date.parse(first.timestamp) - CONTEXT_MILLISECONDS &&
    at <= Date.parse(last.timestamp);
  const isThere = request.some(({hostId}) => hostId === line.hostId);
  const isAboutUpstream =
    line.upstreamId === undefined ||
    request.some(({upstreamId}) => upstreamId === line.upstreamId);
  return isThen && isThere && isAboutUpstream;
}

function causeOf(lines: readonly LogLine[]): string {
  const refusal = lines.find(({event}) => event === REFUSED);
  const failures = lines.filter(({event}) => event === ATTEMPT_FAILED);
  const end = lines.findLast(({event}) => event === ENDED);
  const lastFailure = failures.at(-1);
  if (lastFailure !== undefined) {
    const {upstreamId, failure, reason} = lastFailure;
    const outcome = end?.outcome ?? 'no end is logged';
    return `${failures.length} failed attempts, the last at upstream ${upstreamId} (${failure}: ${reason}); ${outcome}`;
  }
  if (end?.outcome === 'deadline-passed') {
    return `upstream ${end.upstreamId} said nothing for ${end.duration} ms`;
  }
  if (refusal !== undefined) {
    return `refused, not run: ${refusal.message}`;
  }
  if (end === undefined) {
    return 'its host has logged no end: it is still under way, or the host was lost';
  }
  const sent = lines.findLast(({event}) => event === SENT);
  return `${end.outcome} after ${end.duration} ms; ${sent?.estimate ?? '?'} ms were expected until its first token at upstream ${end.upstreamId}`;
}
