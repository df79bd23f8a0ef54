/**
 * Orders engines for the services of the configuration, as the holder of the
 * duties.
 */
import {
  countMatchingEngines,
  type DutyRecord,
  type EngineOrder,
  EngineOrderBook,
  engineOrdersByLoad,
  type EnginePlan,
  featuresOf,
  isDomainBeingLost,
  type ListedUpstream,
  neededEngines,
  orderBesideRollout,
  type RolloutEngines,
  type RoutedService,
  type RoutingConfiguration,
  type ScalingBounds,
  wantedEngines,
} from '@lacewingwinch/decisions';
import type {EventLog, Metrics} from '@lacewingwinch/observability';
import type {DutyResult} from '@lacewingwinch/platform';

import {EngineOrderLog} from './engine_order_log.js';
import type {EnginePlanner} from './engine_planner.js';

/** Dependencies of `EngineOrders`. */
export interface EngineOrdersDependencies {
  readonly events: EventLog;
  readonly metrics: Metrics;
  /** Returns suspension-aware clock readings in milliseconds. */
  readonly clock: () => number;
  readonly failureDomains: readonly string[];
  readonly configuration: () => RoutingConfiguration | undefined;
  readonly upstreams: () => readonly ListedUpstream[];
  /**
   * Returns the engines that the platform runs for a roll-out of a service;
   * undefined if there are none.
   */
  readonly rolloutEngines: (service: string) => RolloutEngines | undefined;
  readonly planner: EnginePlanner;
  /** Places an order; returns undefined if this host may not act any more. */
  readonly place: (order: EngineOrder) => Promise<DutyResult | undefined>;
}

/** Places the orders that are due. */
export class EngineOrders {
  private readonly book = new EngineOrderBook();
  private readonly log: EngineOrderLog;

  constructor(private readonly dependencies: EngineOrdersDependencies) {
    this.log = new EngineOrderLog(dependencies);
  }

  /**
   * Places the orders that are due. A refusal changes which engines are wanted,
   * so the orders that follow from it are placed in the same round. Before this
   * host has settled, upstreams may not be listed yet: nothing is ordered but
   * more engines of the services that are planned by load.
   */
  async placeDueOrders(record: DutyRecord, hasSettled: boolean): Promise<void> {
    const wasRefused = await this.placeOnce(record, hasSettled);
    if (wasRefused) {
      await this.placeOnce(record, hasSettled);
    }
  }

  /**
   * Places the orders that are due; returns whether any of them was refused.
   */
  private async placeOnce(
    record: DutyRecord,
    hasSettled: boolean,
  ): Promise<boolean> {
    const {clock, upstreams, place} = this.dependencies;
    const listed = upstreams();
    let wasRefused = false;
    const wanted = this.wantedOrders(record).filter(
      order =>
        hasSettled ||
        (record.enginePlans?.[order.service] !== undefined &&
          order.count > countMatchingEngines(order, listed)),
    );
    this.log.recordWanted(wanted, listed);
    const orders = this.book.dueOrders(
      wanted.filter(order => this.placedAs(order, listed) !== undefined),
      listed,
      clock(),
    );
    this.logPlans(record, orders);
    for (const order of orders) {
      const placed = this.placedAs(order, listed);
      if (placed === undefined) {
        continue;
      }
      const result = await place(placed);
      if (result === undefined) {
        return false;
      }
      wasRefused ||= result.kind === 'refused';
      const isPlanned = record.enginePlans?.[order.service] !== undefined;
      const isMet = order.count <= countMatchingEngines(order, listed);
      this.book.recordResult(
        order,
        result.kind === 'accepted' && isPlanned && isMet
          ? 'already-met'
          : result.kind,
        listed,
        clock(),
      );
      this.log.recordOrder(order, result.kind);
    }
    return wasRefused;
  }

  /**
   * Returns the order to send to the platform for `order`; undefined if a
   * roll-out leaves none.
   */
  private placedAs(
    order: EngineOrder,
    listed: readonly ListedUpstream[],
  ): EngineOrder | undefined {
    const {configuration, rolloutEngines} = this.dependencies;
    const rollout = rolloutEngines(order.service);
    const scaling = configuration()?.services.get(order.service)?.scaling;
    return rollout === undefined || scaling === undefined
      ? order
      : orderBesideRollout(order, scaling, listed, rollout);
  }

  /** Logs what the plans behind `orders` rest on. */
  private logPlans(record: DutyRecord, orders: readonly EngineOrder[]): void {
    for (const service of new Set(orders.map(order => order.service))) {
      const plan = record.enginePlans?.[service];
      if (plan !== undefined) {
        this.log.recordPlan(service, plan, {
          load: this.dependencies.planner.loadOf(service),
          usualEngines: record.mostLastingEngines[service] ?? 0,
          domainsOutOfCapacity: this.domainsOutOfCapacity(service),
        });
      }
    }
  }

  private domainsOutOfCapacity(service: string): ReadonlySet<string> {
    const {failureDomains, clock} = this.dependencies;
    return this.book.domainsOutOfCapacity(service, failureDomains, clock());
  }

  private wantedOrders(record: DutyRecord): readonly EngineOrder[] {
    const {configuration, failureDomains, upstreams} = this.dependencies;
    const services = [...(configuration()?.services.values() ?? [])];
    return services.flatMap(service => {
      const {name, scaling} = service;
      const engines = record.mostLastingEngines[name];
      if (scaling === undefined || engines === undefined) {
        return [];
      }
      const plan = record.enginePlans?.[name];
      return plan !== undefined &&
        featuresOf(service, failureDomains.length).hasLoadDrivenOrders
        ? this.ordersByLoad(service, scaling, plan, engines)
        : wantedEngines(
            service,
            scaling,
            failureDomains,
            upstreams(),
            {engines},
            this.domainsOutOfCapacity(name),
          );
    });
  }

  private ordersByLoad(
    {name: service}: RoutedService,
    scaling: ScalingBounds,
    plan: EnginePlan,
    usualEngines: number,
  ): readonly EngineOrder[] {
    const {failureDomains, upstreams} = this.dependencies;
    const listed = upstreams();
    return engineOrdersByLoad({
      service,
      scaling,
      domains: failureDomains,
      listed,
      plannedEngines: plan.engines,
      needed: neededEngines(plan, usualEngines),
      domainsOutOfCapacity: this.domainsOutOfCapacity(service),
      isLosingDomain: isDomainBeingLost(service, listed),
      orderedOnDemand: failureDomain =>
        this.book.orderedCount({
          service,
          failureDomain,
          isReclaimable: false,
        }) ?? 0,
    });
  }
}
