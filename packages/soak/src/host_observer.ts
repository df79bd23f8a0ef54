/**
 * What the logs of a host and the ends of its processes show: processes that end by
 * themselves, and configurations that go back.
 */
import {z} from 'zod';

/** How a process ended. */
export interface ProcessEnd {
  readonly hostId: string;
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
  /** The signals that end a process which the run had sent to it. */
  readonly sent: readonly NodeJS.Signals[];
}

const LOG_LINE = z.object({
  event: z.number(),
  version: z.number().optional(),
});

/** Events of the start of a process and of a configuration in force. */
const START_EVENT = 1001;
const CONFIGURATION_EVENT = 2001;

/** Returns a description of each end that the run did not cause. */
export function observeOwnEnds(ends: readonly ProcessEnd[]): readonly string[] {
  return ends
    .filter(({code, signal, sent}) =>
      signal === null
        ? code !== 0 || !sent.includes('SIGTERM')
        : !sent.includes(signal),
    )
    .map(
      ({hostId, code, signal}) =>
        `${hostId} ended by itself: code ${String(code)}, signal ${String(signal)}`,
    );
}

/**
 * Returns a description of each configuration that is older than one before it in the
 * life of the same process.
 */
export function observeVersionsGoingBack(
  hostId: string,
  log: string,
): readonly string[] {
  let highest = -Infinity;
  return log.split('\n').flatMap(line => {
    const entry = decodeLine(line);
    if (entry?.event === START_EVENT) {
      highest = -Infinity;
    }
    if (entry?.event !== CONFIGURATION_EVENT || entry.version === undefined) {
      return [];
    }
    const before = highest;
    highest = Math.max(highest, entry.version);
    return entry.version < before
      ? [`${hostId}: configuration ${entry.version} after ${before}`]
      : [];
  });
}

/** A call of a duty that the platform accepted. */
export interface AcceptedDuty {
  readonly path: string;
  readonly holder: string;
  readonly fence: number;
}

/**
 * Returns a description of each fencing number that is lower than one before it, or
 * that two holders used.
 */
export function observeFences(
  duties: readonly AcceptedDuty[],
): readonly string[] {
  const holders = new Map<string, string>();
  const highest = new Map<string, number>();
  return duties.flatMap(({path, holder, fence}) => {
    const key = `${path} ${fence}`;
    const other = holders.get(key) ?? holder;
    holders.set(key, other);
    const before = highest.get(path) ?? -Infinity;
    highest.set(path, Math.max(before, fence));
    return [
      ...(other === holder
        ? []
        : [`${path}: number ${fence} of ${other} and ${holder}`]),
      ...(fence < before ? [`${path}: number ${fence} after ${before}`] : []),
    ];
  });
}

function decodeLine(line: string): z.infer<typeof LOG_LINE> | undefined {
  try {
    const parsed = LOG_LINE.safeParse(JSON.parse(line));
    return parsed.success ? parsed.data : undefined;
  } catch {
    // The last line of a killed process can be incomplete.
    return undefined;
  }
}
