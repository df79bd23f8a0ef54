/**
 * The store of the verdicts on prompt parts, as the watch of the parts uses it.
 */
import type {PartAtService, PartSuspicion} from '@lacewingwinch/decisions';

/** Where verdicts outlive a restart of every entry host. */
export interface VerdictStore {
  /** Returns the verdicts in the store; undefined if it does not answer. */
  load(): Promise<readonly PartSuspicion[] | undefined>;
  /** Writes a verdict; returns whether the store has it. */
  save(suspicion: PartSuspicion): Promise<boolean>;
  /** Removes a verdict; returns whether the store has done so. */
  remove(part: PartAtService): Promise<boolean>;
}
