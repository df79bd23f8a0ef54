/**
 * The JSON-RPC methods between entry processes.
 */
import type {
  BodyFraming,
  Claim,
  DispatchEffect,
  HeldPermit,
  Member,
  OriginKnowledge,
  PartSuspicion,
  PermitRequest,
  PlacedRequest,
  PlacementDemand,
  PlacementEstimate,
  ProcessCounts,
  RateStatement,
  RelayedList,
  SnapshotRecord,
  StreamOrigin,
  Suspicion,
  UpstreamResult,
} from '@lacewingwinch/decisions';

/** Content of a gossip message. */
export interface GossipDigest {
  readonly members: readonly Member[];
  /** Offset up to which the sender has read the configuration log. */
  readonly configurationReadTo: number;
  /** IDs of the upstreams that are leaving. */
  readonly leavingUpstreams: readonly string[];
  readonly suspicions: readonly Suspicion[];
  /** Prompt parts under suspicion, verdicts first. */
  readonly partSuspicions?: readonly PartSuspicion[];
  /** Load of each shard whose dispatcher the sender is. */
  readonly loads: readonly ShardLoad[];
  /** Demand that exceeds the sender's share of the limit of each workspace. */
  readonly demands: readonly WorkspaceDemand[];
  /** The sender's time of day, in milliseconds since the epoch. */
  readonly timeOfDay?: number;
  /** Whether the sender reaches no upstream; absent if it does. */
  readonly isCutOff?: boolean;
}

/** Load of one shard: requests in progress divided by slots. */
export interface ShardLoad {
  readonly shardId: string;
  readonly load: number;
}

/** Demand of a workspace that the host's share of its limit does not cover. */
export interface WorkspaceDemand {
  readonly workspace: string;
  /** Requests per second beyond the share of the host. */
  readonly wanted: number;
}

/** The copy of an accepted request that its backup stores. */
export interface BackupCopy {
  readonly requestId: string;
  readonly front: string;
  readonly workspace: string;
  readonly service: string;
  readonly callKind: 'chat-completion' | 'completion' | 'plain';
  readonly method: string;
  readonly path: string;
  readonly contentType: string;
  /** Encoded in Base64. */
  readonly body: string;
  readonly priority: number;
  /** Milliseconds since the epoch. */
  readonly deadline: number;
  readonly isStreamed: boolean;
  readonly isIdempotent: boolean;
  readonly needsClaim: boolean;
  readonly key: string;
  readonly configurationVersion: number;
  readonly rule: string;
}

/** State of a request at its front at the time of the handover. */
export interface HandedOverRequest {
  readonly copy: BackupCopy;
  /** Hash of workspace and content; absent if only the copy remained. */
  readonly fingerprint?: string;
  /**
   * ID of the execution right, which the sender has destroyed; absent if the
   * right was already consumed.
   */
  readonly rightId?: string;
  /** Whether any attempt sent a byte to an upstream. */
  readonly wasSent: boolean;
  readonly attempts: number;
  /** Events of the answer received so far. */
  readonly events: readonly string[];
  /** The complete answer, if there is one. */
  readonly answer?: KeptAnswer;
  /** Whether the events, or the answer, are complete. */
  readonly isAnswered: boolean;
  /** Key-value cache that was exported for the next attempt. */
  readonly cache?: {readonly address: string; readonly handle: string};
}

/** A complete answer that is kept so that clients can fetch it again. */
export interface KeptAnswer {
  readonly status: number;
  readonly contentType: string;
  /** Encoded in Base64. */
  readonly body: string;
  /** Framing of the answer of the upstream; it is passed on with it. */
  readonly framing: BodyFraming;
}

/** Decision on a claim, according to the order of claims in the log. */
export type ClaimVerdict =
  {readonly kind: 'lost'; readonly winner: Claim} | {readonly kind: 'won'};

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
}

/** Response of a host that was asked to take from its share of a quota. */
export type QuotaAnswer =
  | {readonly kind: 'taken'}
  /** The share is used up; a retry can succeed after this time. */
  | {readonly kind: 'used-up'; readonly waitMilliseconds: number}
  /** The host holds no share of this quota. */
  | {readonly kind: 'not-held'};

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
}

/** The upstream chosen for a request, if there is one. */
export type PlacementAnswer =
  | {
      readonly kind: 'chosen';
      readonly upstreamId: string;
      readonly estimate: PlacementEstimate;
      /** What the dispatcher knows of rates, if the front sent any. */
      readonly rates?: readonly RateStatement[];
    }
  /** Every upstream has as many requests as its limit allows. */
  | {
      readonly kind: 'limited';
      /** Milliseconds until the first of them takes another request. */
      readonly milliseconds: number;
    }
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
      /**
       * Start time of the upstream's process if that process announced that it
       * is leaving, in milliseconds since the epoch.
       */
      readonly leavingBornAt?: number;
    };

/** Which upstreams a host reaches. */
export interface ReachAnswer {
  /** Those of the upstreams to which it could connect. */
  readonly reached: readonly string[];
  /** Whether it reaches no upstream at all, so that it cannot tell. */
  readonly isCutOff: boolean;
}

/** Question for the origin of a stream that a client takes up. */
export interface OriginQuery {
  /** ID of the attempt that brought the first event; empty if not stated. */
  readonly attemptId: string;
  readonly service: string;
  /** Milliseconds for which streams of the rule may be taken up. */
  readonly lifetimeMilliseconds: number;
}

/** Parameters and result of each peer method. */
export interface PeerMethods {
  readonly gossip: {
    readonly params: GossipDigest;
    readonly result: GossipDigest;
  };
  /** Requests that a third host probe `hostId`. */
  readonly probe: {
    readonly params: {readonly hostId: string};
    readonly result: {readonly answered: boolean};
  };
  readonly 'permit.ask': {
    readonly params: {readonly shardId: string; readonly ask: PermitRequest};
    readonly result: DispatchEffect;
  };
  readonly 'permit.release': {
    readonly params: {
      readonly shardId: string;
      readonly permitIds: readonly string[];
    };
    readonly result: null;
  };
  readonly 'permit.renew': {
    readonly params: {
      readonly shardId: string;
      readonly front: string;
      readonly permits: readonly HeldPermit[];
    };
    readonly result: null;
  };
  readonly 'backup.store': {
    readonly params: BackupCopy;
    readonly result: {readonly stored: boolean};
  };
  readonly 'backup.drop': {
    readonly params: {readonly requestIds: readonly string[]};
    readonly result: null;
  };
  readonly 'backup.take-over': {
    readonly params: HandedOverRequest;
    readonly result: {readonly taken: boolean};
  };
  readonly 'claim.decide': {
    readonly params: Claim;
    readonly result: ClaimVerdict;
  };
  readonly 'request.locate': {
    readonly params: {readonly requestId: string};
    readonly result: {readonly isHere: boolean};
  };
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
  /** Asks a host to connect to upstreams that the sender does not reach. */
  readonly 'reach.ask': {
    readonly params: {readonly upstreamIds: readonly string[]};
    readonly result: ReachAnswer;
  };
  /** Requests the dispatcher of a service to choose an upstream. */
  readonly 'placement.ask': {
    readonly params: PlacementRequest;
    readonly result: PlacementAnswer;
  };
  /** Reports to the dispatcher that a request began or ended. */
  readonly 'placement.note': {
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
  /** Fetches the state of another host, in place of a read from the store. */
  readonly 'beliefs.fetch': {
    readonly params: StateRequest;
    readonly result: RelayedState;
  };
  /**
   * Sends cumulative counts of begun requests to the hosts that may report them
   * to the platform.
   */
  readonly 'usage.push': {
    readonly params: {readonly counts: readonly ProcessCounts[]};
    readonly result: null;
  };
  /**
   * Requests an amount of another host's share of a workspace's quota. The host
   * deducts what it gives from its share.
   */
  readonly 'quota.ask': {
    readonly params: {readonly workspace: string; readonly amount: number};
    readonly result: {readonly given: number};
  };
  /** Takes an amount from another host's share of a workspace's quota. */
  readonly 'quota.take': {
    readonly params: {readonly workspace: string; readonly amount: number};
    readonly result: QuotaAnswer;
  };
  /**
   * Returns the amount taken from that share for a request that did not run.
   */
  readonly 'quota.return': {
    readonly params: {readonly workspace: string; readonly amount: number};
    readonly result: null;
  };
  /** Reports that content is suspected of crashing upstreams, or cleared. */
  readonly 'suspicion.tell': {
    readonly params: Suspicion;
    readonly result: null;
  };
  /** Reports prompt parts under which upstreams crashed or ran soundly. */
  readonly 'suspicion.parts': {
    readonly params: {readonly suspicions: readonly PartSuspicion[]};
    readonly result: null;
  };
  /** Gives the origins of streams to a host that keeps them. */
  readonly 'stream.began': {
    readonly params: {readonly origins: readonly StreamOrigin[]};
    readonly result: null;
  };
  /** Returns what a host knows of the origin of a stream. */
  readonly 'stream.locate': {
    readonly params: OriginQuery;
    readonly result: OriginKnowledge;
  };
  readonly 'limit.transfer': {
    readonly params: {readonly workspace: string; readonly tokens: number};
    readonly result: null;
  };
}

/** The name of a peer method. */
export type PeerMethod = keyof PeerMethods;
/** The parameters of method `M`. */
export type PeerParams<M extends PeerMethod> = PeerMethods[M]['params'];
/** The result of method `M`. */
export type PeerResult<M extends PeerMethod> = PeerMethods[M]['result'];

/** A handler for each peer method. */
export type PeerHandlers = {
  readonly [M in PeerMethod]: (
    params: PeerParams<M>,
  ) => PeerResult<M> | Promise<PeerResult<M>>;
};
