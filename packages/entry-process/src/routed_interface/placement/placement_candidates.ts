/**
 * The upstreams at which a request may be placed: those that are listed, accept
 * requests of this host and, if possible, have not failed lately.
 */
import {
  type FleetHealth,
  type PlacementDemand,
  type RoutedShard,
  routedShards,
  satisfiesVersion,
  shardsInOrder,
  type UpstreamAnnouncements,
  type UpstreamHealth,
  type UpstreamList,
  type UsableUpstream,
} from '@lacewingwinch/decisions';

/** Dependencies of `PlacementCandidates`. */
export interface PlacementCandidatesDependencies {
  readonly upstreams: Pick<UpstreamList, 'peekUsable' | 'usable'>;
  /** Health by the results of this host. */
  readonly health: UpstreamHealth;
  /** Health by the results of all hosts that this one knows. */
  readonly fleetHealth: FleetHealth;
  readonly announcements: UpstreamAnnouncements;
  /** Returns suspension-aware clock readings in milliseconds. */
  readonly clock: () => number;
  /** Returns the versions of a service that a roll-out tries. */
  readonly trialVersions: (service: string) => readonly string[];
}

/** Which upstreams are excluded from a choice. */
export interface CandidateFilter {
  readonly service: string;
  /** Shard from which the candidates are taken if possible. */
  readonly shardId: string;
  /** Upstreams that are used only if there is no other. */
  readonly excluded: readonly string[];
  /** Upstreams that are not used. */
  readonly tried: ReadonlySet<string>;
  readonly demand: PlacementDemand;
}

/** Selects the upstreams at which a request may be placed. */
export class PlacementCandidates {
  constructor(
    private readonly dependencies: PlacementCandidatesDependencies,
    /** Shards, by the list of upstreams that they partition. */
    private readonly shards = new WeakMap<
      readonly UsableUpstream[],
      {readonly key: string; readonly shards: readonly RoutedShard[]}
    >(),
  ) {}

  /** Returns the same candidates without a change of the list by their use. */
  reading(): PlacementCandidates {
    const {upstreams} = this.dependencies;
    return new PlacementCandidates(
      {
        ...this.dependencies,
        upstreams: {
          usable: (service, now) => upstreams.peekUsable(service, now),
          peekUsable: (service, now) => upstreams.peekUsable(service, now),
        },
      },
      this.shards,
    );
  }

  /** Returns the upstreams of `service` that are listed and not leaving. */
  usableOf(service: string): readonly UsableUpstream[] {
    return this.usable(service);
  }

  /** Returns the shards of `service`. */
  shardsOf(service: string): readonly RoutedShard[] {
    const usable = this.usable(service);
    const trialVersions = this.dependencies.trialVersions(service);
    const key = trialVersions.join('/');
    const cached = this.shards.get(usable);
    if (cached?.key === key) {
      return cached.shards;
    }
    const shards = routedShards(service, usable, trialVersions);
    this.shards.set(usable, {key, shards});
    return shards;
  }

  /** Returns the shards of `service` in the order in which to try them. */
  shardsFor(
    service: string,
    demand: PlacementDemand,
    weightOf: (shard: RoutedShard) => number,
  ): readonly RoutedShard[] {
    const shards = this.shardsOf(service);
    const {versions} = demand;
    const hasTrial = this.dependencies.trialVersions(service).length > 0;
    return shardsInOrder(
      demand,
      versions === undefined || !hasTrial
        ? shards
        : shards.filter(({upstreams}) =>
            upstreams.some(upstream => satisfiesVersion(upstream, versions)),
          ),
      weightOf,
    );
  }

  /**
   * Returns the upstreams of `service` that accept requests of this host and may
   * run the request of `demand`.
   */
  accepting(
    service: string,
    demand: PlacementDemand,
  ): readonly UsableUpstream[] {
    const {announcements, clock} = this.dependencies;
    return suitable(
      announcements.accepting(this.usable(service), clock()),
      demand,
    );
  }

  /** Returns whether an upstream that is not in `tried` may run the request. */
  hasUntried(
    service: string,
    demand: PlacementDemand,
    tried: ReadonlySet<string>,
  ): boolean {
    return this.accepting(service, demand).some(
      ({upstreamId}) => !tried.has(upstreamId),
    );
  }

  /**
   * Returns the upstreams that failed at this host or at all hosts, and those that
   * do not accept its requests.
   */
  locallyExcludedIds(service: string): readonly string[] {
    const {health, clock} = this.dependencies;
    const now = clock();
    return this.usable(service)
      .filter(
        upstream =>
          health.isEjected(upstream.upstreamId, now) ||
          this.isExcludedForAll(upstream, now),
      )
      .map(({upstreamId}) => upstreamId);
  }

  /**
   * Returns the upstreams that a dispatcher excludes for the requests of all hosts.
   * What fails at the dispatcher alone may work for others.
   */
  excludedIdsForAll(service: string): readonly string[] {
    const now = this.dependencies.clock();
    return this.usable(service)
      .filter(upstream => this.isExcludedForAll(upstream, now))
      .map(({upstreamId}) => upstreamId);
  }

  private isExcludedForAll(upstream: UsableUpstream, now: number): boolean {
    const {fleetHealth, announcements} = this.dependencies;
    return (
      fleetHealth.isEjected(upstream.upstreamId, now) ||
      !announcements.accepts(upstream, now)
    );
  }

  /**
   * Returns the candidates from which the upstream of a request is selected;
   * `isAllowed` says which of them may be used at all.
   */
  select(
    filter: CandidateFilter,
    isAllowed: (upstream: UsableUpstream) => boolean = () => true,
  ): readonly UsableUpstream[] {
    const accepting = this.accepting(filter.service, filter.demand).filter(
      isAllowed,
    );
    const shard = this.shardsOf(filter.service).find(
      ({id}) => id === filter.shardId,
    );
    const members = new Set(
      shard?.upstreams.map(({upstreamId}) => upstreamId) ?? [],
    );
    const excluded = new Set(filter.excluded);
    const notExcluded = accepting.filter(
      ({upstreamId}) => !excluded.has(upstreamId),
    );
    return firstNotEmpty([
      notExcluded.filter(({upstreamId}) => members.has(upstreamId)),
      notExcluded,
      accepting.filter(({upstreamId}) => !filter.tried.has(upstreamId)),
    ]);
  }

  /**
   * Returns the milliseconds until the first upstream of `service` that may run
   * the request of `demand` and is not in `tried` accepts requests of this host;
   * undefined if there is none.
   */
  pauseMillisecondsLeft(
    service: string,
    demand: PlacementDemand,
    tried: ReadonlySet<string>,
  ): number | undefined {
    const {announcements, clock} = this.dependencies;
    const acceptsFrom = Math.min(
      ...suitable(this.usable(service), demand)
        .filter(({upstreamId}) => !tried.has(upstreamId))
        .map(upstream => announcements.acceptsFrom(upstream)),
    );
    return acceptsFrom === Infinity
      ? undefined
      : Math.max(0, acceptsFrom - clock());
  }

  private usable(service: string): readonly UsableUpstream[] {
    const {upstreams, clock} = this.dependencies;
    return upstreams.usable(service, clock());
  }
}

/** Returns the upstreams at whose software version a request may run. */
function suitable(
  upstreams: readonly UsableUpstream[],
  {versions}: PlacementDemand,
): readonly UsableUpstream[] {
  return versions === undefined
    ? upstreams
    : upstreams.filter(upstream => satisfiesVersion(upstream, versions));
}

function firstNotEmpty(
  lists: readonly (readonly UsableUpstream[])[],
): readonly UsableUpstream[] {
  return lists.find(list => list.length > 0) ?? [];
}
