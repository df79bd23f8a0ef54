/**
 * Counts of the requests that began to run, by window of true time.
 */
import type {DutyRecord, UsageCounts} from './duty_record.js';

/** Windows for which counts are kept. */
const KEPT_WINDOWS = 8;

/**
 * Milliseconds after the end of a window at which its counts are fixed: the
 * hosts send theirs every second, and a call may take a second more.
 */
const SETTLE_MILLISECONDS = 2500;

/** Counts of one process in one window. */
export interface ProcessCounts {
  readonly processId: string;
  readonly window: number;
  readonly counts: UsageCounts;
}

/** Counts of all processes that this host has heard of. */
export class UsageWindows {
  private readonly windows = new Map<
    number,
    Map<string, Record<string, number>>
  >();

  constructor(private readonly windowMilliseconds: number) {}

  /** The window that `trueTime` lies in. */
  windowOf(trueTime: number): number {
    return Math.floor(trueTime / this.windowMilliseconds);
  }

  /** Counts one request of this process. */
  add(processId: string, workspace: string, trueTime: number): void {
    const counts = this.countsOf(this.windowOf(trueTime), processId);
    counts[workspace] = (counts[workspace] ?? 0) + 1;
  }

  /** Takes cumulative counts of another process; they only grow. */
  merge({processId, window, counts}: ProcessCounts): void {
    const known = this.countsOf(window, processId);
    for (const [workspace, count] of Object.entries(counts)) {
      known[workspace] = Math.max(known[workspace] ?? 0, count);
    }
  }

  /** What `processId` has counted, or everything without it. */
  list(processId?: string): readonly ProcessCounts[] {
    return [...this.windows].flatMap(([window, processes]) =>
      [...processes]
        .filter(([id]) => processId === undefined || id === processId)
        .map(([id, counts]) => ({processId: id, window, counts: {...counts}})),
    );
  }

  /** The sum over all processes in `window`. */
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
   * Windows to fix now: they have settled and stand neither in `record` nor
   * before what was reported.
   */
  toFix(record: DutyRecord | undefined, trueTime: number): readonly number[] {
    const last = this.windowOf(trueTime - SETTLE_MILLISECONDS) - 1;
    const fixed = Object.keys(record?.fixedUsage ?? {}).map(Number);
    const after = Math.max(record?.reportedTo ?? -1, ...fixed);
    const first = Math.max(after + 1, last - KEPT_WINDOWS + 1);
    const windows: number[] = [];
    for (let window = first; window <= last; window += 1) {
      if (this.windows.has(window)) {
        windows.push(window);
      }
    }
    return windows;
  }

  /** Forgets windows that ended long before `trueTime`. */
  forget(trueTime: number): void {
    const oldest = this.windowOf(trueTime) - KEPT_WINDOWS;
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

/** The fixed windows of `record` that the platform has not accepted yet. */
export function windowsToReport(record: DutyRecord): readonly number[] {
  return Object.keys(record.fixedUsage)
    .map(Number)
    .filter(window => window > record.reportedTo)
    .sort((left, right) => left - right);
}

/** `fixed` with the totals of `windows` added and old windows left out. */
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
    .slice(0, KEPT_WINDOWS);
  return {
    ...record,
    fixedUsage: Object.fromEntries(
      newest.map(window => [String(window), all[String(window)] ?? {}]),
    ),
  };
}
