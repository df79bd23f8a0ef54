/**
 * Counts of the requests that began to run, by window of true time.
 */
import type {DutyRecord, UsageCounts} from './duty_record.js';
import type {ContinuedRecord} from './reconcile_duty_record.js';

/** Number of windows for which counts are kept. */
const RETAINED_WINDOWS = 8;

/**
 * Time from the end of a window until its counts are fixed. Hosts send their
 * counts every second, and a call can take one more second.
 */
const SETTLING_MILLISECONDS = 2500;

/** The counts of one process in one window. */
export interface ProcessCounts {
  readonly processId: string;
  readonly window: number;
  readonly counts: UsageCounts;
}

/** The counts of this process and of all others that have sent theirs. */
export class UsageWindows {
  private readonly windows = new Map<
    number,
    Map<string, Record<string, number>>
  >();

  constructor(private readonly windowMilliseconds: number) {}

  /** Returns the number of the window that contains `trueTime`. */
  windowOf(trueTime: number): number {
    return Math.floor(trueTime / this.windowMilliseconds);
  }

  /** Counts one request of `workspace` that began in `processId`. */
  add(processId: string, workspace: string, trueTime: number): void {
    const counts = this.countsOf(this.windowOf(trueTime), processId);
    counts[workspace] = (counts[workspace] ?? 0) + 1;
  }

  /** Merges cumulative counts of another process, which never decrease. */
  merge({processId, window, counts}: ProcessCounts): void {
    const mergedCounts = this.countsOf(window, processId);
    for (const [workspace, count] of Object.entries(counts)) {
      mergedCounts[workspace] = Math.max(mergedCounts[workspace] ?? 0, count);
    }
  }

  /** Returns the counts of `processId`, or of all processes without it. */
  list(processId?: string): readonly ProcessCounts[] {
    return [...this.windows].flatMap(([window, processes]) =>
      [...processes]
        .filter(([id]) => processId === undefined || id === processId)
        .map(([id, counts]) => ({processId: id, window, counts: {...counts}})),
    );
  }

  /** Returns the sum of the counts of all processes in `window`. */
  total(window: number): UsageCounts {
    const total: Record<string, number> = {};
    for (const counts of this.windows.get(window)?.values() ?? []) {
      for (const [workspace, count] of Object.entries(counts)) {
        total[workspace] = (total[workspace] ?? 0) + count;
      }
    }
    return total;
  }

  /**
   * Returns the windows whose counts can be fixed now: they have settled and
   * are later than all windows that `record` contains or has closed.
   */
  windowsToFix(
    record: ContinuedRecord | undefined,
    trueTime: number,
  ): readonly number[] {
    const last = this.windowOf(trueTime - SETTLING_MILLISECONDS) - 1;
    const fixed = Object.keys(record?.fixedUsage ?? {}).map(Number);
    const lastHandled = Math.max(
      record?.reportedTo ?? -1,
      record?.closedTo ?? -1,
      ...fixed,
    );
    const first = Math.max(lastHandled + 1, last - RETAINED_WINDOWS + 1);
    const windows: number[] = [];
    for (let window = first; window <= last; window += 1) {
      if (this.windows.has(window)) {
        windows.push(window);
      }
    }
    return windows;
  }

  /** Drops windows that ended long before `trueTime`. */
  dropOldWindows(trueTime: number): void {
    const oldest = this.windowOf(trueTime) - RETAINED_WINDOWS;
    for (const window of this.windows.keys()) {
      if (window < oldest) {
        this.windows.delete(window);
      }
    }
  }

  private countsOf(window: number, processId: string): Record<string, number> {
    const processes =
      this.windows.get(window) ?? new Map<string, Record<string, number>>();
    this.windows.set(window, processes);
    const counts = processes.get(processId) ?? {};
    processes.set(processId, counts);
    return counts;
  }
}

/** Returns the fixed windows that the platform has not accepted yet. */
export function windowsToReport(record: DutyRecord): readonly number[] {
  return Object.keys(record.fixedUsage)
    .map(Number)
    .filter(window => window > record.reportedTo)
    .sort((left, right) => left - right);
}

/**
 * Returns `record` with the totals of `windows` added and without old windows.
 * Counts that `record` already contains are not replaced.
 */
export function withFixedWindows(
  record: DutyRecord,
  windows: readonly (readonly [number, UsageCounts])[],
): DutyRecord {
  const all = {
    ...record.fixedUsage,
    ...Object.fromEntries(
      windows
        .filter(([window]) => !(String(window) in record.fixedUsage))
        .map(([window, counts]) => [String(window), counts]),
    ),
  };
  const newest = Object.keys(all)
    .map(Number)
    .sort((left, right) => right - left)
    .slice(0, RETAINED_WINDOWS);
  return {
    ...record,
    fixedUsage: Object.fromEntries(
      newest.map(window => [String(window), all[String(window)] ?? {}]),
    ),
  };
}
