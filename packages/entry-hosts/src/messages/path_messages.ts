/**
 * Messages that compare which upstreams hosts reach.
 */
import type {ReachReport} from '@lacewingwinch/decisions';

/** Parameters and result of each of these methods. */
export interface PathMethods {
  /** Requests that a host connects to upstreams that the sender does not reach. */
  readonly 'reach.query': {
    readonly params: {readonly upstreamIds: readonly string[]};
    readonly result: ReachReport;
  };
}
