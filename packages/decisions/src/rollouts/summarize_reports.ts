/**
 * What the reports of all hosts say about the traffic of a roll-out and about the
 * steps that hosts follow.
 */
import type {RolloutFollowers} from './decide_rollout_step.js';
import type {ReceivedReport} from './rollout_evidence.js';
import type {RolloutTraffic} from './rollout_plan.js';

/** Age above which a report does not say what its host follows at present. */
const MAXIMUM_REPORT_AGE_MILLISECONDS = 3000;

/** Shortest time over which the rate of requests is taken. */
const MINIMUM_RATE_MILLISECONDS = 1000;

/** The reports on one order in short. */
export interface RolloutSummary {
  readonly traffic: RolloutTraffic;
  readonly followers: RolloutFollowers;
  /** Results of the new version. */
  readonly resultCount: number;
}

/** Times that the summary depends on. */
export interface SummaryTimes {
  readonly now: number;
  readonly millisecondsSinceOrder: number;
}

/** Returns the summary of `received`, for the serving hosts `hostIds`. */
export function summarizeReports(
  received: readonly ReceivedReport[],
  hostIds: readonly string[],
  {now, millisecondsSinceOrder}: SummaryTimes,
): RolloutSummary {
  const reports = received.map(({report}) => report);
  const requests = sumOf(reports.map(report => report.requests));
  const seconds =
    Math.max(MINIMUM_RATE_MILLISECONDS, millisecondsSinceOrder) / 1000;
  const current = newestByHost(received, now);
  return {
    traffic: {
      requests,
      assigned: sumOf(reports.map(report => report.assigned)),
      requestsPerSecond: requests / seconds,
    },
    followers: {
      // A holder that knows no serving host does not know that all have moved.
      lowestSequence:
        hostIds.length === 0
          ? 0
          : Math.min(
              ...hostIds.map(
                hostId => current.get(hostId)?.report.sequence ?? 0,
              ),
            ),
      runningElsewhere: sumOf(
        [...current.values()].map(({report}) => report.runningElsewhere),
      ),
    },
    resultCount: sumOf(
      reports.flatMap(({results}) =>
        results
          .filter(({upstreamId}) => upstreamId !== undefined)
          .map(({answered, failed}) => answered + failed),
      ),
    ),
  };
}

/** Returns the newest report of each host that is not too old. */
function newestByHost(
  received: readonly ReceivedReport[],
  now: number,
): ReadonlyMap<string, ReceivedReport> {
  const newest = new Map<string, ReceivedReport>();
  for (const entry of received) {
    const {hostId} = entry.report;
    const known = newest.get(hostId);
    if (
      now - entry.receivedAt <= MAXIMUM_REPORT_AGE_MILLISECONDS &&
      (known === undefined || entry.receivedAt > known.receivedAt)
    ) {
      newest.set(hostId, entry);
    }
  }
  return newest;
}

function sumOf(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0);
}
