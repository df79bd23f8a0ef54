/**
 * How many engines of a service are wanted, where and of which kind. Answers
 * failure domains whose reclaimable engines are all taken away at once while
 * no more are to be had: engines are spread evenly over the domains, and there
 * are enough for the load when some domains are empty. Reclaimable engines
 * cost a fraction of the others, so that spare ones are cheaper than the
 * engines that are always there.
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

/** The orders that lead to what `demand` needs, by domain and kind. */
export function wantedEngines(
  service: RoutedService,
  scaling: ScalingBounds,
  domains: readonly string[],
  listed: readonly ListedUpstream[],
  demand: EngineDemand,
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
  return domains.flatMap(failureDomain => {
    const here = listed.filter(
      upstream =>
        upstream.service === service.name &&
        upstream.failureDomain === failureDomain &&
        !upstream.isLeaving,
    );
    const reclaimable = here.filter(({isReclaimable}) => isReclaimable).length;
    const lasting = here.length - reclaimable;
    const kept = Math.min(lasting, Math.max(0, needed - reclaimable));
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

/** Whether `order` is met by what is listed. */
export function isOrderMet(
  order: EngineOrder,
  listed: readonly ListedUpstream[],
): boolean {
  const count = listed.filter(
    upstream =>
      upstream.service === order.service &&
      upstream.failureDomain === order.failureDomain &&
      upstream.isReclaimable === order.isReclaimable &&
      !upstream.isLeaving,
  ).length;
  return count === order.count;
}

function clamp(value: number, minimum: number, maximum: number): number {
  return Math.min(Math.max(value, minimum), maximum);
}
