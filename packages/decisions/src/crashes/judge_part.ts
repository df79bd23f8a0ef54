/**
 * The decision on how many crashes of upstreams it takes to blame a prompt part,
 * and when a request with a blamed part may be tried again.
 */
import {
  NEVER_SOUND,
  type PartSuspicion,
  type PartVerdict,
  unrefutedCrashes,
  verdictInForce,
} from './part_suspicion.js';
import {VERDICT_RETENTION_MILLISECONDS} from './trial_schedule.js';
import type {UpstreamCrash} from './upstream_crash.js';

/** Time after which a crash no longer counts. */
export const CRASH_RETENTION_MILLISECONDS = 600_000;

/**
 * Time before the first crash within which a sound run makes another cause
 * likely, so that more evidence is required.
 */
const SOUND_MEMORY_MILLISECONDS = 60_000;

/**
 * Time within which crashes count as one where the part is known to be sound:
 * upstreams that end together have a common cause outside their requests.
 */
const COMMON_CAUSE_MILLISECONDS = 250;

/** Evidence that is required for a verdict, and what follows from it. */
interface EvidenceRule {
  /** Number of incarnations of upstreams that crashed. */
  readonly crashes: number;
  /** Number of moments at which they crashed. */
  readonly moments: number;
  /** Time from the verdict to the first trial. */
  readonly trialMilliseconds: number;
}

/** Fewest crashes after which any part is blamed. */
export const FEWEST_CRASHES_TO_BLAME = 3;

/** For a part of which no sound run was known. */
const UNKNOWN_PART_RULE: EvidenceRule = {
  crashes: FEWEST_CRASHES_TO_BLAME,
  moments: 2,
  trialMilliseconds: 600_000,
};

/**
 * For a part that ran soundly before. An early trial bounds the harm of a wrong
 * verdict.
 */
const SOUND_PART_RULE: EvidenceRule = {
  crashes: 5,
  moments: 4,
  trialMilliseconds: 2000,
};

/**
 * Returns the verdict on a part to which `crashes` are attributed; undefined if
 * they are not enough.
 */
export function judgePart(
  suspicion: PartSuspicion,
  crashes: readonly UpstreamCrash[],
): PartVerdict | undefined {
  const rule = isKnownSound(suspicion, crashes)
    ? SOUND_PART_RULE
    : UNKNOWN_PART_RULE;
  const last = crashes.at(-1);
  return last !== undefined &&
    crashes.length >= rule.crashes &&
    countMoments(crashes) >= rule.moments
    ? {at: last.time, trialMilliseconds: rule.trialMilliseconds}
    : undefined;
}

/** Returns whether the part ran soundly in the minute before `crashes`. */
export function isKnownSound(
  {soundAt}: PartSuspicion,
  crashes: readonly UpstreamCrash[],
): boolean {
  const firstAt = crashes[0]?.time ?? 0;
  return (
    soundAt !== NEVER_SOUND && soundAt > firstAt - SOUND_MEMORY_MILLISECONDS
  );
}

/** Returns the crashes of which a part is accused at `now`. */
export function countedCrashes(
  suspicion: PartSuspicion,
  now: number,
): readonly UpstreamCrash[] {
  return unrefutedCrashes(suspicion).filter(
    ({time}) => now - time < CRASH_RETENTION_MILLISECONDS,
  );
}

/** Returns whether nothing in `suspicion` counts any more at `now`. */
export function isLapsed(suspicion: PartSuspicion, now: number): boolean {
  const verdict = verdictInForce(suspicion);
  if (verdict === undefined) {
    return countedCrashes(suspicion, now).length === 0;
  }
  const lastAt = Math.max(verdict.at, suspicion.crashes.at(-1)?.time ?? 0);
  return now - lastAt >= VERDICT_RETENTION_MILLISECONDS;
}

/** Returns the number of moments at which upstreams crashed. */
function countMoments(crashes: readonly UpstreamCrash[]): number {
  let moments = 0;
  let momentBegan = -Infinity;
  for (const {time} of crashes) {
    if (time - momentBegan >= COMMON_CAUSE_MILLISECONDS) {
      moments += 1;
      momentBegan = time;
    }
  }
  return moments;
}
