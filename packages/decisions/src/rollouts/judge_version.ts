/**
 * The verdict on a new software version by the results of both versions in the
 * same time. It is judged by failures, by the time to the beginning of an
 * answer and by the time between events, for the service and for each route.
 */
import {
  NO_RESULTS,
  type ResultSums,
  type RouteEvidence,
  sumResults,
} from './rollout_evidence.js';
import {isHarmless, isWorse, type Trials} from './sequential_test.js';
import {binOfMultiple, countTimes, countTimesAfter} from './time_histogram.js';

/** What is compared. */
export type VersionMeasure = 'failures' | 'gaps' | 'starts';

/** Results on one measure. */
export interface MeasuredResults {
  /** Route; empty for the whole service. */
  readonly route: string;
  readonly measure: VersionMeasure;
  readonly candidate: Trials;
  readonly old: Trials;
}

/** The verdict on a version. */
export type VersionVerdict =
  | ({readonly kind: 'rejected'} & MeasuredResults)
  /** More results are needed; `missing` names a measure that lacks them. */
  | {readonly kind: 'open'; readonly missing: MeasuredResults | undefined}
  | {readonly kind: 'accepted'};

const MEASURES: readonly VersionMeasure[] = ['failures', 'starts', 'gaps'];

/** Quantile of the old version's times, and the multiple of it that is slow. */
const SLOW_QUANTILE = 0.9;
const SLOW_FACTOR = Math.SQRT2;

/**
 * Increase of the rate of bad results that has to be found in a whole service. A
 * version that is slow for a part of its requests shows it in fewer of them.
 */
const SERVICE_INCREASE: Readonly<Record<VersionMeasure, number>> = {
  failures: 0.2,
  starts: 0.12,
  gaps: 0.12,
};

/** Increase that has to be found on a single route. */
const ROUTE_INCREASE = 0.25;

/**
 * Part of the results that must be left without the engine or failure domain
 * that is bad by itself.
 */
const MINIMUM_REST_PART = 0.6;

/** Fewest results of the old version with which a route is judged by itself. */
const MINIMUM_ROUTE_RESULTS = 30;

/** Fewest times of the old version with which its times are known. */
const MINIMUM_TIMES = 20;

/**
 * Returns the verdict. `domainOf` gives the failure domain of an engine. A
 * version is rejected only if it is without any one engine and without any one
 * failure domain as well, as far as others have results.
 */
export function judgeVersion(
  routes: readonly RouteEvidence[],
  domainOf: (upstreamId: string) => string,
): VersionVerdict {
  const scopes = [sumRoutes(routes), ...routes.filter(isLargeEnough)];
  let missing: MeasuredResults | undefined;
  for (const scope of scopes) {
    for (const measure of MEASURES) {
      const results = measuredResults(scope, measure);
      if (results === undefined) {
        continue;
      }
      if (isRejected(scope, results, domainOf)) {
        return {kind: 'rejected', ...results};
      }
      if (!isAccepted(scope, results, domainOf)) {
        missing ??= results;
      }
    }
  }
  const hasResults = scopes.some(({byUpstream}) => byUpstream.size > 0);
  return missing === undefined && hasResults
    ? {kind: 'accepted'}
    : {kind: 'open', missing};
}

function sumRoutes(routes: readonly RouteEvidence[]): RouteEvidence {
  const byUpstream = new Map<string, ResultSums>();
  for (const route of routes) {
    for (const [upstreamId, sums] of route.byUpstream) {
      const known = byUpstream.get(upstreamId) ?? NO_RESULTS;
      byUpstream.set(upstreamId, sumResults(known, sums));
    }
  }
  const old = routes.map(route => route.old).reduce(sumResults, NO_RESULTS);
  return {route: '', old, byUpstream};
}

function isLargeEnough({old}: RouteEvidence): boolean {
  return old.answered + old.failed >= MINIMUM_ROUTE_RESULTS;
}

/** Returns the results on a measure; undefined if the old version has none. */
function measuredResults(
  scope: RouteEvidence,
  measure: VersionMeasure,
  isIncluded: (upstreamId: string) => boolean = () => true,
): MeasuredResults | undefined {
  const {route, old, byUpstream} = scope;
  const candidate = [...byUpstream]
    .filter(([upstreamId]) => isIncluded(upstreamId))
    .map(([, sums]) => sums)
    .reduce(sumResults, NO_RESULTS);
  switch (measure) {
    case 'failures':
      return {
        route,
        measure,
        candidate: failuresOf(candidate),
        old: failuresOf(old),
      };
    case 'starts':
    case 'gaps': {
      const oldTimes = old[measure];
      if (countTimes(oldTimes) < MINIMUM_TIMES) {
        return undefined;
      }
      const slowAfter = binOfMultiple(oldTimes, SLOW_QUANTILE, SLOW_FACTOR);
      return {
        route,
        measure,
        candidate: slownessOf(candidate[measure], slowAfter),
        old: slownessOf(oldTimes, slowAfter),
      };
    }
  }
}

/** Without any one engine or failure domain, the version is still worse. */
function isRejected(
  scope: RouteEvidence,
  results: MeasuredResults,
  domainOf: (upstreamId: string) => string,
): boolean {
  return (
    isWorse(results.candidate, results.old) &&
    resultsWithoutOne(scope, results.measure, domainOf).every(
      ({candidate, old}) => isWorse(candidate, old),
    )
  );
}

/**
 * The version is harmless, or it is without the one engine or failure domain
 * that is worse by itself.
 */
function isAccepted(
  scope: RouteEvidence,
  results: MeasuredResults,
  domainOf: (upstreamId: string) => string,
): boolean {
  const increase =
    scope.route === '' ? SERVICE_INCREASE[results.measure] : ROUTE_INCREASE;
  if (isHarmless(results.candidate, results.old, increase)) {
    return true;
  }
  return resultsWithoutOne(scope, results.measure, domainOf).some(
    ({candidate, old}) =>
      candidate.trials >= results.candidate.trials * MINIMUM_REST_PART &&
      isHarmless(candidate, old, increase) &&
      isWorse(difference(results.candidate, candidate), old),
  );
}

function difference(all: Trials, rest: Trials): Trials {
  return {trials: all.trials - rest.trials, bad: all.bad - rest.bad};
}

/**
 * Returns the results without each engine and without each failure domain, as
 * far as others have results.
 */
function resultsWithoutOne(
  scope: RouteEvidence,
  measure: VersionMeasure,
  domainOf: (upstreamId: string) => string,
): readonly MeasuredResults[] {
  const upstreamIds = [...scope.byUpstream.keys()];
  const domains = new Set(upstreamIds.map(domainOf));
  const selections = [
    ...upstreamIds.map(id => (other: string) => other !== id),
    ...[...domains].map(domain => (id: string) => domainOf(id) !== domain),
  ];
  return selections
    .filter(isIncluded => upstreamIds.some(isIncluded))
    .flatMap(isIncluded => measuredResults(scope, measure, isIncluded) ?? []);
}

function failuresOf({answered, failed}: ResultSums): Trials {
  return {trials: answered + failed, bad: failed};
}

function slownessOf(times: readonly number[], slowAfter: number): Trials {
  return {trials: countTimes(times), bad: countTimesAfter(times, slowAfter)};
}

/** Returns a verdict and its inputs for operators. */
export function describeVerdict(verdict: VersionVerdict): string {
  switch (verdict.kind) {
    case 'accepted':
      return 'no worse than the others';
    case 'open':
      return verdict.missing === undefined
        ? 'no results yet'
        : describeResults(verdict.missing);
    case 'rejected':
      return describeResults(verdict);
  }
}

function describeResults(results: MeasuredResults): string {
  const {measure, route, candidate, old} = results;
  const where = route === '' ? 'all routes' : `route ${route}`;
  return `${measure} on ${where}: ${candidate.bad} of ${candidate.trials} beside ${old.bad} of ${old.trials}`;
}
