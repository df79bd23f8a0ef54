/**
 * Upstreams and their changes, as the platform lists them.
 */

/** An upstream, as it describes itself. */
export interface ListedUpstream {
  readonly upstreamId: string;
  readonly service: string;
  /**
   * Version of its software, which is not that of its model weights; empty if it
   * reported none.
   */
  readonly softwareVersion: string;
  /** IP address and port. */
  readonly address: string;
  readonly failureDomain: string;
  readonly slots: number;
  readonly isLeaving: boolean;
  /** Milliseconds until its departure; undefined if it did not report them. */
  readonly leavesInMilliseconds: number | undefined;
  /**
   * Start time of its process in milliseconds since the epoch; 0 if it did not
   * report one.
   */
  readonly bornAt: number;
  /** Whether it can be reclaimed together with its failure domain. */
  readonly isReclaimable: boolean;
  /** Remaining milliseconds for which it is slow after its start. */
  readonly coldMilliseconds: number;
}

/** A change read from the store. */
export type UpstreamUpdate =
  | {
      readonly kind: 'listed';
      readonly upstream: ListedUpstream;
      /**
       * Number of the upstream's heartbeat, which increases until it restarts;
       * undefined if it did not report one.
       */
      readonly heartbeat: number | undefined;
    }
  /** The entry was removed, or it names no upstream to use. */
  | {
      readonly kind: 'withdrawn';
      readonly upstreamId: string;
      /** Why the entry names no upstream; undefined if it was removed. */
      readonly fault?: string;
    };

/** A change that was applied to the list. */
export interface UpstreamChange {
  readonly upstreamId: string;
  readonly service: string;
  readonly failureDomain: string;
  readonly state: 'leaving' | 'listed' | 'withdrawn';
  /** Whether it restarted under the same ID and lost its earlier state. */
  readonly isRestarted: boolean;
}

/** The state of the store at which updates were read. */
export interface UpdateSource {
  /** Position in the store's log up to which the updates were read. */
  readonly readTo: number;
  /** Time until which entries that lapsed in an outage can be listed again. */
  readonly relistedBy: number;
}

/** An upstream that accepts new work. */
export interface UsableUpstream extends ListedUpstream {
  /**
   * Time at which this host first saw the upstream's process ready, in
   * milliseconds of the suspension-aware clock.
   */
  readonly knownSince: number;
}
