/**
 * The load of a service in engines: how many of them are busy on average, now
 * and by the time at which an engine that is ordered now serves.
 */
import type {LoadObservation, LoadSpan} from './offered_loads.js';

/** What the load is compared with. */
export interface EngineLoadTerms {
  /** Tightest latency objective of the requests. */
  readonly objectiveMilliseconds: number;
  /** Requests that an engine runs at once. */
  readonly slots: number;
  /** Time from an order until its engine serves. */
  readonly leadMilliseconds: number;
  /** Engines that are there; no more of them can be busy. */
  readonly presentEngines: number;
  /** Processes that serve requests. */
  readonly servingProcesses: number;
  /** Time to read a token that was known before; undefined if none was. */
  readonly knownMillisecondsPerToken: number | undefined;
}

/** The load of a service in engines. */
export interface EngineLoad {
  /** Engines that the offered load keeps busy. */
  readonly busyEngines: number;
  /**
   * The busy engines when an engine that is ordered now serves, and those that
   * are missing because requests are refused or late.
   */
  readonly expectedEngines: number;
  /** Utilization at which the tightest objective is kept. */
  readonly calmUtilization: number;
  readonly millisecondsPerToken: number;
  /** Prompt tokens found in caches, for each token that is read. */
  readonly cachedRatio: number;
  /** Share of the requests that were refused, or late behind others. */
  readonly strainedShare: number;
  /** Share of the serving processes that reported this load. */
  readonly heardShare: number;
  readonly ageMilliseconds: number;
  readonly seenMilliseconds: number;
}

/**
 * Squared tokens, in millions, from which the time to read a token is measured
 * anew: some forty prompts of a few thousand tokens.
 */
const MINIMUM_MEASURED_SQUARES = 500;

/** Share of the requests that may be late while nothing is wrong. */
const TOLERATED_LATE_SHARE = 0.05;

/** Share of the hosts below which the load of the others is not estimated. */
const ESTIMATED_HEARD_SHARE = 0.8;

/** Least room, as a share of the objective, that is planned with. */
const MINIMUM_ROOM_SHARE = 0.1;

const MINIMUM_UTILIZATION = 0.25;
const MAXIMUM_UTILIZATION = 0.55;

/** Standard errors of the number of arrivals that are not taken for growth. */
const CHANCE_ERRORS = 2;

/** Largest expected growth; more is ordered once it is seen. */
const MAXIMUM_GROWTH = 0.5;

/** Strained share from which on more engines are planned. */
const USUAL_STRAINED_SHARE = 0.03;

/** Engines added for a strained share of 1, as a multiple of the busy ones. */
const STRAIN_FACTOR = 2.5;

/** Largest part of the busy engines that is added because of strain. */
const MAXIMUM_STRAIN = 0.5;

/**
 * Returns the load that was observed; undefined while there is too little to
 * determine how fast engines read, or the load of hosts that do not report.
 */
export function engineLoadOf(
  observation: LoadObservation,
  terms: EngineLoadTerms,
): EngineLoad | undefined {
  const {recent, minute, heardProcesses} = observation;
  const millisecondsPerToken = readingTimeOf(observation, terms);
  const heardShare = Math.min(
    1,
    heardProcesses / Math.max(1, terms.servingProcesses),
  );
  if (
    millisecondsPerToken === undefined ||
    minute.sums.placements === 0 ||
    heardShare < ESTIMATED_HEARD_SHARE
  ) {
    return undefined;
  }
  const refusedFactor = 1 + refusedPerPlacement(recent);
  const seconds = recent.milliseconds / 1000;
  const readingEngines =
    (recent.sums.uncachedTokens * millisecondsPerToken) / 1000 / seconds;
  const slotEngines =
    recent.sums.outputMilliseconds / 1000 / seconds / terms.slots;
  const strainedShare = strainedShareOf(recent);
  const strain = Math.min(
    MAXIMUM_STRAIN,
    Math.max(0, strainedShare - USUAL_STRAINED_SHARE) * STRAIN_FACTOR,
  );
  const servedEngines = Math.max(readingEngines, slotEngines) / heardShare;
  const busyEngines =
    Math.min(servedEngines, terms.presentEngines) * refusedFactor;
  return {
    busyEngines,
    expectedEngines:
      busyEngines * (1 + strain) * (1 + growthOf(observation, terms)),
    calmUtilization: calmUtilizationOf(minute, millisecondsPerToken, terms),
    millisecondsPerToken,
    cachedRatio:
      minute.sums.cachedTokens / Math.max(1, minute.sums.uncachedTokens),
    strainedShare,
    heardShare,
    ageMilliseconds: observation.ageMilliseconds,
    seenMilliseconds: observation.seenMilliseconds,
  };
}

/**
 * Returns the milliseconds to read a token, by least squares through the origin,
 * so that the part of the time that does not depend on the prompt counts little.
 * The lower value of the last seconds and of the last minute counts: while
 * prompts queue unseen, answers take longer although the engines are as fast.
 */
function readingTimeOf(
  {recent, minute}: LoadObservation,
  {knownMillisecondsPerToken}: EngineLoadTerms,
): number | undefined {
  const measured = [recent, minute]
    .filter(({sums}) => sums.measuredSquares >= MINIMUM_MEASURED_SQUARES)
    .map(({sums}) => sums.measuredProducts / sums.measuredSquares);
  return measured.length === 0
    ? knownMillisecondsPerToken
    : Math.min(...measured);
}

/**
 * Returns the refused requests for each placed one. Clients that repeat at once
 * and often are counted with each repetition, so there is an upper bound.
 */
function refusedPerPlacement({sums}: LoadSpan): number {
  return Math.min(1, sums.refusals / Math.max(1, sums.placements));
}

function strainedShareOf({sums}: LoadSpan): number {
  return (
    (sums.refusals + sums.lateStarts) / Math.max(1, sums.refusals + sums.starts)
  );
}

/** Returns the growth of the load until an engine that is ordered now serves. */
function growthOf(
  {recent, earlier, seenMilliseconds}: LoadObservation,
  {leadMilliseconds}: EngineLoadTerms,
): number {
  if (seenMilliseconds < recent.milliseconds + earlier.milliseconds) {
    return 0;
  }
  const rateOf = ({sums, milliseconds}: LoadSpan): number =>
    sums.requests / milliseconds;
  const distance = (recent.milliseconds + earlier.milliseconds) / 2;
  const arrivals = [recent, earlier].map(({sums}) =>
    Math.max(1, sums.requests),
  );
  const chance =
    CHANCE_ERRORS *
    Math.sqrt(arrivals.reduce((sum, count) => sum + 1 / count, 0));
  const growth =
    rateOf(recent) / Math.max(Number.EPSILON, rateOf(earlier)) - 1 - chance;
  return Math.min(
    MAXIMUM_GROWTH,
    Math.max(0, (growth * leadMilliseconds) / distance),
  );
}

/**
 * Returns the utilization at which few requests are late. A request finds both
 * engines that suit it busy with a probability of the squared utilization, and
 * waits for the rest of the prompt that is being read.
 */
function calmUtilizationOf(
  {sums}: LoadSpan,
  millisecondsPerToken: number,
  {objectiveMilliseconds}: EngineLoadTerms,
): number {
  const meanTokens = sums.uncachedTokens / Math.max(1, sums.placements);
  const residualTokens =
    (sums.squaredMegatokens * 1e6) / 2 / Math.max(1, sums.uncachedTokens);
  const room = Math.max(
    objectiveMilliseconds * MINIMUM_ROOM_SHARE,
    objectiveMilliseconds - meanTokens * millisecondsPerToken,
  );
  const residual = Math.max(1, residualTokens * millisecondsPerToken);
  const utilization = Math.sqrt((TOLERATED_LATE_SHARE * room) / residual);
  return Math.min(
    MAXIMUM_UTILIZATION,
    Math.max(MINIMUM_UTILIZATION, utilization),
  );
}
