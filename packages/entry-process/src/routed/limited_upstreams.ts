/**
 * The grants that this host gives for upstreams that name a limit.
 */
import {
  type GrantingHost,
  grantShareOf,
  LONGEST_GRANT_WAIT_MILLISECONDS,
  type PlacementGrants,
  UpstreamGrants,
  type UpstreamIncarnation,
  type UpstreamLimits,
} from '@lacewingwinch/decisions';

/** Dependencies of `LimitedUpstreams`. */
export interface LimitedUpstreamsDependencies {
  readonly upstreamLimits: UpstreamLimits;
  /** Returns suspension-aware clock readings in milliseconds. */
  readonly clock: () => number;
  /** Returns the hosts among which limits are divided. */
  readonly hostCounts: () => Pick<GrantingHost, 'knownHosts' | 'servingHosts'>;
}

/** Grants requests to upstreams that have a limit. */
export class LimitedUpstreams {
  private readonly grants = new UpstreamGrants();

  constructor(private readonly dependencies: LimitedUpstreamsDependencies) {}

  /** Returns whether an upstream has named a limit that holds. */
  isLimited(upstream: UpstreamIncarnation): boolean {
    return this.dependencies.upstreamLimits.limitOf(upstream) !== undefined;
  }

  /** Returns whether a request may be sent to an upstream soon enough. */
  hasRoom(upstream: UpstreamIncarnation): boolean {
    return this.waitOf(upstream) <= LONGEST_GRANT_WAIT_MILLISECONDS;
  }

  /** Returns the milliseconds until an upstream has a free grant. */
  waitOf(upstream: UpstreamIncarnation): number {
    return this.isLimited(upstream)
      ? this.grants.waitFor(upstream, this.dependencies.clock())
      : 0;
  }

  /**
   * Returns the grants of a host that has been the dispatcher of a shard for
   * `dispatcherFor` milliseconds, or that is not the dispatcher.
   */
  grantsOf(dispatcherFor: number | undefined): PlacementGrants {
    return {
      waitOf: upstream => this.waitOf(upstream),
      take: upstream => this.take(upstream, dispatcherFor),
    };
  }

  private take(
    upstream: UpstreamIncarnation,
    dispatcherFor: number | undefined,
  ): number | undefined {
    const {upstreamLimits, clock, hostCounts} = this.dependencies;
    const limit = upstreamLimits.limitOf(upstream);
    if (limit === undefined) {
      return undefined;
    }
    const share = grantShareOf({dispatcherFor, ...hostCounts()});
    return this.grants.take(upstream, limit * share, clock());
  }
}
