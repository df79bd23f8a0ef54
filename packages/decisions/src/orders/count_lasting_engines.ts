/**
 * The on-demand engines that exist without an order, which are the measure of
 * what a service needs. Crashes and withdrawals make fewer of them visible, so
 * the highest number seen counts. A roll-out starts on-demand engines for all that
 * serve, whatever their kind.
 */
import type {RoutedService} from '../routing/routing_configuration.js';
import type {ListedUpstream} from '../upstreams/listed_upstream.js';

/** Number of engines by service. */
export type EngineCounts = Readonly<Record<string, number>>;

/**
 * Returns, for each scaled service, the highest number of on-demand engines
 * seen so far, up to its first roll-out.
 */
export function countLastingEngines(
  previous: EngineCounts,
  services: Iterable<RoutedService>,
  upstreams: readonly ListedUpstream[],
  hasRollout: (service: string) => boolean,
): EngineCounts {
  const counts: Record<string, number> = {...previous};
  for (const {name, scaling} of services) {
    const count = upstreams.filter(
      ({service, isReclaimable}) => service === name && !isReclaimable,
    ).length;
    const known = counts[name];
    const isMeasure = known === undefined || !hasRollout(name);
    if (scaling !== undefined && count > 0 && isMeasure) {
      counts[name] = Math.max(known ?? 0, count);
    }
  }
  return counts;
}
