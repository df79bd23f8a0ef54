/**
 * The explainer of requests for operators, who call it as other hosts do.
 */
import type {FrontDependencies} from '../requests/front_dependencies.js';
import {RequestExplainer} from '../requests/request_explainer.js';
import type {FleetView} from '../state/fleet_view.js';
import type {RoutedRollouts} from './routed_rollouts.js';

/** Creates the explainer of a host. */
export function createRequestExplainer(
  front: FrontDependencies,
  rollouts: RoutedRollouts,
  fleet: FleetView,
): RequestExplainer {
  return new RequestExplainer({
    ...front,
    peekVersionContext: service => rollouts.peekVersionContext(service),
    otherHosts: () =>
      fleet.otherServingHosts().map(({hostId, addresses}) => {
        return {hostId, address: addresses.peers};
      }),
  });
}
