/**
 * The grants that this host gives for upstreams that name a limit.
 */
import {
  type GrantingHost,
  grantShareOf,
  LONGEST_GRANT_WAIT_MILLISECONDS,
  type NamedRates,
  type PlacementGrants,
  UpstreamGrants,
  type UpstreamIncarnation,
} from '@lacewingwinch/decisions';

/** Dependencies of `LimitedUpstreams`. */
export interface LimitedUpstreamsDependencies {
  readonly namedRates: NamedRates;
  /** Returns suspension-aware clock readings in milliseconds. */
  readonly clock: () => number;
  /** Returns the hosts among which limits are divided. */
  readonly hostCounts: () => Pick<GrantingHost, 'knownHosts' | 'servingHosts'>;
}

/** The grants of one host in one shard. */
export interface LimitedGrants extends PlacementGrants {
  /** Returns whether a request may be sent to an upstream soon enough. */
  hasRoom(upstream: UpstreamIncarnation): boolean;
}

/** Grants requests to upstreams that have a limit. */
export class LimitedUpstreams {
  private readonly grants = new UpstreamGrants();

  constructor(private readonly dependencies: LimitedUpstreamsDependencies) {}

  /** Returns whether an upstream has named a limit that holds. */
  isLimited(upstream: UpstreamIncarnation): boolean {
    return (
      this.dependencies.namedRates.rateOf('requests', upstream) !== undefined
    );
  }

  /**
   * Returns the grants of a host that has been the dispatcher of a shard for
   * `dispatcherFor` milliseconds, or that is not the dispatcher.
   */
  grantsOf(dispatcherFor: number | undefined): LimitedGrants {
    const {clock, hostCounts} = this.dependencies;
    const share = grantShareOf({dispatcherFor, ...hostCounts()});
    const rateOf = (upstream: UpstreamIncarnation): number | undefined => {
      const limit = this.dependencies.namedRates.rateOf('requests', upstream);
      return limit === undefined ? undefined : limit * share;
    };
    const waitOf = (upstream: UpstreamIncarnation): number => {
      const rate = rateOf(upstream);
      return rate === undefined
        ? 0
        : this.grants.waitFor(upstream, rate, clock());
    };
    return {
      waitOf,
      hasRoom: upstream => waitOf(upstream) <= LONGEST_GRANT_WAIT_MILLISECONDS,
      take: upstream => {
        const rate = rateOf(upstream);
        return rate === undefined
          ? undefined
          : this.grants.take(upstream, rate, clock());
      },
    };
  }
}
