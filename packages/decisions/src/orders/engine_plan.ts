/**
 * The number of reclaimable engines that are planned for a service over all
 * failure domains. The plan is a part of the duty record, so that the next
 * holder of the duties continues it.
 */
import {z} from 'zod';

import type {ListedUpstream} from '../upstreams/listed_upstream.js';
import type {EngineLoad} from './engine_load.js';

/** What was learned of the load on the engines of a service. */
const PLANNED_LOAD_SCHEMA = z
  .object({
    /** Highest load in busy engines, which fades with time. */
    peakEngines: z.number().nonnegative(),
    /** The higher of the peak and of what the present load needs. */
    expectedEngines: z.number().nonnegative(),
    calmUtilization: z.number().positive(),
    millisecondsPerToken: z.number().positive(),
    /** Prompt tokens found in caches, for each token that is read. */
    cachedRatio: z.number().nonnegative(),
  })
  .readonly();

/** Schema of the plan in the duty record. Times are true times. */
export const ENGINE_PLAN_SCHEMA = z
  .object({
    engines: z.number().nonnegative(),
    /** Absent while no load has been seen. */
    load: PLANNED_LOAD_SCHEMA.optional(),
    /** Time of the first plan. */
    since: z.number(),
    /** Time of this plan. */
    at: z.number(),
    /** Time at which a failure domain was last being lost; 0 if it never was. */
    lostAt: z.number(),
  })
  .readonly();

/** The plan for the engines of a service. */
export type EnginePlan = z.infer<typeof ENGINE_PLAN_SCHEMA>;

/** What a plan rests on. */
export interface PlanSituation {
  /** Undefined while it is not known. */
  readonly load: EngineLoad | undefined;
  /** Number of engines that existed before any order. */
  readonly usualEngines: number;
  readonly domainCount: number;
  readonly minimumInDomain: number;
  readonly maximumInDomain: number;
  /** Whether reclaimable engines of a failure domain are leaving together. */
  readonly isLosingDomain: boolean;
}

/** Numbers of engines that serve the load. */
export interface NeededEngines {
  /** Keeps the tightest objective. */
  readonly calm: number;
  /** Serves the load for a while, with some late answers. */
  readonly shortTerm: number;
  /**
   * Returns the engines that keep the tightest objective if the caches of a share
   * of them were lost and have to be filled again.
   */
  readonly calmAfterLossOf: (share: number) => number;
  /** The same, with some late answers. */
  readonly shortTermAfterLossOf: (share: number) => number;
}

/** Engines for each usual one before any load is known, as in other services. */
const USUAL_SPARE_FACTOR = 2;

/** Time constant with which a peak fades: swings of a minute are not followed. */
const PEAK_FADING_MILLISECONDS = 90_000;

/** Share of the planned engines that may be given up in a second. */
const LARGEST_FALL_PER_SECOND = 0.04;

/** Longest time that one plan makes up for. */
const MAXIMUM_STEP_MILLISECONDS = 2000;

/** Milliseconds for which requests must be seen before they show the load. */
export const SETTLING_MILLISECONDS = 6000;

/** Share of the hosts that must report before a plan may fall. */
const NEEDED_HEARD_SHARE = 0.9;

/**
 * Time without a lost failure domain after which no second one is expected
 * before the first has been replaced.
 */
const LOSS_MEMORY_MILLISECONDS = 600_000;

/** Late answers that are borne for a while, for each one in calm times. */
const SHORT_TERM_LATE_FACTOR = 2;

/**
 * Share of the lost prompt parts that is read again before other engines serve.
 */
const REREAD_SHARE = 0.5;

/** Utilization up to which queues stay short while work varies. */
const MAXIMUM_SHORT_TERM_UTILIZATION = 0.7;

/** Returns the engines that the planned load needs. */
export function neededEngines(
  plan: EnginePlan,
  usualEngines: number,
): NeededEngines {
  if (plan.load === undefined) {
    return {
      calm: usualEngines,
      shortTerm: usualEngines,
      calmAfterLossOf: () => usualEngines,
      shortTermAfterLossOf: () => usualEngines,
    };
  }
  const {peakEngines, expectedEngines, calmUtilization, cachedRatio} =
    plan.load;
  // The late share grows with the square of the utilization.
  const utilization = Math.min(
    MAXIMUM_SHORT_TERM_UTILIZATION,
    calmUtilization * Math.sqrt(SHORT_TERM_LATE_FACTOR),
  );
  const coldEngines = (share: number): number =>
    peakEngines * (1 + cachedRatio * share * REREAD_SHARE);
  return {
    calm: expectedEngines / calmUtilization,
    shortTerm: expectedEngines / utilization,
    calmAfterLossOf: share => coldEngines(share) / calmUtilization,
    shortTermAfterLossOf: share => coldEngines(share) / utilization,
  };
}

/**
 * Returns the plan that follows `previous`. It rises at once, and falls slowly
 * while the load is fully known.
 */
export function nextEnginePlan(
  previous: EnginePlan | undefined,
  situation: PlanSituation,
  now: number,
): EnginePlan {
  const {usualEngines, load, isLosingDomain} = situation;
  const first: EnginePlan = {
    engines: bounded(usualEngines * USUAL_SPARE_FACTOR, situation),
    since: now,
    at: now,
    lostAt: 0,
  };
  const before = previous ?? first;
  const elapsed = Math.max(0, now - before.at);
  const learned: EnginePlan = {
    ...before,
    ...(load !== undefined && {load: plannedLoad(before, load, elapsed)}),
    at: Math.max(now, before.at),
    lostAt: isLosingDomain ? now : before.lostAt,
  };
  if (learned.load === undefined) {
    return {...learned, engines: Math.max(before.engines, first.engines)};
  }
  const required = bounded(requiredEngines(learned, situation, now), situation);
  if (required >= before.engines) {
    return {...learned, engines: required};
  }
  const step = Math.min(elapsed, MAXIMUM_STEP_MILLISECONDS) / 1000;
  const lowest = before.engines * (1 - LARGEST_FALL_PER_SECOND * step);
  return load !== undefined &&
    hasSettled(load) &&
    load.heardShare >= NEEDED_HEARD_SHARE
    ? {...learned, engines: Math.max(required, lowest)}
    : learned;
}

/**
 * Returns whether a load has been seen for long enough. The first requests after
 * a start find cold caches and unknown speeds.
 */
function hasSettled(load: EngineLoad): boolean {
  return load.seenMilliseconds >= SETTLING_MILLISECONDS;
}

/** Returns whether reclaimable engines of a failure domain leave together. */
export function isDomainBeingLost(
  service: string,
  listed: readonly ListedUpstream[],
): boolean {
  const reclaimable = listed.filter(
    upstream => upstream.service === service && upstream.isReclaimable,
  );
  const domains = new Set(reclaimable.map(({failureDomain}) => failureDomain));
  return [...domains].some(domain => {
    const inDomain = reclaimable.filter(
      ({failureDomain}) => failureDomain === domain,
    );
    const leaving = inDomain.filter(({isLeaving}) => isLeaving).length;
    return leaving > 1 && leaving * 2 > inDomain.length;
  });
}

/**
 * Returns what is planned for, given the load of the moment. A peak counts only
 * once the load has settled.
 */
function plannedLoad(
  {load: before}: EnginePlan,
  load: EngineLoad,
  elapsed: number,
): EnginePlan['load'] {
  const {busyEngines, calmUtilization, millisecondsPerToken, cachedRatio} =
    load;
  const fading = Math.exp(-elapsed / PEAK_FADING_MILLISECONDS);
  const fadedPeak = (before?.peakEngines ?? 0) * fading;
  if (!hasSettled(load)) {
    return (
      before && {
        ...before,
        expectedEngines: Math.max(before.peakEngines, busyEngines),
      }
    );
  }
  const peakEngines = Math.max(busyEngines, fadedPeak);
  return {
    peakEngines,
    expectedEngines: Math.max(peakEngines, load.expectedEngines),
    calmUtilization,
    millisecondsPerToken,
    cachedRatio,
  };
}

function requiredEngines(
  plan: EnginePlan,
  {domainCount, usualEngines}: PlanSituation,
  now: number,
): number {
  const {calm, calmAfterLossOf} = neededEngines(plan, usualEngines);
  const mayLoseTwo =
    now - Math.max(plan.since, plan.lostAt) < LOSS_MEMORY_MILLISECONDS;
  // With two domains or fewer, on-demand engines have to replace the rest.
  const lostDomains = Math.min(mayLoseTwo ? 2 : 1, domainCount - 1);
  const lostShare = lostDomains / domainCount;
  return Math.max(calm, calmAfterLossOf(lostShare) / (1 - lostShare));
}

function bounded(
  engines: number,
  {domainCount, minimumInDomain, maximumInDomain}: PlanSituation,
): number {
  return Math.min(
    Math.max(engines, minimumInDomain * domainCount),
    maximumInDomain * domainCount,
  );
}
