/**
 * The number of upstream hosts that are wanted of each class in each failure
 * domain.
 */
import type {HostClass} from '../configuration/configuration_objects.js';

/** An offer of the cloud: a class of hosts in a failure domain. */
export interface HostOffer {
  readonly hostClass: HostClass;
  readonly failureDomain: string;
  readonly pricePerHour: number;
  /** Time until which no host is started here because a start was refused. */
  readonly refusedUntil: number;
}

/** The goal that the orders for one service must meet. */
export interface CapacityGoal {
  readonly service: string;
  /** Total number of wanted upstream hosts. */
  readonly hosts: number;
  /** Minimum number of on-demand hosts. */
  readonly minimumOnDemand: number;
  /** Maximum share of the hosts in one failure domain, from 0 to 1. */
  readonly maximumDomainShare: number;
}

/** A wanted number of hosts; repeating the order has no further effect. */
export interface WantedHosts {
  readonly service: string;
  readonly hostClass: HostClass;
  readonly failureDomain: string;
  readonly count: number;
}

/** Waiting time after the first refused start. */
const FIRST_BACKOFF_MILLISECONDS = 5000;

/** Maximum waiting time after refused starts. */
const MAXIMUM_BACKOFF_MILLISECONDS = 300_000;

/** Returns the milliseconds to wait after `refusals` consecutive refusals. */
export function startBackoff(refusals: number): number {
  const backoff = FIRST_BACKOFF_MILLISECONDS * 2 ** Math.max(0, refusals - 1);
  return Math.min(backoff, MAXIMUM_BACKOFF_MILLISECONDS);
}

/**
 * Returns the cheapest hosts that meet the goal: first the minimum of on-demand
 * hosts, which cannot be reclaimed, then the cheapest of all, without exceeding
 * the share of any failure domain. Offers that were refused recently are
 * skipped.
 */
export function wantedHosts(
  goal: CapacityGoal,
  offers: readonly HostOffer[],
  now: number,
): readonly WantedHosts[] {
  const availableOffers = offers
    .filter(offer => now >= offer.refusedUntil)
    .sort((left, right) => left.pricePerHour - right.pricePerHour);
  const onDemandOffers = availableOffers.filter(
    ({hostClass}) => hostClass === 'on-demand',
  );
  const domainLimit = Math.max(
    1,
    Math.ceil(goal.hosts * goal.maximumDomainShare),
  );
  const counts = new Map<HostOffer, number>();
  addHosts(counts, onDemandOffers, goal.minimumOnDemand, domainLimit);
  addHosts(counts, availableOffers, goal.hosts, domainLimit);
  return [...counts].map(([offer, count]) => ({
    service: goal.service,
    hostClass: offer.hostClass,
    failureDomain: offer.failureDomain,
    count,
  }));
}

function addHosts(
  counts: Map<HostOffer, number>,
  offers: readonly HostOffer[],
  target: number,
  domainLimit: number,
): void {
  for (const offer of offers) {
    while (
      totalHosts(counts) < target &&
      hostsInDomain(counts, offer.failureDomain) < domainLimit
    ) {
      counts.set(offer, (counts.get(offer) ?? 0) + 1);
    }
  }
}

function totalHosts(counts: ReadonlyMap<HostOffer, number>): number {
  return [...counts.values()].reduce((sum, count) => sum + count, 0);
}

function hostsInDomain(
  counts: ReadonlyMap<HostOffer, number>,
  failureDomain: string,
): number {
  return [...counts]
    .filter(([offer]) => offer.failureDomain === failureDomain)
    .reduce((sum, [, count]) => sum + count, 0);
}
