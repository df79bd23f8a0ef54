/**
 * The grants that this host gives for upstreams that name a limit or are brittle.
 */
import {
  BrittleRooms,
  type BrittleUpstream,
  type GrantingHost,
  grantShareOf,
  type ListedUpstream,
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

/** The requests in progress that this host knows. */
export interface KnownLoad {
  /** Returns the requests in progress at an upstream, from all hosts. */
  readonly runningAt: (upstream: GrantedUpstream) => number;
}

/** An upstream for which grants are given. */
export type GrantedUpstream = UpstreamIncarnation &
  Pick<ListedUpstream, 'service' | 'slots'>;

/** The grants of one host in one shard. */
export interface LimitedGrants extends PlacementGrants {
  /** Returns whether a request may be sent to an upstream soon enough. */
  hasRoom(upstream: GrantedUpstream): boolean;
}

/** Grants requests to upstreams that have a limit or are brittle. */
export class LimitedUpstreams {
  private readonly grants = new UpstreamGrants();
  private readonly rooms = new BrittleRooms();

  constructor(
    private readonly dependencies: LimitedUpstreamsDependencies & KnownLoad,
  ) {}

  /** Returns whether requests to an upstream need a grant. */
  isLimited(upstream: UpstreamIncarnation): boolean {
    const {namedRates} = this.dependencies;
    return (
      namedRates.rateOf('requests', upstream) !== undefined ||
      this.isBrittle(upstream)
    );
  }

  /** Returns whether an upstream tolerates few refusals. */
  isBrittle(upstream: UpstreamIncarnation): boolean {
    const {namedRates} = this.dependencies;
    return namedRates.rateOf('refusals', upstream) !== undefined;
  }

  /** Records that an upstream turned a request away. */
  recordRefusal(upstream: GrantedUpstream): void {
    const brittle = this.brittle(upstream, 1);
    if (brittle !== undefined) {
      this.rooms.recordRefusal(brittle, this.dependencies.clock());
    }
  }

  /**
   * Returns the grants of a host that has been the dispatcher of a shard for
   * `dispatcherFor` milliseconds, or that is not the dispatcher.
   */
  grantsOf(dispatcherFor: number | undefined): LimitedGrants {
    const {namedRates, clock, hostCounts} = this.dependencies;
    const share = grantShareOf({dispatcherFor, ...hostCounts()});
    const rateOf = (upstream: UpstreamIncarnation): number | undefined => {
      const limit = namedRates.rateOf('requests', upstream);
      return limit === undefined ? undefined : limit * share;
    };
    const waitOf = (upstream: GrantedUpstream): number => {
      const rate = rateOf(upstream);
      const brittle = this.brittle(upstream, share);
      const now = clock();
      return Math.max(
        rate === undefined ? 0 : this.grants.waitFor(upstream, rate, now),
        brittle === undefined ? 0 : this.rooms.waitFor(brittle, now),
      );
    };
    return {
      waitOf,
      hasRoom: upstream => waitOf(upstream) <= LONGEST_GRANT_WAIT_MILLISECONDS,
      take: upstream => {
        const rate = rateOf(upstream);
        const brittle = this.brittle(upstream, share);
        const now = clock();
        const waits = [
          ...(rate === undefined
            ? []
            : [this.grants.take(upstream, rate, now)]),
          ...(brittle === undefined ? [] : [this.rooms.take(brittle, now)]),
        ];
        return waits.length === 0 ? undefined : Math.max(...waits);
      },
    };
  }

  private brittle(
    upstream: GrantedUpstream,
    share: number,
  ): BrittleUpstream | undefined {
    const {namedRates, runningAt} = this.dependencies;
    const refusalsPerSecond = namedRates.rateOf('refusals', upstream);
    return refusalsPerSecond === undefined
      ? undefined
      : {
          upstreamId: upstream.upstreamId,
          bornAt: upstream.bornAt,
          slots: upstream.slots,
          refusalsPerSecond,
          running: runningAt(upstream),
          share,
        };
  }
}
