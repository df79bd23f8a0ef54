/**
 * Prompt parts that were blamed together, because they explain exactly the same
 * crashes: one of them may be the only cause. A request that holds some of them and not
 * all shows by a run which ones are not.
 */
import {type PartSuspicion, verdictInForce} from './part_suspicion.js';
import {nextTrialAt} from './trial_schedule.js';

/**
 * Milliseconds from a verdict on several parts to the first trial of a request that
 * separates them, which bounds the harm to those that are sound.
 */
const SEPARATING_TRIAL_MILLISECONDS = 2000;

/** When a request with refused parts may be tried. */
export interface PartTrial {
  /** Milliseconds since the epoch. */
  readonly at: number;
  /** Whether the request lacks some of the parts that were blamed together. */
  readonly isSeparating: boolean;
}

/**
 * Returns when a request with `parts` may be tried, of which `refused` are refused;
 * `verdicts` are all suspicions with a verdict in force.
 */
export function trialOf(
  parts: readonly string[],
  refused: readonly [PartSuspicion, ...PartSuspicion[]],
  verdicts: readonly PartSuspicion[],
): PartTrial {
  const [first] = refused;
  const group = verdicts.filter(other => isBlamedWith(first, other));
  const isSeparating =
    refused.every(other => isBlamedWith(first, other)) &&
    group.some(({partId}) => !parts.includes(partId));
  const at = isSeparating
    ? trialTimeOf(first, true)
    : Math.max(...refused.map(suspicion => trialTimeOf(suspicion, false)));
  return {at, isSeparating};
}

/** Returns the time of the next trial of a part; Infinity without a verdict. */
export function trialTimeOf(
  suspicion: PartSuspicion,
  isSeparating: boolean,
): number {
  const verdict = verdictInForce(suspicion);
  if (verdict === undefined) {
    return Infinity;
  }
  const trialMilliseconds = isSeparating
    ? Math.min(verdict.trialMilliseconds, SEPARATING_TRIAL_MILLISECONDS)
    : verdict.trialMilliseconds;
  return nextTrialAt(suspicion, {...verdict, trialMilliseconds});
}

function isBlamedWith(left: PartSuspicion, right: PartSuspicion): boolean {
  return (
    left.service === right.service && left.verdict?.at === right.verdict?.at
  );
}
