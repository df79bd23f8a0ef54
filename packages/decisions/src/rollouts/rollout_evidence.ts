/**
 * The results of a roll-out that all processes have reported. Reports are
 * cumulative, so the newest one of a process replaces the others; those of a
 * process that has ended still count.
 */
import {sumHistograms} from './time_histogram.js';
import type {
  VersionResultCounts,
  VersionResultReport,
} from './version_result_report.js';

/** Largest number of processes whose reports are kept for one order. */
const MAXIMUM_PROCESSES = 4096;

/** Results without the route and engine to which they belong. */
export type ResultSums = Omit<VersionResultCounts, 'route' | 'upstreamId'>;

/** Results of both versions on one route. */
export interface RouteEvidence {
  readonly route: string;
  readonly old: ResultSums;
  /** Results of the new version by engine. */
  readonly byUpstream: ReadonlyMap<string, ResultSums>;
}

/** The last report of a process, and when it arrived. */
export interface ReceivedReport {
  readonly report: VersionResultReport;
  readonly receivedAt: number;
}

/** Results without any request. */
export const NO_RESULTS: ResultSums = {
  answered: 0,
  failed: 0,
  starts: [],
  gaps: [],
};

/** Returns the sum of two results. */
export function sumResults(left: ResultSums, right: ResultSums): ResultSums {
  return {
    answered: left.answered + right.answered,
    failed: left.failed + right.failed,
    starts: sumHistograms(left.starts, right.starts),
    gaps: sumHistograms(left.gaps, right.gaps),
  };
}

/** The reports of all processes on the order of each service. */
export class RolloutEvidence {
  /** Reports by service, then by process. */
  private readonly services = new Map<string, Map<string, ReceivedReport>>();

  /** Keeps a report unless it is older than the one that is known. */
  merge(report: VersionResultReport, now: number): void {
    const {service, processId, orderId} = report;
    const known =
      this.services.get(service) ?? new Map<string, ReceivedReport>();
    const previous = known.get(processId)?.report;
    const isOutdated =
      previous?.orderId === orderId &&
      (previous.requests > report.requests ||
        previous.sequence > report.sequence);
    if (isOutdated || known.size >= MAXIMUM_PROCESSES) {
      return;
    }
    known.set(processId, {report, receivedAt: now});
    this.services.set(service, known);
  }

  /** Returns the last report of each process on an order. */
  reportsOn(service: string, orderId: string): readonly ReceivedReport[] {
    return [...(this.services.get(service)?.values() ?? [])].filter(
      ({report}) => report.orderId === orderId,
    );
  }

  /** Returns the results by route. */
  routesOf(service: string, orderId: string): readonly RouteEvidence[] {
    const routes = new Map<
      string,
      {old: ResultSums; readonly byUpstream: Map<string, ResultSums>}
    >();
    for (const {report} of this.reportsOn(service, orderId)) {
      for (const counts of report.results) {
        const {route, upstreamId} = counts;
        const sums = routes.get(route) ?? {
          old: NO_RESULTS,
          byUpstream: new Map<string, ResultSums>(),
        };
        routes.set(route, sums);
        if (upstreamId === undefined) {
          sums.old = sumResults(sums.old, counts);
          continue;
        }
        const known = sums.byUpstream.get(upstreamId) ?? NO_RESULTS;
        sums.byUpstream.set(upstreamId, sumResults(known, counts));
      }
    }
    return [...routes].map(([route, sums]) => ({route, ...sums}));
  }

  /** Discards the reports on orders other than those in `orderIds`. */
  keepOnly(orderIds: ReadonlySet<string>): void {
    for (const [service, known] of this.services) {
      for (const [processId, {report}] of known) {
        if (!orderIds.has(report.orderId)) {
          known.delete(processId);
        }
      }
      if (known.size === 0) {
        this.services.delete(service);
      }
    }
  }
}
