/**
 * What a host knows of the requests at the upstreams of one service, by which it
 * chooses upstreams.
 */
import type {UsableUpstream} from '../upstreams/listed_upstream.js';
import type {EngineChoice, PlacementDemand} from './choose_engine.js';
import type {
  PlacedAttempt,
  PlacedRequest,
  PlacementGrants,
} from './placement_table.js';
import type {LoadStatement} from './stated_loads.js';
import type {WeighedEngines} from './weighed_engines.js';

/** How much of the requests of a shard a host knows. */
export interface ShardKnowledge {
  /**
   * Milliseconds for which this host has dispatched the shard; undefined if
   * another one does, so that this host knows its own requests only.
   */
  readonly dispatcherForMilliseconds: number | undefined;
}

/** A request that is to be placed. */
export interface PlacementTask {
  readonly front: string;
  readonly demand: PlacementDemand;
  readonly candidates: readonly UsableUpstream[];
  /** Failure domain of the front. */
  readonly failureDomain: string;
  readonly grants: PlacementGrants;
  readonly knowledge: ShardKnowledge;
  /** Returns whether the request is placed at the upstream that was chosen. */
  readonly isAdmitted: (choice: EngineChoice) => boolean;
}

/** The first output of a request. */
export interface FirstOutput extends PlacedAttempt {
  readonly front: string;
  /** Prompt tokens that were expected to be read before. */
  readonly tokens: number;
  /** Milliseconds from the placement to the first output. */
  readonly elapsed: number;
  /** Whether this host knows all requests at the upstream. */
  readonly isDispatchedHere: boolean;
}

/** The requests and speeds of the upstreams of one service. */
export interface ServiceTable {
  /** Chooses an upstream and counts the request there. */
  placeTask(task: PlacementTask, now: number): EngineChoice | undefined;
  /**
   * Returns the engines among which `placeTask` would choose; neither chooses nor
   * counts, and keeps nothing.
   */
  weigh(task: PlacementTask, now: number): WeighedEngines;
  /** Returns what `prefillSpeedOf` would return, and keeps nothing. */
  peekPrefillSpeedOf(upstreamId: string, now: number): number;
  /** Counts a request at an upstream that this or another host has chosen. */
  add(
    front: string,
    demand: PlacementDemand,
    choice: Pick<EngineChoice, 'cachedTokens'> & {
      readonly upstream: Pick<UsableUpstream, 'upstreamId'>;
    },
    now: number,
  ): void;
  /** Records that a request has its first output. */
  recordOutput(output: FirstOutput, now: number): void;
  /** Records that a request is no longer at its upstream. */
  recordEnd(front: string, attempt: PlacedAttempt, now: number): void;
  /** Replaces the requests known for a front by those that it reports. */
  replaceRequests(
    front: string,
    requests: readonly PlacedRequest[],
    now: number,
  ): void;
  /** Returns the requests of `front`. */
  requestsOf(front: string): readonly PlacedRequest[];
  /** Returns the number of requests in progress at an upstream. */
  runningAt(upstreamId: string, now: number): number;
  /** Returns the prompt tokens that an upstream reads per millisecond. */
  prefillSpeedOf(upstreamId: string, now: number): number;
  /**
   * Returns what `upstreams` can do together, as a number of usual upstreams of
   * the service.
   */
  capacityOf(upstreams: readonly UsableUpstream[], now: number): number;
  /** Discards the requests of silent fronts, except those of this host. */
  forgetSilentFronts(ownHostId: string, now: number): void;
  /** Discards what is known of an upstream that left or restarted. */
  forgetUpstream(upstreamId: string): void;
  /** Returns the loads of `upstreams`, for hosts that do not know them. */
  statementsOf(
    upstreams: readonly UsableUpstream[],
    now: number,
  ): readonly LoadStatement[];
  /** Records loads that the dispatcher of a shard has stated. */
  recordStatements(statements: readonly LoadStatement[], now: number): void;
}
