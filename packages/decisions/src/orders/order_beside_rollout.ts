/**
 * Orders of engines while the platform runs the engines of a roll-out beside the
 * ordered ones. It counts both towards an order and chooses the engines that
 * leave, so an order for fewer than there are, or for more than a failure domain
 * may have, takes away engines that serve.
 */
import type {ScalingBounds} from '../routing/routing_configuration.js';
import type {ListedUpstream} from '../upstreams/listed_upstream.js';
import {countMatchingEngines, type EngineOrder} from './wanted_engines.js';

/** Milliseconds within which an engine that has started is listed. */
const LISTING_MILLISECONDS = 1200;

/** The engines of a service that the platform runs for a roll-out. */
export interface RolloutEngines {
  readonly listed: readonly ListedUpstream[];
  /** Milliseconds for which the roll-out has been known. */
  readonly age: number;
}

/**
 * Returns the order that has the effect of `order` on the engines `ordered`;
 * undefined if there is none at present.
 */
export function orderBesideRollout(
  order: EngineOrder,
  {maximumInDomain, bootSeconds}: ScalingBounds,
  ordered: readonly ListedUpstream[],
  rollout: RolloutEngines,
): EngineOrder | undefined {
  const isComplete = rollout.age >= bootSeconds * 1000 + LISTING_MILLISECONDS;
  if (!isComplete) {
    return undefined;
  }
  const all = [...ordered, ...rollout.listed];
  const ofOtherKind = {...order, isReclaimable: !order.isReclaimable};
  const room = maximumInDomain - countMatchingEngines(ofOtherKind, all);
  const beside = countMatchingEngines(order, rollout.listed);
  const count = Math.min(order.count + beside, room);
  return count > countMatchingEngines(order, all)
    ? {...order, count}
    : undefined;
}
