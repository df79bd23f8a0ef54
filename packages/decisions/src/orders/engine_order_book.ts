/**
 * The engine orders that the holder of the duties has placed, and which of them
 * are due. When a failure domain is reclaimed, missing engines are ordered as
 * soon as they leave. A domain that refuses an order counts as out of capacity,
 * so that on-demand engines are ordered as replacements.
 */
import type {ListedUpstream} from '../upstreams/listed_upstream.js';
import {countMatchingEngines, type EngineOrder} from './wanted_engines.js';

/** The result of placing an order. */
export type OrderResult =
  | 'accepted'
  /** Accepted for no more engines than there are: capacity is not known. */
  | 'already-met'
  /** The failure domain has no capacity at present. */
  | 'refused'
  /** The platform did not process the call; its capacity is not known. */
  | 'unavailable';

/**
 * Time after which an unmet order is placed again. Engines take 4 s to start
 * and are listed within a further 1.2 s.
 */
const UNMET_ORDER_REPEAT_MILLISECONDS = 7000;

/** Time until an order that was refused or not processed is tried again. */
const FAILED_ORDER_RETRY_MILLISECONDS = 2000;

/**
 * Time for which a failure domain counts as out of capacity after a refusal.
 * It is longer than two retries, so that one lost call does not end it.
 */
const OUT_OF_CAPACITY_MILLISECONDS = 5000;

interface PlacedOrder {
  readonly count: number;
  /** Time at which the order is placed again if it is not met. */
  readonly nextAt: number;
  /** Highest number of matching engines seen since the order was placed. */
  readonly seen: number;
}

/** The latest orders, by service, failure domain and kind of engine. */
export class EngineOrderBook {
  private readonly placedOrders = new Map<string, PlacedOrder>();
  private readonly outOfCapacityUntil = new Map<string, number>();

  /**
   * Returns those of `orders` that must be placed at `now`. Orders that reduce
   * the number of engines come first, because the bounds of a failure domain
   * apply to both kinds together and the platform silently cuts an order that
   * exceeds them.
   */
  dueOrders(
    orders: readonly EngineOrder[],
    listed: readonly ListedUpstream[],
    now: number,
  ): readonly EngineOrder[] {
    const additionalEngines = (order: EngineOrder): number =>
      order.count - countMatchingEngines(order, listed);
    return orders
      .filter(order =>
        this.isDue(order, countMatchingEngines(order, listed), now),
      )
      .sort(
        (left, right) => additionalEngines(left) - additionalEngines(right),
      );
  }

  /** Records the result of an order that was placed at `now`. */
  recordResult(
    order: EngineOrder,
    result: OrderResult,
    listed: readonly ListedUpstream[],
    now: number,
  ): void {
    this.placedOrders.set(keyOf(order), {
      count: order.count,
      nextAt:
        now +
        (result === 'accepted' || result === 'already-met'
          ? UNMET_ORDER_REPEAT_MILLISECONDS
          : FAILED_ORDER_RETRY_MILLISECONDS),
      seen: countMatchingEngines(order, listed),
    });
    if (!order.isReclaimable) {
      return;
    }
    switch (result) {
      case 'accepted':
        this.outOfCapacityUntil.delete(domainKeyOf(order));
        return;
      case 'refused':
        this.outOfCapacityUntil.set(
          domainKeyOf(order),
          now + OUT_OF_CAPACITY_MILLISECONDS,
        );
        return;
      case 'already-met':
      case 'unavailable':
        return;
    }
  }

  /** Returns the number that was ordered last; undefined if none was. */
  orderedCount(order: Omit<EngineOrder, 'count'>): number | undefined {
    return this.placedOrders.get(keyOf(order))?.count;
  }

  /** Returns the domains that are out of reclaimable engines of `service`. */
  domainsOutOfCapacity(
    service: string,
    domains: readonly string[],
    now: number,
  ): ReadonlySet<string> {
    return new Set(
      domains.filter(
        failureDomain =>
          now <
          (this.outOfCapacityUntil.get(domainKeyOf({service, failureDomain})) ??
            -Infinity),
      ),
    );
  }

  private isDue(order: EngineOrder, listedCount: number, now: number): boolean {
    const key = keyOf(order);
    const previous = this.placedOrders.get(key);
    const isMet = listedCount === order.count;
    if (previous?.count !== order.count) {
      return previous !== undefined || !isMet;
    }
    if (isMet) {
      this.placedOrders.set(key, {...previous, seen: listedCount});
      return false;
    }
    const hasLostEngines = listedCount < Math.min(previous.seen, order.count);
    this.placedOrders.set(key, {
      ...previous,
      seen: Math.max(previous.seen, listedCount),
    });
    return hasLostEngines || now >= previous.nextAt;
  }
}

function keyOf(order: Omit<EngineOrder, 'count'>): string {
  const kind = order.isReclaimable ? 'reclaimable' : 'on-demand';
  return `${domainKeyOf(order)}/${kind}`;
}

function domainKeyOf(
  order: Pick<EngineOrder, 'service' | 'failureDomain'>,
): string {
  return `${order.service}/${order.failureDomain}`;
}
