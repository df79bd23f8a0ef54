/**
 * The choice among engines whose load is known only as it was a while ago. Many
 * hosts choose at the same time: if all took the engine that was least loaded,
 * they would overrun it together. The older the knowledge, the more work the
 * others are expected to have sent to engines with room, and the more evenly
 * the engines are drawn.
 */

/** An engine, as the host that chooses knows it. */
export interface SpreadCandidate {
  /** Milliseconds for which the engine is known to be busy before a request. */
  readonly waitMilliseconds: number;
  /**
   * Milliseconds that the request takes there besides, with the cost of reading
   * a prompt again and of sending it to another failure domain.
   */
  readonly ownMilliseconds: number;
  /** Work that the engine does in a given time, relative to the others. */
  readonly capacity: number;
}

/** The load that other hosts have sent since the loads were known. */
export interface UnknownLoad {
  /** Age of the known loads in milliseconds. */
  readonly ageMilliseconds: number;
  /** Share of the time for which an engine is busy, 0 to 1. */
  readonly busyShare: number;
  /** Mean milliseconds for which a request keeps an engine busy. */
  readonly meanMilliseconds: number;
}

/** The chosen candidate. */
export interface SpreadChoice {
  readonly index: number;
  /** Wait that is expected of work that is not known. */
  readonly unknownMilliseconds: number;
}

/** Unknown work up to which the least cost decides. */
const NEGLIGIBLE_MILLISECONDS = 5;

/**
 * Largest difference of the time that a request takes itself, in requests, for
 * which engines are drawn about equally often. That time is known: if it counted
 * less under high load, prompts would be read again where they add most to it.
 */
const TOLERATED_REQUESTS = 2;

/** Largest share of the time for which an engine is taken to be busy. */
const MAXIMUM_BUSY_SHARE = 0.95;

/**
 * Returns the milliseconds of work that an engine is expected to have got since
 * the loads were known and not to have done yet. It does not exceed the wait at
 * engines that are drawn without any knowledge.
 */
export function expectedUnknownWork({
  ageMilliseconds,
  busyShare,
  meanMilliseconds,
}: UnknownLoad): number {
  const busy = Math.min(MAXIMUM_BUSY_SHARE, Math.max(0, busyShare));
  return Math.min(
    busy * ageMilliseconds,
    (busy / (1 - busy)) * meanMilliseconds,
  );
}

/** How candidates are chosen from. */
export type SpreadWeighing =
  /** The candidate of least cost is taken; -1 if there is none. */
  | {readonly kind: 'least-cost'; readonly index: number}
  /** One is drawn in proportion to the weights. */
  | {
      readonly kind: 'drawn';
      readonly weights: readonly number[];
      /** Wait up to which work that is not known fills the engines. */
      readonly level: number;
    };

/**
 * Chooses a candidate; `random` is from 0 (inclusive) to 1 (exclusive). Returns
 * undefined if there is none.
 */
export function chooseSpread(
  candidates: readonly SpreadCandidate[],
  unknown: UnknownLoad,
  random: number,
): SpreadChoice | undefined {
  const weighing = weighSpread(candidates, unknown);
  return spreadChoiceAt(candidates, weighing, drawIndex(weighing, random));
}

/** Weighs the candidates of a choice. */
export function weighSpread(
  candidates: readonly SpreadCandidate[],
  unknown: UnknownLoad,
): SpreadWeighing {
  const work = expectedUnknownWork(unknown);
  if (work < NEGLIGIBLE_MILLISECONDS) {
    return {kind: 'least-cost', index: leastCostIndex(candidates)};
  }
  const level = fillLevel(
    candidates.map(({waitMilliseconds}) => waitMilliseconds),
    work,
  );
  const leastOwn = Math.min(
    ...candidates.map(({ownMilliseconds}) => ownMilliseconds),
  );
  const tolerance = Math.min(
    work,
    unknown.meanMilliseconds * TOLERATED_REQUESTS,
  );
  const weights = candidates.map(
    ({waitMilliseconds, ownMilliseconds, capacity}) =>
      capacity *
      softRoom((level - waitMilliseconds) / work) *
      Math.exp((leastOwn - ownMilliseconds) / tolerance),
  );
  return {kind: 'drawn', weights, level};
}

/** Returns the index of the candidate that `random` draws; -1 for none. */
export function drawIndex(weighing: SpreadWeighing, random: number): number {
  switch (weighing.kind) {
    case 'least-cost':
      return weighing.index;
    case 'drawn':
      return draw(weighing.weights, random);
  }
}

/** Returns the share of the draws in which a candidate is chosen, 0 to 1. */
export function drawnShareOf(weighing: SpreadWeighing, index: number): number {
  switch (weighing.kind) {
    case 'least-cost':
      return weighing.index === index ? 1 : 0;
    case 'drawn': {
      const total = weighing.weights.reduce((sum, weight) => sum + weight, 0);
      return (weighing.weights[index] ?? 0) / Math.max(Number.MIN_VALUE, total);
    }
  }
}

/** Returns the choice of a candidate; undefined if there is none of `index`. */
export function spreadChoiceAt(
  candidates: readonly SpreadCandidate[],
  weighing: SpreadWeighing,
  index: number,
): SpreadChoice | undefined {
  const chosen = candidates[index];
  if (chosen === undefined) {
    return undefined;
  }
  switch (weighing.kind) {
    case 'least-cost':
      return {index, unknownMilliseconds: 0};
    case 'drawn': {
      const room = Math.max(0, weighing.level - chosen.waitMilliseconds);
      return {index, unknownMilliseconds: room / 2};
    }
  }
}

/**
 * Returns the wait at which all engines with a shorter one arrive if `work`
 * milliseconds for each engine go to those with the shortest waits.
 */
export function fillLevel(waits: readonly number[], work: number): number {
  const sorted = [...waits].sort((left, right) => left - right);
  const total = work * sorted.length;
  let sum = 0;
  for (const [index, wait] of sorted.entries()) {
    if (index > 0 && wait * index - sum >= total) {
      return (total + sum) / index;
    }
    sum += wait;
  }
  return (total + sum) / Math.max(1, sorted.length);
}

/** Returns `room` if it is large, and little if there is none. */
function softRoom(room: number): number {
  return room > 30 ? room : Math.log1p(Math.exp(room));
}

function leastCostIndex(candidates: readonly SpreadCandidate[]): number {
  let best = -1;
  let leastCost = Infinity;
  for (const [index, candidate] of candidates.entries()) {
    const cost = candidate.waitMilliseconds + candidate.ownMilliseconds;
    if (cost < leastCost) {
      leastCost = cost;
      best = index;
    }
  }
  return best;
}

/** Returns an index in proportion to the weights. */
function draw(weights: readonly number[], random: number): number {
  const total = weights.reduce((sum, weight) => sum + weight, 0);
  let left = total * random;
  for (const [index, weight] of weights.entries()) {
    left -= weight;
    if (left < 0) {
      return index;
    }
  }
  return weights.length - 1;
}
