/**
 * Reports of crashes of upstreams, and which of them are of the same crash.
 *
 * An upstream may start again under the id that it had, and what a host knows of
 * its starts lags behind. A connection ends with the process at its other end, so
 * that a report states for which time that process ran: two reports are of
 * different crashes if the connection of one was opened after that of the other
 * had been lost.
 */
import {z} from 'zod';

/** Schema of a report, as hosts exchange it. */
export const UPSTREAM_CRASH_SCHEMA = z
  .object({
    upstreamId: z.string(),
    /** Start of the incarnation, in milliseconds since the epoch; 0 if unknown. */
    bornAt: z.number(),
    /** Milliseconds since the epoch. */
    time: z.number(),
    /**
     * Time since which the incarnation is known to have run, in milliseconds since
     * the epoch; absent in reports of older builds.
     */
    runningSince: z.number().optional(),
  })
  .readonly();

/** The end of one incarnation of an upstream. */
export type UpstreamCrash = z.infer<typeof UPSTREAM_CRASH_SCHEMA>;

/** A report of any build; an older one may lack the start. */
export interface CrashReport extends Omit<UpstreamCrash, 'bornAt'> {
  readonly bornAt?: number | undefined;
}

/**
 * Time between an end and the next start that clocks of two hosts may account for,
 * if the hosts know of no other start.
 */
const CLOCK_ERROR_MILLISECONDS = 500;

/**
 * Time within which reports are of the same crash if no start is known: that
 * within which all hosts notice a crash.
 */
const UNKNOWN_START_MILLISECONDS = 100;

/**
 * The same for reports without a start, whose time is that at which the host was
 * sure of the crash.
 */
const WITHOUT_START_MILLISECONDS = 2000;

interface ReportGroup<Report> {
  readonly members: readonly [Report, ...Report[]];
  /** What all members together state. */
  readonly crash: CrashReport;
}

/** Returns the reports of each crash, by the earliest report of a crash. */
export function groupCrashReports<Report extends CrashReport>(
  reports: readonly Report[],
): readonly (readonly [Report, ...Report[]])[] {
  const byUpstream = new Map<string, readonly ReportGroup<Report>[]>();
  for (const report of [...reports].sort(compareReports)) {
    const groups = byUpstream.get(report.upstreamId) ?? [];
    byUpstream.set(report.upstreamId, addToGroups(groups, report));
  }
  return [...byUpstream.values()]
    .flat()
    .sort((left, right) => compareReports(left.crash, right.crash))
    .map(({members}) => members);
}

/** Returns the crashes of which `reports` are, by time. */
export function mergeCrashReports<Report extends CrashReport>(
  reports: readonly Report[],
): readonly Report[] {
  return groupCrashReports(reports).map(([first, ...others]) =>
    others.reduce(joinCrashReports, first),
  );
}

/** Returns what two reports of the same crash state together. */
export function joinCrashReports<Report extends CrashReport>(
  left: Report,
  right: Report,
): Report {
  const bornAt = latestOf(left.bornAt, right.bornAt);
  const runningSince = latestOf(left.runningSince, right.runningSince);
  return {
    ...left,
    time: Math.min(left.time, right.time),
    ...(bornAt !== undefined && {bornAt}),
    ...(runningSince !== undefined && {runningSince}),
  };
}

function addToGroups<Report extends CrashReport>(
  groups: readonly ReportGroup<Report>[],
  report: Report,
): readonly ReportGroup<Report>[] {
  const index = groups.findIndex(({crash}) => areOfSameCrash(crash, report));
  const group = groups[index];
  if (group === undefined) {
    return [...groups, {members: [report], crash: report}];
  }
  return groups.with(index, {
    members: [...group.members, report],
    crash: joinCrashReports<CrashReport>(group.crash, report),
  });
}

/** Returns whether two reports on one upstream may be of the same crash. */
function areOfSameCrash(left: CrashReport, right: CrashReport): boolean {
  const difference = Math.abs(left.time - right.time);
  if (left.bornAt === undefined || right.bornAt === undefined) {
    return difference < WITHOUT_START_MILLISECONDS;
  }
  const haveStarts = left.bornAt > 0 && right.bornAt > 0;
  if (left.runningSince !== undefined && right.runningSince !== undefined) {
    const gap = Math.max(
      left.runningSince - right.time,
      right.runningSince - left.time,
    );
    const areDifferentStarts = haveStarts && left.bornAt !== right.bornAt;
    return gap <= (areDifferentStarts ? 0 : CLOCK_ERROR_MILLISECONDS);
  }
  return haveStarts
    ? left.bornAt === right.bornAt
    : difference < UNKNOWN_START_MILLISECONDS;
}

function compareReports(left: CrashReport, right: CrashReport): number {
  const byTime = left.time - right.time;
  if (byTime !== 0) {
    return byTime;
  }
  return left.upstreamId === right.upstreamId
    ? (left.runningSince ?? 0) - (right.runningSince ?? 0)
    : left.upstreamId < right.upstreamId
      ? -1
      : 1;
}

function latestOf(
  left: number | undefined,
  right: number | undefined,
): number | undefined {
  return left === undefined || right === undefined
    ? (left ?? right)
    : Math.max(left, right);
}
