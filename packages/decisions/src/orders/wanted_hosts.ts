/**
 * How many upstream hosts of each class and failure domain are wanted, and the
 * orders that lead there.
 */
import type {HostClass} from '../configuration/configuration_objects.js';

/** An offer of the cloud: a class of host in a failure domain. */
export interface HostOffer {
  readonly hostClass: HostClass;
  readonly failureDomain: string;
  readonly pricePerHour: number;
  /** Until when starts are not tried again, after a refusal. */
  readonly refusedUntil: number;
}

/** What the orders for one service must reach. */
export interface CapacityGoal {
  readonly service: string;
  /** Upstream hosts wanted in all. */
  readonly hosts: number;
  /** On-demand hosts wanted at least. */
  readonly minimumOnDemand: number;
  /** Share of the hosts that one failure domain may hold, 0 to 1. */
  readonly maximumDomainShare: number;
}

/** A wanted state; repeating it changes nothing more. */
export interface WantedHosts {
  readonly service: string;
  readonly hostClass: HostClass;
  readonly failureDomain: string;
  readonly count: number;
}

/** Milliseconds of the first wait after a refused start. */
const FIRST_BACKOFF_MILLISECONDS = 5000;

/** Milliseconds of the longest wait after refused starts. */
const MAXIMUM_BACKOFF_MILLISECONDS = 300_000;

/** How long to wait after `refusals` refused starts in a row. */
export function startBackoff(refusals: number): number {
  const doubled = FIRST_BACKOFF_MILLISECONDS * 2 ** Math.max(0, refusals - 1);
  return Math.min(doubled, MAXIMUM_BACKOFF_MILLISECONDS);
}

/**
 * The cheapest hosts that meet the goal: on-demand hosts first for the part
 * that must be safe, then whatever is cheapest, with no failure domain above
 * its share. Offers that were refused lately are left out.
 */
export function wantedHosts(
  goal: CapacityGoal,
  offers: readonly HostOffer[],
  now: number,
): readonly WantedHosts[] {
  const open = offers
    .filter(offer => now >= offer.refusedUntil)
    .sort((left, right) => left.pricePerHour - right.pricePerHour);
  const safe = open.filter(({hostClass}) => hostClass === 'on-demand');
  const domainLimit = Math.max(
    1,
    Math.ceil(goal.hosts * goal.maximumDomainShare),
  );
  const counts = new Map<HostOffer, number>();
  fill(counts, safe, goal.minimumOnDemand, domainLimit);
  fill(counts, open, goal.hosts, domainLimit);
  return [...counts].map(([offer, count]) => ({
    service: goal.service,
    hostClass: offer.hostClass,
    failureDomain: offer.failureDomain,
    count,
  }));
}

function fill(
  counts: Map<HostOffer, number>,
  offers: readonly HostOffer[],
  target: number,
  domainLimit: number,
): void {
  for (const offer of offers) {
    while (
      totalOf(counts) < target &&
      domainTotal(counts, offer.failureDomain) < domainLimit
    ) {
      counts.set(offer, (counts.get(offer) ?? 0) + 1);
    }
  }
}

function totalOf(counts: ReadonlyMap<HostOffer, number>): number {
  return [...counts.values()].reduce((sum, count) => sum + count, 0);
}

function domainTotal(
  counts: ReadonlyMap<HostOffer, number>,
  failureDomain: string,
): number {
  return [...counts]
    .filter(([offer]) => offer.failureDomain === failureDomain)
    .reduce((sum, [, count]) => sum + count, 0);
}
