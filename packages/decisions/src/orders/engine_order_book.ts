/**
 * The orders of engines that one holder of the duties has given, and which are
 * due. Answers failure domains that are reclaimed: what is missing is ordered
 * the moment it leaves, and a domain that refuses is known to have nothing to
 * give, so that others can stand in.
 */
import type {ListedUpstream} from '../upstreams/upstream_list.js';
import {countFor, type EngineOrder} from './wanted_engines.js';

/** What became of an order. */
export type OrderResult =
  | 'accepted'
  /** There is nothing to be had there at present. */
  | 'refused'
  /** The platform did not take the call; it says nothing about engines. */
  | 'unavailable';

/**
 * Milliseconds after which an order that is not met is given again: engines
 * take 4 s to start and list themselves within 1.2 s.
 */
const REPEAT_MILLISECONDS = 7000;

/** Milliseconds after a refusal until an order is tried again. */
const RETRY_MILLISECONDS = 2000;

/**
 * Milliseconds for which a refused domain counts as having nothing to give. It
 * outlasts two retries, so that one lost call does not end it.
 */
const DRY_MILLISECONDS = 5000;

interface GivenOrder {
  readonly count: number;
  readonly nextAt: number;
  /** Most engines seen since it was given. */
  readonly seen: number;
}

/** Orders by domain and kind. */
export class EngineOrderBook {
  private readonly given = new Map<string, GivenOrder>();
  private readonly dryUntil = new Map<string, number>();

  /**
   * Those of `orders` that have to be given at `now`, those for fewer engines
   * first: the bounds of a domain hold for both kinds together, and an order
   * beyond them is cut without a word.
   */
  due(
    orders: readonly EngineOrder[],
    listed: readonly ListedUpstream[],
    now: number,
  ): readonly EngineOrder[] {
    const growthOf = (order: EngineOrder): number =>
      order.count - countFor(order, listed);
    return orders
      .filter(order => this.isDue(order, countFor(order, listed), now))
      .sort((one, other) => growthOf(one) - growthOf(other));
  }

  /** Notes what became of an order that was given at `now`. */
  note(
    order: EngineOrder,
    result: OrderResult,
    listed: readonly ListedUpstream[],
    now: number,
  ): void {
    this.given.set(keyOf(order), {
      count: order.count,
      nextAt:
        now +
        (result === 'accepted' ? REPEAT_MILLISECONDS : RETRY_MILLISECONDS),
      seen: countFor(order, listed),
    });
    if (!order.isReclaimable) {
      return;
    }
    switch (result) {
      case 'accepted':
        this.dryUntil.delete(domainKeyOf(order));
        return;
      case 'refused':
        this.dryUntil.set(domainKeyOf(order), now + DRY_MILLISECONDS);
        return;
      case 'unavailable':
        return;
    }
  }

  /** Domains that refused reclaimable engines of `service` a moment ago. */
  dryDomains(
    service: string,
    domains: readonly string[],
    now: number,
  ): ReadonlySet<string> {
    return new Set(
      domains.filter(
        failureDomain =>
          now <
          (this.dryUntil.get(domainKeyOf({service, failureDomain})) ??
            -Infinity),
      ),
    );
  }

  private isDue(order: EngineOrder, count: number, now: number): boolean {
    const key = keyOf(order);
    const given = this.given.get(key);
    const isMet = count === order.count;
    if (given?.count !== order.count) {
      return given !== undefined || !isMet;
    }
    if (isMet) {
      this.given.set(key, {...given, seen: count});
      return false;
    }
    const hasLost = count < Math.min(given.seen, order.count);
    this.given.set(key, {...given, seen: Math.max(given.seen, count)});
    return hasLost || now >= given.nextAt;
  }
}

function keyOf(order: EngineOrder): string {
  const kind = order.isReclaimable ? 'reclaimable' : 'on-demand';
  return `${domainKeyOf(order)}/${kind}`;
}

function domainKeyOf(
  order: Pick<EngineOrder, 'service' | 'failureDomain'>,
): string {
  return `${order.service}/${order.failureDomain}`;
}
