/**
 * Messages between fronts and the dispatchers that place requests.
 */
import type {
  AdmissionRefusal,
  AdmissionTerms,
  LoadStatement,
  PlacedRequest,
  PlacementDemand,
  PlacementEstimate,
  RateStatement,
  UpstreamResult,
} from '@lacewingwinch/decisions';

/** Request to a dispatcher to choose an upstream for a client request. */
export interface PlacementRequest {
  readonly service: string;
  /** Shard whose dispatcher is addressed. */
  readonly shardId: string;
  readonly front: string;
  readonly failureDomain: string;
  readonly demand: PlacementDemand;
  /**
   * IDs of upstreams already tried or failing from the front's point of view.
   */
  readonly excluded: readonly string[];
  /** What the front knows of rates; sent where the dispatcher knows less. */
  readonly rates?: readonly RateStatement[];
  /** Absent if the request is placed however long it would wait. */
  readonly terms?: AdmissionTerms;
}

/** The upstream chosen for a request, if there is one. */
export type PlacementAnswer =
  | {
      readonly kind: 'chosen';
      readonly upstreamId: string;
      readonly estimate: PlacementEstimate;
      /** Rank at the upstream; absent if it is that of the request. */
      readonly promotedRank?: number;
      /** What the dispatcher knows of rates, if the front sent any. */
      readonly rates?: readonly RateStatement[];
      /**
       * Loads of the shard's engines, so that the front can place requests if the
       * dispatcher does not answer; at most once a second.
       */
      readonly loads?: readonly LoadStatement[];
    }
  /** Every upstream has as many requests as its limit allows. */
  | {
      readonly kind: 'limited';
      /** Milliseconds until the first of them takes another request. */
      readonly milliseconds: number;
    }
  | AdmissionRefusal
  | {readonly kind: 'none'};

/** Report to the dispatcher that a placed request began or ended. */
export type PlacementReport =
  | {
      readonly kind: 'began';
      readonly service: string;
      readonly front: string;
      readonly attemptId: string;
      readonly upstreamId: string;
      readonly tokens: number;
      /** Milliseconds from the placement to the first output. */
      readonly elapsed: number;
      /** What the upstream said of its rates, if anything. */
      readonly rates?: readonly RateStatement[];
    }
  | {
      readonly kind: 'ended';
      readonly service: string;
      readonly front: string;
      readonly attemptId: string;
      readonly upstreamId: string;
      /** What the upstream said of its rates, if anything. */
      readonly rates?: readonly RateStatement[];
      /** Result; absent if it gives no information about the upstream. */
      readonly result?: UpstreamResult;
      /** Start time of the upstream's process that the result is about. */
      readonly bornAt?: number;
      /**
       * Start time of the upstream's process if that process announced that it
       * is leaving, in milliseconds since the epoch.
       */
      readonly leavingBornAt?: number;
    };

/** Parameters and result of each of these methods. */
export interface PlacementMethods {
  /** Requests the dispatcher of a service to choose an upstream. */
  readonly 'placement.request': {
    readonly params: PlacementRequest;
    readonly result: PlacementAnswer;
  };
  /** Reports to the dispatcher that a request began or ended. */
  readonly 'placement.report': {
    readonly params: PlacementReport;
    readonly result: null;
  };
  /** Replaces the dispatcher's record of the requests of a front. */
  readonly 'placement.renew': {
    readonly params: {
      readonly service: string;
      readonly front: string;
      readonly requests: readonly PlacedRequest[];
    };
    readonly result: null;
  };
}
