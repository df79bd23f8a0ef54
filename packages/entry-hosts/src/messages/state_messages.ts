/**
 * Messages that relay the configuration and the list of upstreams.
 */
import type {
  RelayedList,
  RolloutOrder,
  RolloutRecord,
  SnapshotRecord,
} from '@lacewingwinch/decisions';

/** Orders of roll-outs, and the newest record of each service. */
export interface RelayedRollouts {
  readonly orders: readonly RolloutOrder[];
  readonly records: readonly {
    readonly record: RolloutRecord;
    /** Milliseconds since a host that reads the store first saw it. */
    readonly age: number;
  }[];
}

/** State that a host has confirmed, with its age in milliseconds. */
export interface RelayedState {
  readonly configuration?: {
    readonly version: number;
    readonly age: number;
    /**
     * The published document in Base64; absent if the receiver already has this
     * version or did not request a document.
     */
    readonly document?: string;
  };
  readonly upstreams?: {
    readonly age: number;
    /** Offset in the store's log up to which the list was read. */
    readonly readTo: number;
    readonly list: RelayedList;
  };
  /** Absent if there is no order, or the receiver knows everything already. */
  readonly rollouts?: RelayedRollouts;
}

/** Request for the state of another host, with the versions already known. */
export interface StateRequest {
  /** Version of the sender's configuration; -1 if it has none. */
  readonly knownVersion: number;
  /**
   * Whether to include a newer document in the response; otherwise the sender
   * reads it from the store.
   */
  readonly wantsDocument: boolean;
  /** Offset up to which the sender has read the list of upstreams. */
  readonly upstreamsReadTo?: number;
  /** What the sender knows of roll-outs, in short; absent without an order. */
  readonly knownRollouts?: string;
}

/** Parameters and result of each of these methods. */
export interface StateMethods {
  readonly 'upstream.leaving': {
    readonly params: {
      readonly upstreamIds: readonly string[];
      /** Milliseconds since the epoch. */
      readonly reclaimTime?: number;
    };
    readonly result: null;
  };
  readonly 'configuration.fetch': {
    readonly params: {readonly nonce: string};
    readonly result: {
      readonly nonce: string;
      readonly isServing: boolean;
      readonly snapshot: SnapshotRecord;
    };
  };
  /** Fetches the state of another host, in place of a read from the store. */
  readonly 'beliefs.fetch': {
    readonly params: StateRequest;
    readonly result: RelayedState;
  };
}
