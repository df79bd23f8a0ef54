/**
 * Messages that carry counts of begun requests.
 */
import type {ProcessCounts} from '@lacewingwinch/decisions';

/** Parameters and result of each of these methods. */
export interface UsageMethods {
  /**
   * Sends cumulative counts of begun requests to the hosts that may report them
   * to the platform.
   */
  readonly 'usage.push': {
    readonly params: {readonly counts: readonly ProcessCounts[]};
    readonly result: null;
  };
}
