/**
 * Which decisions under load apply to a service, by what its configuration
 * states. A service that one dispatcher places, and whose requests have one
 * rank, needs none of them.
 */
import {MAXIMUM_SHARD_SIZE} from '../dispatch/shards.js';
import type {RoutedService} from '../routing/routing_configuration.js';

/** The decisions that apply to a service. */
export interface ServiceFeatures {
  /**
   * Requests wait in the order of their ranks, and are refused in the opposite
   * order.
   */
  readonly hasRankedAdmission: boolean;
  /**
   * Several dispatchers place requests on knowledge that is old, so that load is
   * spread by its expected value.
   */
  readonly hasSpreadPlacement: boolean;
  /** The number of ordered engines follows the load. */
  readonly hasLoadDrivenOrders: boolean;
}

/**
 * Largest size of a service, in shards, up to which its usual load is placed by
 * one dispatcher. A service grows to twice its usual size when failure domains
 * may be lost.
 */
const SHARDS_OF_ONE_DISPATCHER = 2;

/** Returns the decisions that apply to `service` in `domainCount` domains. */
export function featuresOf(
  service: RoutedService,
  domainCount: number,
): ServiceFeatures {
  const {engine, scaling} = service;
  const largestSize =
    scaling === undefined ? 0 : scaling.maximumInDomain * domainCount;
  const hasSeveralDispatchers =
    engine !== undefined &&
    largestSize > MAXIMUM_SHARD_SIZE * SHARDS_OF_ONE_DISPATCHER;
  return {
    hasRankedAdmission: hasSeveralDispatchers,
    hasSpreadPlacement: hasSeveralDispatchers,
    hasLoadDrivenOrders:
      hasSeveralDispatchers && scaling?.reclaimablePrice !== undefined,
  };
}
