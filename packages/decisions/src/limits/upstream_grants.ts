/**
 * The grants by which one host spaces the requests that upstreams with a limit get
 * from all entry hosts.
 *
 * Load pattern: an upstream in need takes a few requests a second, and seven or
 * two hundred hosts have requests for it. A fixed share of the limit for each host
 * would be one request in minutes; a sum that is kept at one place is exact.
 */
import type {UpstreamIncarnation} from '../upstreams/upstream_announcements.js';

/**
 * Time whose worth of requests may come at once, besides the spaced ones; it
 * keeps four seconds within a bound of 1.5 times the limit.
 */
const BURST_MILLISECONDS = 250;

/** Longest time for which a grant is reserved ahead. */
export const LONGEST_GRANT_WAIT_MILLISECONDS = 500;

/** Time from its beginning within which a grant has to be used. */
export const GRANT_LIFETIME_MILLISECONDS = 500;

/** Share of a limit that a host grants that may not be the only one to do so. */
const STAND_IN_SHARE = 0.4;

/**
 * Time for which a new dispatcher grants less, because the one before may have
 * granted the whole limit.
 */
const SUCCESSION_MILLISECONDS = 4000;

/** Largest number of upstreams whose grants are remembered. */
const MAXIMUM_REMEMBERED_UPSTREAMS = 4096;

/** A host that grants, and what it knows of the other ones. */
export interface GrantingHost {
  /**
   * Time for which this host has been the dispatcher; undefined if it is not.
   */
  readonly dispatcherFor: number | undefined;
  readonly servingHosts: number;
  /** Serving hosts and those that were lost a short time ago. */
  readonly knownHosts: number;
}

/**
 * Returns the share of a limit that a host may grant. Hosts that were lost may be
 * cut off together and grant their share.
 */
export function grantShareOf({
  dispatcherFor,
  servingHosts,
  knownHosts,
}: GrantingHost): number {
  const isOnlyGranter =
    dispatcherFor !== undefined && dispatcherFor >= SUCCESSION_MILLISECONDS;
  const reachableShare = Math.min(1, servingHosts / Math.max(1, knownHosts));
  return reachableShare * (isOnlyGranter ? 1 : STAND_IN_SHARE);
}

interface GrantState {
  readonly bornAt: number;
  /** Requests granted beyond what the limit has allowed since. */
  readonly excess: number;
  /** Time at which `excess` was right. */
  readonly at: number;
}

/**
 * The grants of one host. The rate may change from call to call; what was granted
 * at another rate is worked off at the new one.
 */
export class UpstreamGrants {
  /** By upstream, the longest unused one first. */
  private readonly states = new Map<string, GrantState>();

  /**
   * Returns the milliseconds until an upstream that gets `requestsPerSecond` from
   * this host has a free grant.
   */
  waitFor(
    upstream: UpstreamIncarnation,
    requestsPerSecond: number,
    now: number,
  ): number {
    const burst = burstOf(requestsPerSecond);
    const excess = this.excessOf(upstream, requestsPerSecond, now);
    return (Math.max(0, excess - burst) * 1000) / requestsPerSecond;
  }

  /** Takes the next grant; returns the milliseconds until it may be used. */
  take(
    upstream: UpstreamIncarnation,
    requestsPerSecond: number,
    now: number,
  ): number {
    const wait = this.waitFor(upstream, requestsPerSecond, now);
    const excess = this.excessOf(upstream, requestsPerSecond, now);
    this.remember(upstream.upstreamId, {
      bornAt: upstream.bornAt,
      excess: excess + 1,
      at: now,
    });
    return wait;
  }

  /** A host that has granted nothing yet has no burst to give. */
  private excessOf(
    upstream: UpstreamIncarnation,
    requestsPerSecond: number,
    now: number,
  ): number {
    const state = this.find(upstream);
    return state === undefined
      ? burstOf(requestsPerSecond)
      : Math.max(
          0,
          state.excess - ((now - state.at) * requestsPerSecond) / 1000,
        );
  }

  private find({
    upstreamId,
    bornAt,
  }: UpstreamIncarnation): GrantState | undefined {
    const state = this.states.get(upstreamId);
    return state?.bornAt === bornAt ? state : undefined;
  }

  private remember(upstreamId: string, state: GrantState): void {
    this.states.delete(upstreamId);
    this.states.set(upstreamId, state);
    const [oldest] = this.states.keys();
    if (
      this.states.size > MAXIMUM_REMEMBERED_UPSTREAMS &&
      oldest !== undefined
    ) {
      this.states.delete(oldest);
    }
  }
}

/** Returns the requests that may come at once besides the spaced ones. */
function burstOf(requestsPerSecond: number): number {
  return (requestsPerSecond * BURST_MILLISECONDS) / 1000;
}
