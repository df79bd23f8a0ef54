/**
 * The decision to admit or refuse a request while its service has more requests
 * than its engines read in time. The wait that is tolerated shrinks with the
 * capacity that more urgent requests leave, so that the least urgent requests
 * are refused first, whatever their objectives.
 */
import type {PlacementEstimate} from '../placement/choose_engine.js';
import type {
  AdmissionRefusalReason,
  AdmissionTerms,
  RankPressure,
} from './admission_terms.js';

/** Error of an estimate that states none, as a share of the expected wait. */
const UNKNOWN_ERROR_SHARE = 0.5;

/** Share of the remaining time that may pass before the first event. */
const MAXIMUM_SHARE_OF_TIME_LEFT = 0.9;

/** Least share of the capacity that is left to a rank. */
const MINIMUM_SHARE_LEFT = 0.1;

/**
 * Share of the capacity up to which late answers are tolerated without
 * restriction.
 */
const RELAXED_SHARE = 0.5;

/**
 * Largest backlog before a less urgent request, in objectives of more urgent
 * ones. An engine reads urgent prompts first, but about a third of the backlog
 * is in its batch already.
 */
const BACKLOG_URGENT_OBJECTIVES = 1.5;

/**
 * Multiple of its fair share that a workspace may get before the wait that is
 * tolerated for it shrinks. Arrivals are irregular.
 */
const TOLERATED_SHARE = 1.2;

/** The start that is expected of a request. */
export interface ExpectedStart {
  readonly startMilliseconds: number;
  /** Standard error in milliseconds. */
  readonly errorMilliseconds: number;
}

/** The load that a request meets. */
export interface MetLoad extends RankPressure {
  /** Milliseconds for which an engine reads the prompt itself. */
  readonly readMilliseconds: number;
  /**
   * Milliseconds of all engines that are promised to refused requests which
   * return before this one would start.
   */
  readonly reservedMilliseconds: number;
  /**
   * What the workspace gets as a multiple of its fair share; 0 if all that its
   * rank offers fits.
   */
  readonly usedShare: number;
}

/** A request that meets no other. */
const NO_LOAD: MetLoad = {
  urgentShare: 0,
  totalShare: 0,
  urgentObjectiveMilliseconds: Infinity,
  readMilliseconds: 0,
  reservedMilliseconds: 0,
  usedShare: 0,
};

/**
 * Returns the expected start of a request that more urgent ones overtake while
 * it waits, until its prompt is read.
 */
export function expectedStart(
  {estimateMilliseconds, errorMilliseconds}: PlacementEstimate,
  {urgentShare, readMilliseconds, reservedMilliseconds}: MetLoad,
): ExpectedStart {
  const left = Math.max(MINIMUM_SHARE_LEFT, 1 - urgentShare);
  const read = Math.min(readMilliseconds, estimateMilliseconds);
  const wait = (estimateMilliseconds - read + reservedMilliseconds) / left;
  return {
    startMilliseconds: read + wait,
    errorMilliseconds:
      errorMilliseconds === undefined
        ? wait * UNKNOWN_ERROR_SHARE
        : errorMilliseconds / left,
  };
}

/** Returns the latest first event for which the client waits. */
export function latestUsefulStart(
  terms: Pick<AdmissionTerms, 'millisecondsLeft' | 'patienceMilliseconds'>,
): number {
  return Math.min(
    terms.patienceMilliseconds,
    terms.millisecondsLeft * MAXIMUM_SHARE_OF_TIME_LEFT,
  );
}

/** Returns whether the client would leave before the first event. */
export function isDeadlineUnreachable(
  estimate: PlacementEstimate,
  terms: Pick<AdmissionTerms, 'millisecondsLeft' | 'patienceMilliseconds'>,
  load: MetLoad = NO_LOAD,
): boolean {
  const {startMilliseconds, errorMilliseconds} = expectedStart(estimate, load);
  return (
    estimate.mustWait &&
    startMilliseconds - errorMilliseconds > latestUsefulStart(terms)
  );
}

/**
 * Returns why a request is refused; undefined if it is admitted. An engine at
 * which nothing waits is free capacity, and no request is refused then.
 */
export function reasonToRefuse(
  estimate: PlacementEstimate,
  terms: AdmissionTerms,
  load: MetLoad,
): AdmissionRefusalReason | undefined {
  if (!estimate.mustWait) {
    return undefined;
  }
  if (isDeadlineUnreachable(estimate, terms, load)) {
    return 'deadline';
  }
  const backlogLimit =
    load.urgentObjectiveMilliseconds * BACKLOG_URGENT_OBJECTIVES;
  if (
    estimate.estimateMilliseconds + load.reservedMilliseconds >
    backlogLimit
  ) {
    return 'held-back';
  }
  const {startMilliseconds, errorMilliseconds} = expectedStart(estimate, load);
  const latestStart = startMilliseconds + errorMilliseconds;
  const tolerated = toleratedStart(terms, load);
  if (latestStart > tolerated) {
    return 'late';
  }
  const isOverShare = load.usedShare > TOLERATED_SHARE;
  return isOverShare &&
    latestStart > (tolerated * TOLERATED_SHARE) / load.usedShare
    ? 'share'
    : undefined;
}

/**
 * Returns the latest first event that is tolerated: the objective where all
 * capacity is needed, because a late answer takes the place of one that
 * would be on time, and more the more capacity is left.
 */
export function toleratedStart(
  terms: AdmissionTerms,
  {totalShare}: Pick<RankPressure, 'totalShare'>,
): number {
  const {objectiveMilliseconds} = terms;
  const latest = latestUsefulStart(terms);
  const slack = Math.min(
    1,
    Math.max(0, (1 - totalShare) / (1 - RELAXED_SHARE)),
  );
  return Math.min(
    latest,
    objectiveMilliseconds + Math.max(0, latest - objectiveMilliseconds) * slack,
  );
}
