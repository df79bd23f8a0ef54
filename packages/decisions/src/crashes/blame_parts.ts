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
  type PartSuspicion,
  type PartVerdict,
  verdictInForce,
} from './part_suspicion.js';
import {groupCrashReports, type UpstreamCrash} from './upstream_crash.js';

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
  readonly crashes: readonly IdentifiedCrash[];
}

/** A crash as one part is accused of it. */
interface IdentifiedCrash extends UpstreamCrash {
  /** The same for all reports of the crash. */
  readonly id: number;
}

/** Returns the verdicts that follow from all suspicions at `now`. */
export function blameParts(
  suspicions: readonly PartSuspicion[],
  now: number,
): ReadonlyMap<PartSuspicion, PartVerdict> {
  const verdicts = new Map<PartSuspicion, PartVerdict>();
  const undecided = suspicions.filter(
    suspicion => verdictInForce(suspicion) === undefined,
  );
  if (!undecided.some(suspicion => mayBeBlamed(suspicion, now))) {
    return verdicts;
  }
  const identify = identifierOf(suspicions.flatMap(({crashes}) => crashes));
  const explained = new Set(
    suspicions
      .filter(suspicion => verdictInForce(suspicion) !== undefined)
      .flatMap(({crashes}) => identify(crashes).map(({id}) => id)),
  );
  let candidates = relevantOf(
    withoutExplained(
      undecided.map(suspicion => candidateOf(suspicion, identify, now)),
      explained,
    ),
  );
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
    best.crashes.forEach(({id}) => explained.add(id));
    candidates = withoutExplained(candidates, explained);
  }
}

/** Returns whether a part has the crashes that a verdict takes at least. */
function mayBeBlamed(suspicion: PartSuspicion, now: number): boolean {
  return (
    suspicion.crashes.length >= FEWEST_CRASHES_TO_BLAME &&
    countedCrashes(suspicion, now).length >= FEWEST_CRASHES_TO_BLAME
  );
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

/** Returns a function that identifies crashes of which `reports` are. */
function identifierOf(
  reports: readonly UpstreamCrash[],
): (crashes: readonly UpstreamCrash[]) => readonly IdentifiedCrash[] {
  const ids = new Map(
    groupCrashReports(reports).flatMap((group, id) =>
      group.map(report => [report, id] as const),
    ),
  );
  return crashes =>
    crashes.map(crash => ({...crash, id: ids.get(crash) ?? -1}));
}

function candidateOf(
  suspicion: PartSuspicion,
  identify: (crashes: readonly UpstreamCrash[]) => readonly IdentifiedCrash[],
  now: number,
): Candidate {
  const crashes = identify(countedCrashes(suspicion, now));
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
      .flatMap(({crashes}) => crashes.map(({id}) => id)),
  );
  return keys.size === 0
    ? []
    : candidates.filter(({crashes}) => crashes.some(({id}) => keys.has(id)));
}

function withoutExplained(
  candidates: readonly Candidate[],
  explained: ReadonlySet<number>,
): Candidate[] {
  return candidates
    .map(candidate => ({
      ...candidate,
      crashes: candidate.crashes.filter(({id}) => !explained.has(id)),
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
  const keys = new Set(left.crashes.map(({id}) => id));
  return (
    left.cost === right.cost &&
    keys.size === right.crashes.length &&
    right.crashes.every(({id}) => keys.has(id))
  );
}
