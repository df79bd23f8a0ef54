/**
 * The JSON-RPC methods between entry processes.
 */
import type {
  Claim,
  DispatchEffect,
  HeldPermit,
  Member,
  PermitAsk,
  PlacedRequest,
  PlacementDemand,
  PlacementEstimate,
  ProcessCounts,
  RelayedList,
  SnapshotRecord,
  Suspicion,
  UpstreamResult,
} from '@lacewingwinch/decisions';

/** What every gossip message carries. */
export interface GossipDigest {
  readonly members: readonly Member[];
  /** Offset up to which the sender has read the configuration. */
  readonly configurationReadTo: number;
  /** Upstreams that are leaving. */
  readonly leavingUpstreams: readonly string[];
  readonly suspicions: readonly Suspicion[];
  /** Load of each shard that the sender dispatches. */
  readonly loads: readonly ShardLoad[];
  /** Demand beyond the sender's own part of each limit. */
  readonly demands: readonly WorkspaceDemand[];
  /** The sender's time of day, in milliseconds since the epoch. */
  readonly timeOfDay?: number;
}

/** Load of one shard: calls in progress over places for calls. */
export interface ShardLoad {
  readonly shardId: string;
  readonly load: number;
}

/** Requests a second of a workspace that a host lacks tokens for. */
export interface WorkspaceDemand {
  readonly workspace: string;
  readonly wanted: number;
}

/** The copy of an accepted request at its backup. */
export interface BackupCopy {
  readonly requestId: string;
  readonly front: string;
  readonly workspace: string;
  readonly service: string;
  readonly callKind: 'chat-completion' | 'completion' | 'plain';
  readonly method: string;
  readonly path: string;
  readonly contentType: string;
  /** Base64. */
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

/** What the front knew of a request when it handed it over. */
export interface HandedOverRequest {
  readonly copy: BackupCopy;
  /** Hash of workspace and content; absent when only the copy was left. */
  readonly fingerprint?: string;
  /** The right to execute, destroyed at the sender; absent once consumed. */
  readonly rightId?: string;
  /** Whether any attempt wrote a byte. */
  readonly wasSent: boolean;
  readonly attempts: number;
  /** Events of the answer so far. */
  readonly events: readonly string[];
  /** The whole answer, if there is one. */
  readonly answer?: KeptAnswer;
  /** Whether the events, or the answer, are complete. */
  readonly isAnswered: boolean;
  /** The key-value cache exported for the next attempt. */
  readonly cache?: {readonly address: string; readonly handle: string};
}

/** A whole answer that is kept for fetching again. */
export interface KeptAnswer {
  readonly status: number;
  readonly contentType: string;
  /** Base64. */
  readonly body: string;
}

/** The verdict of the log on a claim. */
export type ClaimVerdict =
  {readonly kind: 'lost'; readonly winner: Claim} | {readonly kind: 'won'};

/** What a host believes and how old that is, in milliseconds. */
export interface RelayedBeliefs {
  readonly configuration?: {
    readonly version: number;
    readonly age: number;
    /** The published document in Base64; absent if its version is known. */
    readonly document?: string;
  };
  readonly upstreams?: {
    readonly age: number;
    /** Offset in the log of the store up to which the list was read. */
    readonly readTo: number;
    readonly list: RelayedList;
  };
}

/** What the host that asks for beliefs has. */
export interface BeliefsAsk {
  /** Version of its configuration; -1 if it has none. */
  readonly knownVersion: number;
  /** Whether it wants a newer document; else it reads that from the store. */
  readonly wantsDocument: boolean;
  /** Offset up to which it has read the list of upstreams. */
  readonly upstreamsReadTo?: number;
}

/** The answer of a host that may hold a part of a quota. */
export type QuotaAnswer =
  | {readonly kind: 'taken'}
  /** The part is used up; it is worth coming back after this time. */
  | {readonly kind: 'used-up'; readonly waitMilliseconds: number}
  /** The host holds no part of this quota. */
  | {readonly kind: 'not-held'};

/** A request that is to be placed. */
export interface PlacementAsk {
  readonly service: string;
  /** The shard that is asked. */
  readonly shardId: string;
  readonly front: string;
  readonly failureDomain: string;
  readonly demand: PlacementDemand;
  /** Upstreams that have been tried or that fail at the front. */
  readonly excluded: readonly string[];
}

/** Where a request is to run. */
export type PlacementAnswer =
  | {
      readonly kind: 'chosen';
      readonly upstreamId: string;
      readonly estimate: PlacementEstimate;
    }
  | {readonly kind: 'none'};

/** What became of a placed request. */
export type PlacementNote =
  | {
      readonly kind: 'began';
      readonly service: string;
      readonly front: string;
      readonly attemptId: string;
      readonly upstreamId: string;
      readonly tokens: number;
      readonly elapsed: number;
    }
  | {
      readonly kind: 'ended';
      readonly service: string;
      readonly front: string;
      readonly attemptId: string;
      readonly upstreamId: string;
      /** How it ended; absent if that says nothing about the upstream. */
      readonly result?: UpstreamResult;
    };

/** Parameters and result of each method. */
export interface PeerMethods {
  readonly gossip: {
    readonly params: GossipDigest;
    readonly result: GossipDigest;
  };
  /** Asks a third host to probe `hostId`. */
  readonly probe: {
    readonly params: {readonly hostId: string};
    readonly result: {readonly answered: boolean};
  };
  readonly 'permit.ask': {
    readonly params: {readonly shardId: string; readonly ask: PermitAsk};
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
  /** Asks the dispatcher of a service where a request is to run. */
  readonly 'placement.ask': {
    readonly params: PlacementAsk;
    readonly result: PlacementAnswer;
  };
  /** Tells the dispatcher what became of requests. */
  readonly 'placement.note': {
    readonly params: PlacementNote;
    readonly result: null;
  };
  /** Replaces what the dispatcher knows of a front's requests. */
  readonly 'placement.renew': {
    readonly params: {
      readonly service: string;
      readonly front: string;
      readonly requests: readonly PlacedRequest[];
    };
    readonly result: null;
  };
  /** Asks what another host believes, instead of the store. */
  readonly 'beliefs.fetch': {
    readonly params: BeliefsAsk;
    readonly result: RelayedBeliefs;
  };
  /** Cumulative counts of begun requests, for whoever reports them. */
  readonly 'usage.push': {
    readonly params: {readonly counts: readonly ProcessCounts[]};
    readonly result: null;
  };
  /** Asks for a part of a workspace's quota; what is given is destroyed there. */
  readonly 'quota.ask': {
    readonly params: {readonly workspace: string; readonly amount: number};
    readonly result: {readonly given: number};
  };
  /** Takes from the part of a workspace's quota that another host holds. */
  readonly 'quota.take': {
    readonly params: {readonly workspace: string; readonly amount: number};
    readonly result: QuotaAnswer;
  };
  /** Gives back what a request took there that did not run. */
  readonly 'quota.return': {
    readonly params: {readonly workspace: string; readonly amount: number};
    readonly result: null;
  };
  /** Tells of content that crashes its upstreams, or that did not. */
  readonly 'suspicion.tell': {
    readonly params: Suspicion;
    readonly result: null;
  };
  readonly 'limit.transfer': {
    readonly params: {readonly workspace: string; readonly tokens: number};
    readonly result: null;
  };
}

/** The name of a method. */
export type PeerMethod = keyof PeerMethods;
/** The parameters of method `M`. */
export type PeerParams<M extends PeerMethod> = PeerMethods[M]['params'];
/** The result of method `M`. */
export type PeerResult<M extends PeerMethod> = PeerMethods[M]['result'];

/** A handler for each method. */
export type PeerHandlers = {
  readonly [M in PeerMethod]: (
    params: PeerParams<M>,
  ) => PeerResult<M> | Promise<PeerResult<M>>;
};
