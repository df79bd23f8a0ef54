/**
 * Messages that carry what a process has counted to the hosts that may perform
 * the duties.
 */
import type {
  ProcessCounts,
  ServiceLoadReport,
  VersionResultReport,
} from '@lacewingwinch/decisions';

/** Parameters and result of each of these methods. */
export interface UsageMethods {
  /**
   * Sends cumulative counts of begun requests to the hosts that may report them
   * to the platform, with what those hosts need for orders and roll-outs.
   */
  readonly 'usage.push': {
    readonly params: {
      readonly counts: readonly ProcessCounts[];
      /** Absent if no service of the sender is ordered by load. */
      readonly loads?: readonly ServiceLoadReport[];
      /** Absent if no roll-out is in progress. */
      readonly versionResults?: readonly VersionResultReport[];
    };
    readonly result: null;
  };
}
