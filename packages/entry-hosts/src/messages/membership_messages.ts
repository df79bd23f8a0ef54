/**
 * Messages by which entry hosts learn of each other.
 */
import type {Member, PartSuspicion, Suspicion} from '@lacewingwinch/decisions';

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
  /**
   * Change count of the receiver up to which the sender has fetched its members;
   * the response then holds all later ones. Absent if none are to be fetched.
   */
  readonly fetchedTo?: number;
  /** The sender's change count, in response to `fetchedTo`. */
  readonly changeCount?: number;
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

/** Parameters and result of each of these methods. */
export interface MembershipMethods {
  readonly gossip: {
    readonly params: GossipDigest;
    readonly result: GossipDigest;
  };
  /** Requests that a third host probe `hostId`. */
  readonly probe: {
    readonly params: {readonly hostId: string};
    readonly result: {readonly answered: boolean};
  };
}
