/**
 * The admission of requests to the shards that this host places: those that it
 * dispatches, and those whose dispatcher does not answer.
 */
import {
  type AdmissionRefusal,
  type AdmittedChoice,
  type AdmittingShard,
  ShardAdmission,
} from '@lacewingwinch/decisions';
import type {PlacementRequest} from '@lacewingwinch/entry-hosts';

/** Dependencies of `ShardAdmissions`. */
export interface ShardAdmissionsDependencies {
  /** Returns suspension-aware clock readings in milliseconds. */
  readonly clock: () => number;
  readonly random: () => number;
  /** Returns whether this host dispatches the shard. */
  readonly isDispatcher: (shardId: string) => boolean;
  /** Returns the number of hosts that place requests without a dispatcher. */
  readonly hostCount: () => number;
}

/** The upstreams of a shard, and the choice of one of them. */
export interface PlacedShard extends Pick<AdmittingShard, 'place' | 'speedOf'> {
  readonly upstreamIds: readonly string[];
}

/** Admits requests to shards. */
export class ShardAdmissions {
  private readonly shards = new Map<string, ShardAdmission>();

  constructor(private readonly dependencies: ShardAdmissionsDependencies) {}

  /**
   * Places a request in its shard, or refuses it. A request without terms is
   * never refused.
   */
  choose(
    request: PlacementRequest,
    shard: PlacedShard,
  ): AdmissionRefusal | AdmittedChoice | undefined {
    const {clock, random} = this.dependencies;
    const {shardId, demand, terms} = request;
    return terms === undefined
      ? chooseWithoutTerms(request, shard)
      : this.createdAdmissionOf(shardId).place(
          {demand, terms},
          this.admittingShard(shardId, shard),
          random(),
          clock(),
        );
  }

  /**
   * Returns what `choose` would return, and records nothing; `shard` must not
   * count the request either.
   */
  explain(
    request: PlacementRequest,
    shard: PlacedShard,
    jitter: number,
  ): AdmissionRefusal | AdmittedChoice | undefined {
    const {shardId, demand, terms} = request;
    return terms === undefined
      ? chooseWithoutTerms(request, shard)
      : this.admissionOf(shardId).explain(
          {demand, terms},
          this.admittingShard(shardId, shard),
          jitter,
          this.dependencies.clock(),
        );
  }

  private admittingShard(
    shardId: string,
    {upstreamIds, ...shard}: PlacedShard,
  ): AdmittingShard {
    const {isDispatcher, hostCount} = this.dependencies;
    // A client returns to any host; only the dispatcher sees requests of all.
    const keepsPlaces = isDispatcher(shardId);
    const sharers = keepsPlaces ? 1 : Math.max(1, hostCount());
    const tokensPerMillisecond =
      upstreamIds.reduce((sum, id) => sum + shard.speedOf(id), 0) / sharers;
    return {...shard, tokensPerMillisecond, keepsPlaces};
  }

  /** Discards what is known of shards that are not in `shardIds`. */
  keepOnly(shardIds: ReadonlySet<string>): void {
    for (const shardId of this.shards.keys()) {
      if (!shardIds.has(shardId)) {
        this.shards.delete(shardId);
      }
    }
  }

  private admissionOf(shardId: string): ShardAdmission {
    return this.shards.get(shardId) ?? new ShardAdmission();
  }

  private createdAdmissionOf(shardId: string): ShardAdmission {
    const admission = this.admissionOf(shardId);
    this.shards.set(shardId, admission);
    return admission;
  }
}

/** Places a request that is not refused however long it waits. */
function chooseWithoutTerms(
  {demand}: PlacementRequest,
  {place}: PlacedShard,
): AdmittedChoice | undefined {
  const choice = place(demand, () => true);
  return choice === undefined ? undefined : {kind: 'chosen', choice};
}
