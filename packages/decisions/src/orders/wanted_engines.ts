/**
 * How many engines of a service are wanted, where and of which kind. Answers
 * failure domains whose reclaimable engines are all taken away at once while
 * no more are to be had: engines are spread evenly over the domains, and there
 * are enough for the load when some domains are empty. Reclaimable engines
 * cost a fraction of the others, so that spare ones are cheaper than the
 * engines that are always there; those stand in while domain after domain is
 * reclaimed and has nothing to give.
 */
import type {
  RoutedService,
  ScalingBounds,
} from '../routing/routing_configuration.js';
import type {ListedUpstream} from '../upstreams/upstream_list.js';

/** A wanted number of engines; repeating it changes nothing more. */
export interface EngineOrder {
  readonly service: string;
  readonly failureDomain: string;
  readonly isReclaimable: boolean;
  readonly count: number;
}

/** What the engines of a service have to carry. */
export interface EngineDemand {
  /** Engines that carry the load, spread over all domains. */
  readonly engines: number;
}

/**
 * Reclaimable engines for each engine that the load needs: with half of the
 * domains gone the rest carries all of it.
 */
const SPARE_FACTOR = 2;

/**
 * Engines that there should be for each engine that the load needs while
 * domains have no reclaimable ones to give: the next domain may follow before
 * an engine ordered now has started.
 */
const DRY_SPARE_FACTOR = 1.5;

/**
 * The orders that lead to what `demand` needs, by domain and kind. A domain in
 * `dryDomains` has no reclaimable engines to give at present; engines that are
 * always there stand in for what is missing over all domains.
 */
export function wantedEngines(
  service: RoutedService,
  scaling: ScalingBounds,
  domains: readonly string[],
  listed: readonly ListedUpstream[],
  demand: EngineDemand,
  dryDomains: ReadonlySet<string>,
): readonly EngineOrder[] {
  if (scaling.reclaimablePrice === undefined || domains.length === 0) {
    return [];
  }
  const needed = Math.ceil(demand.engines / domains.length);
  const perDomain = clamp(
    Math.ceil((demand.engines * SPARE_FACTOR) / domains.length),
    scaling.minimumInDomain,
    scaling.maximumInDomain,
  );
  const staying = listed.filter(
    upstream => upstream.service === service.name && !upstream.isLeaving,
  );
  const standIns = standInsByDomain(
    scaling,
    domains,
    staying,
    demand,
    dryDomains,
  );
  return domains.flatMap(failureDomain => {
    const here = staying.filter(
      upstream => upstream.failureDomain === failureDomain,
    );
    const reclaimable = here.filter(({isReclaimable}) => isReclaimable).length;
    const lasting = here.length - reclaimable;
    const kept =
      standIns.get(failureDomain) ??
      Math.min(lasting, Math.max(0, needed - reclaimable));
    return [
      {
        service: service.name,
        failureDomain,
        isReclaimable: true,
        count: Math.min(perDomain, scaling.maximumInDomain - kept),
      },
      {service: service.name, failureDomain, isReclaimable: false, count: kept},
    ];
  });
}

/**
 * Engines that are always there, by dry domain: as many as reclaimable ones are
 * missing over all domains, the cheapest domains first. Each dry domain keeps
 * room for one reclaimable engine, so that an order can show that there are
 * some again.
 */
function standInsByDomain(
  scaling: ScalingBounds,
  domains: readonly string[],
  staying: readonly ListedUpstream[],
  demand: EngineDemand,
  dryDomains: ReadonlySet<string>,
): ReadonlyMap<string, number> {
  const reclaimable = staying.filter(({isReclaimable}) => isReclaimable).length;
  const wanted = Math.ceil(demand.engines * DRY_SPARE_FACTOR);
  const priceOf = (domain: string): number =>
    scaling.domainPrices.get(domain) ?? 1;
  const dry = domains
    .filter(domain => dryDomains.has(domain))
    .sort((one, other) => priceOf(one) - priceOf(other));
  const counts = new Map<string, number>();
  let missing = Math.max(0, wanted - reclaimable);
  for (const [index, domain] of dry.entries()) {
    const share = Math.ceil(missing / (dry.length - index));
    const count = Math.min(share, scaling.maximumInDomain - 1);
    counts.set(domain, count);
    missing -= count;
  }
  return counts;
}

/** Engines of the domain and kind of `order` that are listed and stay. */
export function countFor(
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
