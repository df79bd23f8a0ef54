/**
 * Orders engines for the services of the configuration, as the holder of the
 * duties.
 */
import {
  type DutyRecord,
  type EngineOrder,
  EngineOrderBook,
  type ListedUpstream,
  type RoutingConfiguration,
  wantedEngines,
} from '@lacewingwinch/decisions';
import type {EventLog} from '@lacewingwinch/observability';
import type {DutyResult} from '@lacewingwinch/platform';

/** Dependencies of `EngineOrders`. */
export interface EngineOrdersDependencies {
  readonly events: EventLog;
  /** Returns suspension-aware clock readings in milliseconds. */
  readonly clock: () => number;
  readonly failureDomains: readonly string[];
  readonly configuration: () => RoutingConfiguration | undefined;
  readonly upstreams: () => readonly ListedUpstream[];
  /** Places an order; returns undefined if this host may not act any more. */
  readonly place: (order: EngineOrder) => Promise<DutyResult | undefined>;
}

/** Places the orders that are due. */
export class EngineOrders {
  private readonly book = new EngineOrderBook();

  constructor(private readonly dependencies: EngineOrdersDependencies) {}

  /**
   * Places the orders that are due. A refusal changes which engines are wanted,
   * so the orders that follow from it are placed in the same round.
   */
  async placeDueOrders(record: DutyRecord): Promise<void> {
    const wasRefused = await this.placeOnce(record);
    if (wasRefused) {
      await this.placeOnce(record);
    }
  }

  /**
   * Places the orders that are due; returns whether any of them was refused.
   */
  private async placeOnce(record: DutyRecord): Promise<boolean> {
    const {clock, upstreams, place} = this.dependencies;
    const listed = upstreams();
    let wasRefused = false;
    const orders = this.book.dueOrders(
      this.wantedOrders(record),
      listed,
      clock(),
    );
    for (const order of orders) {
      const result = await place(order);
      if (result === undefined) {
        return false;
      }
      wasRefused ||= result.kind === 'refused';
      this.book.recordResult(order, result.kind, listed, clock());
      this.logOrder(order, result);
    }
    return wasRefused;
  }

  private logOrder(order: EngineOrder, result: DutyResult): void {
    this.dependencies.events.write(5007, {
      service: order.service,
      failureDomain: order.failureDomain,
      count: order.count,
      hostClass: order.isReclaimable ? 'reclaimable' : 'on-demand',
      result: result.kind,
    });
  }

  private wantedOrders(record: DutyRecord): readonly EngineOrder[] {
    const {configuration, failureDomains, upstreams, clock} = this.dependencies;
    const now = clock();
    const services = [...(configuration()?.services.values() ?? [])];
    return services.flatMap(service => {
      const engines = record.mostLastingEngines[service.name];
      return service.scaling === undefined || engines === undefined
        ? []
        : wantedEngines(
            service,
            service.scaling,
            failureDomains,
            upstreams(),
            {engines},
            this.book.domainsOutOfCapacity(service.name, failureDomains, now),
          );
    });
  }
}
