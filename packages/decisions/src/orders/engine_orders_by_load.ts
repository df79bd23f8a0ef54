/**
 * The engines that are ordered in each failure domain, by kind, to carry out a
 * plan. The planned reclaimable engines are spread evenly, because an even
 * spread needs the fewest engines to leave the same rest when a domain is lost.
 * While domains are out of capacity, what the load needs now, and would need
 * after another loss, is replaced: by reclaimable engines where they are
 * available, and by on-demand ones where they are not.
 */
import type {ScalingBounds} from '../routing/routing_configuration.js';
import type {ListedUpstream} from '../upstreams/listed_upstream.js';
import type {NeededEngines} from './engine_plan.js';
import type {EngineOrder} from './wanted_engines.js';

/** What the orders for a service follow from. */
export interface OrderSituation {
  readonly service: string;
  readonly scaling: ScalingBounds;
  readonly domains: readonly string[];
  /** The engines that count: none whose software version is rolled out. */
  readonly listed: readonly ListedUpstream[];
  /** Planned reclaimable engines over all domains. */
  readonly plannedEngines: number;
  readonly needed: NeededEngines;
  /** Domains without reclaimable engines to order. */
  readonly domainsOutOfCapacity: ReadonlySet<string>;
  /** Whether reclaimable engines of a domain are leaving together. */
  readonly isLosingDomain: boolean;
  /** Returns the on-demand engines that were ordered last in a domain. */
  readonly orderedOnDemand: (failureDomain: string) => number;
}

/** Share of its engines from which on a domain counts as filled again. */
const FILLED_SHARE = 0.75;

/**
 * Share of the missing reclaimable engines of a domain for which on-demand ones
 * make room at a time, if both do not fit.
 */
const REPLACED_SHARE = 0.25;

interface DomainCounts {
  readonly failureDomain: string;
  readonly price: number;
  readonly isOutOfCapacity: boolean;
  readonly listedReclaimable: number;
  /** On-demand engines that are listed or have been ordered. */
  readonly presentOnDemand: number;
  reclaimable: number;
  onDemand: number;
}

/** Returns the orders that carry out a plan, by domain and kind. */
export function engineOrdersByLoad(
  situation: OrderSituation,
): readonly EngineOrder[] {
  const {service, scaling} = situation;
  const domains = countDomains(situation);
  if (domains.length === 0) {
    return [];
  }
  spreadPlan(domains, situation);
  const missing = replaceInOpenDomains(domains, situation);
  setOnDemand(domains, missing, situation);
  return domains.flatMap(
    ({failureDomain, reclaimable, onDemand}): readonly EngineOrder[] => [
      {
        service,
        failureDomain,
        isReclaimable: true,
        count: Math.max(
          0,
          Math.min(reclaimable, scaling.maximumInDomain - onDemand),
        ),
      },
      {service, failureDomain, isReclaimable: false, count: onDemand},
    ],
  );
}

/** Returns the domains, the cheapest first. */
function countDomains({
  service,
  scaling,
  domains,
  listed,
  domainsOutOfCapacity,
  orderedOnDemand,
}: OrderSituation): readonly DomainCounts[] {
  return domains
    .map(failureDomain => {
      const present = listed.filter(
        upstream =>
          upstream.service === service &&
          upstream.failureDomain === failureDomain &&
          !upstream.isLeaving,
      );
      const listedReclaimable = present.filter(
        ({isReclaimable}) => isReclaimable,
      ).length;
      return {
        failureDomain,
        price: scaling.domainPrices.get(failureDomain) ?? 1,
        isOutOfCapacity: domainsOutOfCapacity.has(failureDomain),
        listedReclaimable,
        presentOnDemand: Math.max(
          present.length - listedReclaimable,
          orderedOnDemand(failureDomain),
        ),
        reclaimable: 0,
        onDemand: 0,
      };
    })
    .sort((left, right) => left.price - right.price);
}

/**
 * Spreads the planned engines. A domain is given one engine less than it has at
 * most, until it is seen to have that many, because caches go with engines. While
 * a domain is lost or fills again, no other one is given fewer than it has.
 */
function spreadPlan(
  domains: readonly DomainCounts[],
  situation: OrderSituation,
): void {
  const {plannedEngines, scaling, domainsOutOfCapacity, isLosingDomain} =
    situation;
  let left = Math.ceil(plannedEngines);
  for (const [index, domain] of domains.entries()) {
    const share = Math.ceil(left / (domains.length - index));
    left -= share;
    domain.reclaimable = Math.max(share, scaling.minimumInDomain);
  }
  const keepsAll =
    isLosingDomain ||
    domainsOutOfCapacity.size > 0 ||
    domains.some(
      ({listedReclaimable, reclaimable}) =>
        listedReclaimable < reclaimable * FILLED_SHARE,
    );
  for (const domain of domains) {
    const least = domain.listedReclaimable - (keepsAll ? 0 : 1);
    domain.reclaimable = Math.min(
      Math.max(domain.reclaimable, least),
      scaling.maximumInDomain,
    );
  }
}

/** Engines that a domain has, or will have once its order is carried out. */
function standingIn(domain: DomainCounts): number {
  return domain.isOutOfCapacity
    ? Math.min(domain.reclaimable, domain.listedReclaimable)
    : domain.reclaimable;
}

/**
 * Orders what is missing in the domains that are not out of capacity. Returns
 * the engines that are missing even so.
 */
function replaceInOpenDomains(
  domains: readonly DomainCounts[],
  {needed, scaling}: OrderSituation,
): number {
  if (!domains.some(({isOutOfCapacity}) => isOutOfCapacity)) {
    return 0;
  }
  const standing = domains.map(standingIn);
  const total = standing.reduce((sum, count) => sum + count, 0);
  // On-demand engines are dear, so that less is kept for another loss than the
  // plan keeps.
  const wanted = Math.max(
    needed.shortTerm,
    needed.least + Math.max(...standing),
  );
  let missing = Math.max(0, Math.ceil(wanted - total));
  const open = domains.filter(({isOutOfCapacity}) => !isOutOfCapacity);
  for (const [index, domain] of open.entries()) {
    const share = Math.ceil(missing / (open.length - index));
    const count = Math.min(share, scaling.maximumInDomain - domain.reclaimable);
    domain.reclaimable += count;
    missing -= count;
  }
  return missing;
}

/**
 * Sets the on-demand engines: those that are missing, and those that are there
 * until reclaimable ones serve in their place. Those in dear domains leave
 * first.
 */
function setOnDemand(
  domains: readonly DomainCounts[],
  missing: number,
  {plannedEngines, needed, scaling}: OrderSituation,
): void {
  const sumOf = (count: (domain: DomainCounts) => number): number =>
    domains.reduce((sum, domain) => sum + count(domain), 0);
  const reclaimable = sumOf(({listedReclaimable}) => listedReclaimable);
  const kept = Math.min(
    sumOf(({presentOnDemand}) => presentOnDemand),
    Math.max(0, Math.ceil(Math.min(plannedEngines, needed.calm)) - reclaimable),
  );
  let left = Math.max(kept, missing);
  const isReplacing = domains.some(({isOutOfCapacity}) => isOutOfCapacity);
  for (const domain of domains) {
    const room = isReplacing
      ? scaling.maximumInDomain - Math.max(1, domain.listedReclaimable)
      : roomIn(domain, scaling);
    const count = Math.min(domain.presentOnDemand, left, room);
    domain.onDemand = Math.max(0, count);
    left -= domain.onDemand;
  }
  const dry = domains.filter(({isOutOfCapacity}) => isOutOfCapacity);
  for (const [index, domain] of dry.entries()) {
    const share = Math.ceil(left / (dry.length - index));
    const room = roomIn(domain, scaling) - domain.onDemand;
    const count = Math.max(0, Math.min(share, room));
    domain.onDemand += count;
    left -= count;
  }
}

/**
 * Returns the on-demand engines that fit into a domain beside the reclaimable
 * ones that it has. It keeps room for some of those that are missing or, while
 * it has no capacity, for one: an order for it shows when it has some again.
 */
function roomIn(
  {isOutOfCapacity, listedReclaimable, reclaimable}: DomainCounts,
  {maximumInDomain}: ScalingBounds,
): number {
  const missing = Math.max(0, reclaimable - listedReclaimable);
  const kept =
    listedReclaimable +
    (isOutOfCapacity ? 1 : Math.ceil(missing * REPLACED_SHARE));
  return Math.max(0, maximumInDomain - kept);
}
