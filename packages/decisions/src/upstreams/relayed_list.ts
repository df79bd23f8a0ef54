/**
 * The list of upstreams, as one entry host relays it to another.
 */
import type {ListedUpstream} from './listed_upstream.js';

/** An upstream, as one host relays it to another. */
export interface RelayedUpstream {
  readonly upstream: ListedUpstream;
  /** Number of the last heartbeat of the upstream, if it reported one. */
  readonly heartbeat?: number;
  /**
   * Milliseconds until the upstream counts as gone unless it is listed again;
   * present if its entry lapsed during an outage of the store.
   */
  readonly lapsesInMilliseconds?: number;
}

/** A list of upstreams, as one host relays it to another. */
export type RelayedList =
  /** The complete list. */
  | {readonly kind: 'whole'; readonly listed: readonly RelayedUpstream[]}
  /** The changes since the offset up to which the other host has read. */
  | {
      readonly kind: 'changes';
      readonly listed: readonly RelayedUpstream[];
      readonly withdrawn: readonly string[];
    };
