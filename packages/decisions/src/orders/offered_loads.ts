/**
 * The load that all processes offered to services in the last minute, from the
 * cumulative sums that they report. The host that orders engines and the hosts
 * that may replace it get the same reports.
 */
import {
  addLoadSums,
  NO_LOAD_SUMS,
  type ServiceLoadReport,
  type ServiceLoadSums,
} from './service_load_report.js';

/** Milliseconds of load that one bucket holds. */
const BUCKET_MILLISECONDS = 1000;

/** Buckets that are kept: a swing of a minute is seen whole. */
const KEPT_BUCKETS = 60;

/** Milliseconds without a report after which a process counts as silent. */
const HEARD_MILLISECONDS = 3000;

/** Whole buckets before the present one over which the present load is summed. */
const RECENT_BUCKETS = 3;

/** Buckets before these with which the present load is compared. */
const EARLIER_BUCKETS = 8;

/** Sums over a span of time. */
export interface LoadSpan {
  readonly sums: ServiceLoadSums;
  readonly milliseconds: number;
}

/** What was offered to a service, as far as reports reached this host. */
export interface LoadObservation {
  /** The last three to four seconds. */
  readonly recent: LoadSpan;
  /** The eight seconds before. */
  readonly earlier: LoadSpan;
  readonly minute: LoadSpan;
  /** Processes that reported in the last seconds. */
  readonly heardProcesses: number;
  /** Milliseconds since the last report; infinity if there is none. */
  readonly ageMilliseconds: number;
  /**
   * Milliseconds for which requests have been seen without a gap in the reports.
   */
  readonly seenMilliseconds: number;
}

interface KnownProcess {
  readonly sums: ServiceLoadSums;
  readonly heardAt: number;
}

interface ServiceHistory {
  readonly processes: Map<string, KnownProcess>;
  /** Sums of what was reported in each bucket of time. */
  readonly buckets: Map<number, ServiceLoadSums>;
  heardAt: number;
  /** Undefined while no requests have been seen. */
  seenSince: number | undefined;
}

/** The offered loads by service. */
export class OfferedLoads {
  private readonly histories = new Map<string, ServiceHistory>();

  /**
   * Adds what a process has counted since its last report. Its first report
   * states what its later ones are compared with.
   */
  merge(report: ServiceLoadReport, now: number): void {
    const history = this.historyOf(report.service);
    if (now - history.heardAt > HEARD_MILLISECONDS) {
      history.seenSince = undefined;
    }
    history.heardAt = now;
    const known = history.processes.get(report.processId);
    if (known !== undefined && report.requests < known.sums.requests) {
      return;
    }
    history.processes.set(report.processId, {sums: report, heardAt: now});
    if (known === undefined) {
      return;
    }
    const added = addLoadSums(report, known.sums, -1);
    if (added.requests > 0) {
      history.seenSince ??= now;
    }
    const bucket = Math.floor(now / BUCKET_MILLISECONDS);
    history.buckets.set(
      bucket,
      addLoadSums(history.buckets.get(bucket) ?? NO_LOAD_SUMS, added),
    );
    discardOld(history, now);
  }

  /** Returns what was offered to `service` up to `now`. */
  observe(service: string, now: number): LoadObservation {
    const history = this.historyOf(service);
    discardOld(history, now);
    const isHeard = now - history.heardAt <= HEARD_MILLISECONDS;
    const present = Math.floor(now / BUCKET_MILLISECONDS);
    const recentFrom = present - RECENT_BUCKETS;
    const spanFrom = (from: number, to: number): LoadSpan => ({
      sums: sumOf(history, from, to),
      milliseconds:
        Math.min(now, to * BUCKET_MILLISECONDS) - from * BUCKET_MILLISECONDS,
    });
    return {
      recent: spanFrom(recentFrom, present + 1),
      earlier: spanFrom(recentFrom - EARLIER_BUCKETS, recentFrom),
      minute: spanFrom(present - KEPT_BUCKETS, present + 1),
      heardProcesses: [...history.processes.values()].filter(
        ({heardAt}) => now - heardAt <= HEARD_MILLISECONDS,
      ).length,
      ageMilliseconds: now - history.heardAt,
      seenMilliseconds:
        isHeard && history.seenSince !== undefined
          ? now - history.seenSince
          : 0,
    };
  }

  private historyOf(service: string): ServiceHistory {
    const existing = this.histories.get(service);
    if (existing !== undefined) {
      return existing;
    }
    const created: ServiceHistory = {
      processes: new Map(),
      buckets: new Map(),
      heardAt: -Infinity,
      seenSince: undefined,
    };
    this.histories.set(service, created);
    return created;
  }
}

/** Returns the sums of the buckets from `from` to before `to`. */
function sumOf(
  {buckets}: ServiceHistory,
  from: number,
  to: number,
): ServiceLoadSums {
  return [...buckets]
    .filter(([bucket]) => bucket >= from && bucket < to)
    .reduce((total, [, sums]) => addLoadSums(total, sums), NO_LOAD_SUMS);
}

function discardOld({processes, buckets}: ServiceHistory, now: number): void {
  const oldest = Math.floor(now / BUCKET_MILLISECONDS) - KEPT_BUCKETS;
  for (const bucket of buckets.keys()) {
    if (bucket < oldest) {
      buckets.delete(bucket);
    }
  }
  for (const [processId, {heardAt}] of processes) {
    if (now - heardAt > KEPT_BUCKETS * BUCKET_MILLISECONDS) {
      processes.delete(processId);
    }
  }
}
