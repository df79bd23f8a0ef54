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
    {shardId, demand, terms}: PlacementRequest,
    {upstreamIds, ...shard}: PlacedShard,
  ): AdmissionRefusal | AdmittedChoice | undefined {
    const {clock, random, isDispatcher, hostCount} = this.dependencies;
    if (terms === undefined) {
      const choice = shard.place(demand, () => true);
      return choice === undefined ? undefined : {kind: 'chosen', choice};
    }
    // A client returns to any host; only the dispatcher is asked by all of them.
    const keepsPlaces = isDispatcher(shardId);
    const sharers = keepsPlaces ? 1 : Math.max(1, hostCount());
    const tokensPerMillisecond =
      upstreamIds.reduce((sum, id) => sum + shard.speedOf(id), 0) / sharers;
    return this.shardOf(shardId).place(
      {demand, terms},
      {...shard, tokensPerMillisecond, keepsPlaces},
      random(),
      clock(),
    );
  }

  /** Discards what is known of shards that are not in `shardIds`. */
  keepOnly(shardIds: ReadonlySet<string>): void {
    for (const shardId of this.shards.keys()) {
      if (!shardIds.has(shardId)) {
        this.shards.delete(shardId);
      }
    }
  }

  private shardOf(shardId: string): ShardAdmission {
    const existing = this.shards.get(shardId);
    if (existing !== undefined) {
      return existing;
    }
    const created = new ShardAdmission();
    this.shards.set(shardId, created);
    return created;
  }
}
