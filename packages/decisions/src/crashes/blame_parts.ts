/**
 * The decision on which of the accused prompt parts are to blame.
 *
 * Load pattern: requests that share one part and nothing else arrive at all
 * hosts and end each upstream that begins to answer them, while sound requests
 * share their other parts and run at the same upstreams. Two or three such parts
 * may come at once, and upstreams may also end together for another reason,
 * under whatever runs there.
 *
 * Each crash accuses several parts, of which one is enough to explain it. The
 * parts that explain the most crashes are blamed first, and a crash that is
 * explained counts against no other part. Of the parts that explain as many, one
 * that was never known to be sound is the likelier cause.
 */
import {
  countedCrashes,
  FEWEST_CRASHES_TO_BLAME,
  isKnownSound,
  judgePart,
} from './judge_part.js';
import {
  incarnationOf,
  type PartSuspicion,
  type PartVerdict,
  type UpstreamCrash,
  verdictInForce,
} from './part_suspicion.js';

/** Range of the costs of parts that are known to be sound. */
const LEAST_SOUND_COST = 2;
const MAXIMUM_SOUND_COST = 6;

/**
 * Number of crashes from which parts are blamed together that explain exactly the
 * same ones.
 */
const CRASHES_OF_INSEPARABLE_PARTS = 5;

interface Candidate {
  readonly suspicion: PartSuspicion;
  readonly cost: number;
  /** Crashes that no part of a higher rank explains. */
  readonly crashes: readonly UpstreamCrash[];
}

/** Returns the verdicts that follow from all suspicions at `now`. */
export function blameParts(
  suspicions: readonly PartSuspicion[],
  now: number,
): ReadonlyMap<PartSuspicion, PartVerdict> {
  const verdicts = new Map<PartSuspicion, PartVerdict>();
  const explained = crashesOf(
    suspicions.filter(suspicion => verdictInForce(suspicion) !== undefined),
  );
  let candidates = suspicions
    .filter(suspicion => verdictInForce(suspicion) === undefined)
    .map(suspicion => candidateOf(suspicion, now));
  candidates = relevantOf(withoutExplained(candidates, explained));
  for (;;) {
    const best = mostLikely(candidates);
    if (best === undefined) {
      return verdicts;
    }
    const inseparable = candidates.filter(other => isInseparable(best, other));
    if (
      inseparable.length === 1 ||
      best.crashes.length >= CRASHES_OF_INSEPARABLE_PARTS
    ) {
      for (const {suspicion, crashes} of inseparable) {
        const verdict = judgePart(suspicion, crashes);
        if (verdict !== undefined) {
          verdicts.set(suspicion, verdict);
        }
      }
    }
    best.crashes.forEach(crash => explained.add(incarnationOf(crash)));
    candidates = withoutExplained(candidates, explained);
  }
}

/**
 * Number of crashes that a part must explain to be as likely as one that was
 * never sound: the more sound runs are known, the less likely it has turned.
 */
function costOf(isSound: boolean, soundRuns: number): number {
  return isSound
    ? Math.min(
        MAXIMUM_SOUND_COST,
        LEAST_SOUND_COST + Math.log2(1 + soundRuns) / 2,
      )
    : 1;
}

function candidateOf(suspicion: PartSuspicion, now: number): Candidate {
  const crashes = countedCrashes(suspicion, now);
  const isSound = isKnownSound(suspicion, crashes);
  const cost = costOf(isSound, suspicion.soundRuns);
  return {suspicion, cost, crashes};
}

/**
 * Returns the candidates with enough crashes to be blamed, and those that may
 * explain one of these crashes.
 */
function relevantOf(candidates: readonly Candidate[]): Candidate[] {
  const keys = new Set(
    candidates
      .filter(({crashes}) => crashes.length >= FEWEST_CRASHES_TO_BLAME)
      .flatMap(({crashes}) => crashes.map(incarnationOf)),
  );
  return keys.size === 0
    ? []
    : candidates.filter(({crashes}) =>
        crashes.some(crash => keys.has(incarnationOf(crash))),
      );
}

function withoutExplained(
  candidates: readonly Candidate[],
  explained: ReadonlySet<string>,
): Candidate[] {
  return candidates
    .map(candidate => ({
      ...candidate,
      crashes: candidate.crashes.filter(
        crash => !explained.has(incarnationOf(crash)),
      ),
    }))
    .filter(({crashes}) => crashes.length > 0);
}

function mostLikely(candidates: readonly Candidate[]): Candidate | undefined {
  return [...candidates].sort(
    (left, right) =>
      right.crashes.length / right.cost - left.crashes.length / left.cost ||
      left.cost - right.cost ||
      (left.suspicion.partId < right.suspicion.partId ? -1 : 1),
  )[0];
}

/** Returns whether two parts explain exactly the same crashes. */
function isInseparable(left: Candidate, right: Candidate): boolean {
  const keys = new Set(left.crashes.map(incarnationOf));
  return (
    left.cost === right.cost &&
    keys.size === right.crashes.length &&
    right.crashes.every(crash => keys.has(incarnationOf(crash)))
  );
}

function crashesOf(suspicions: readonly PartSuspicion[]): Set<string> {
  return new Set(suspicions.flatMap(({crashes}) => crashes.map(incarnationOf)));
}
