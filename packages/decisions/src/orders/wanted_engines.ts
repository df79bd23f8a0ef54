/**
 * The number of engines of a service that are wanted in each failure domain, by
 * kind. All reclaimable engines of a domain can be reclaimed at once while no
 * more are available. Engines are therefore spread evenly over the domains, and
 * there are enough of them for the load when some domains are empty.
 * Reclaimable engines cost a fraction of on-demand ones, so that spare
 * reclaimable engines are cheaper than on-demand engines. On-demand engines are
 * ordered as replacements while domains are reclaimed and out of capacity.
 */
import type {
  RoutedService,
  ScalingBounds,
} from '../routing/routing_configuration.js';
import type {ListedUpstream} from '../upstreams/listed_upstream.js';

/** A wanted number of engines; repeating the order has no further effect. */
export interface EngineOrder {
  readonly service: string;
  readonly failureDomain: string;
  readonly isReclaimable: boolean;
  readonly count: number;
}

/** The load on the engines of a service. */
export interface EngineDemand {
  /** Number of engines that can carry the load, over all domains. */
  readonly engines: number;
}

/**
 * Number of reclaimable engines for each engine that the load needs. If half of
 * the domains are lost, the others can carry the entire load.
 */
const SPARE_FACTOR = 2;

/**
 * Number of engines for each engine that the load needs while domains are out
 * of capacity. It exceeds 1 because another domain can be reclaimed before an
 * engine that is ordered now has started.
 */
const OUT_OF_CAPACITY_SPARE_FACTOR = 1.5;

/**
 * Returns the orders that meet `demand`, by domain and kind. The domains in
 * `domainsOutOfCapacity` have no reclaimable engines available at present;
 * on-demand engines in them replace what is missing over all domains.
 */
export function wantedEngines(
  service: RoutedService,
  scaling: ScalingBounds,
  domains: readonly string[],
  listed: readonly ListedUpstream[],
  demand: EngineDemand,
  domainsOutOfCapacity: ReadonlySet<string>,
): readonly EngineOrder[] {
  if (scaling.reclaimablePrice === undefined || domains.length === 0) {
    return [];
  }
  const neededInDomain = Math.ceil(demand.engines / domains.length);
  const reclaimableInDomain = clamp(
    Math.ceil((demand.engines * SPARE_FACTOR) / domains.length),
    scaling.minimumInDomain,
    scaling.maximumInDomain,
  );
  const available = listed.filter(
    upstream => upstream.service === service.name && !upstream.isLeaving,
  );
  const replacements = replacementsByDomain(
    scaling,
    domains,
    available,
    demand,
    domainsOutOfCapacity,
  );
  return domains.flatMap(failureDomain => {
    const availableInDomain = available.filter(
      upstream => upstream.failureDomain === failureDomain,
    );
    const reclaimable = availableInDomain.filter(
      ({isReclaimable}) => isReclaimable,
    ).length;
    const onDemand = availableInDomain.length - reclaimable;
    const wantedOnDemand =
      replacements.get(failureDomain) ??
      Math.min(onDemand, Math.max(0, neededInDomain - reclaimable));
    return [
      {
        service: service.name,
        failureDomain,
        isReclaimable: true,
        count: Math.min(
          reclaimableInDomain,
          scaling.maximumInDomain - wantedOnDemand,
        ),
      },
      {
        service: service.name,
        failureDomain,
        isReclaimable: false,
        count: wantedOnDemand,
      },
    ];
  });
}

/**
 * Returns the number of on-demand replacements in each domain that is out of
 * capacity. Together they are as many as there are reclaimable engines missing
 * over all domains, and the cheapest domains come first. Each of the domains
 * keeps room for one reclaimable engine, so that an order for it can show that
 * the domain has capacity again.
 */
function replacementsByDomain(
  scaling: ScalingBounds,
  domains: readonly string[],
  available: readonly ListedUpstream[],
  demand: EngineDemand,
  domainsOutOfCapacity: ReadonlySet<string>,
): ReadonlyMap<string, number> {
  const reclaimable = available.filter(
    ({isReclaimable}) => isReclaimable,
  ).length;
  const wanted = Math.ceil(demand.engines * OUT_OF_CAPACITY_SPARE_FACTOR);
  const priceOf = (domain: string): number =>
    scaling.domainPrices.get(domain) ?? 1;
  const domainsByPrice = domains
    .filter(domain => domainsOutOfCapacity.has(domain))
    .sort((left, right) => priceOf(left) - priceOf(right));
  const counts = new Map<string, number>();
  let missing = Math.max(0, wanted - reclaimable);
  for (const [index, domain] of domainsByPrice.entries()) {
    const share = Math.ceil(missing / (domainsByPrice.length - index));
    const count = Math.min(share, scaling.maximumInDomain - 1);
    counts.set(domain, count);
    missing -= count;
  }
  return counts;
}

/** Returns the number of listed engines that count towards `order`. */
export function countMatchingEngines(
  order: EngineOrder,
  listed: readonly ListedUpstream[],
): number {
  return listed.filter(
    upstream =>
      upstream.service === order.service &&
      upstream.failureDomain === order.failureDomain &&
      upstream.isReclaimable === order.isReclaimable &&
      !upstream.isLeaving,
  ).length;
}

function clamp(value: number, minimum: number, maximum: number): number {
  return Math.min(Math.max(value, minimum), maximum);
}
