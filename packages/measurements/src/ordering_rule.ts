/**
 * The rules by which the model of ordered engines orders them, with the
 * production decisions.
 */
import {
  countLastingEngines,
  countMatchingEngines,
  type EngineLoad,
  engineLoadOf,
  type EngineOrder,
  EngineOrderBook,
  engineOrdersByLoad,
  type EnginePlan,
  isDomainBeingLost,
  type NeededEngines,
  neededEngines,
  nextEnginePlan,
  type OfferedLoads,
  type RoutedService,
  wantedEngines,
} from '@lacewingwinch/decisions';

import {DOMAINS, type OrderedFleet, SCALING, SERVICE} from './ordered_fleet.js';
import {REQUEST_KINDS} from './orders_requests.js';

/** The rule by which engines are ordered. */
export type OrdersPolicy =
  | {readonly kind: 'by-load'}
  /** A number of reclaimable engines, whatever happens. */
  | {readonly kind: 'fixed'; readonly engines: number}
  /** Twice the engines of the first minute. */
  | {readonly kind: 'usual'};

/** Time from the start of an engine until callers send to it, and reports. */
const LISTING_AND_REPORT_MILLISECONDS = 2000;

const ROUTED_SERVICE: RoutedService = {
  name: SERVICE,
  connectionLimit: 780,
  engine: undefined,
  scaling: SCALING,
};

/** Orders the engines of a fleet as the holder of the duties. */
export class OrderingRule {
  /** Number of orders that were placed. */
  calls = 0;
  /** The plans that followed each other; only the newest one is in force. */
  readonly plans: EnginePlan[] = [];
  /** The load on which the newest plan rests. */
  load: EngineLoad | undefined;
  private book = new EngineOrderBook();
  private usualEngines = 0;
  private heldFrom = -Infinity;

  constructor(
    private readonly policy: OrdersPolicy,
    private readonly fleet: OrderedFleet,
    private readonly offered: OfferedLoads,
  ) {}

  /**
   * Lets another host take over at `at`. It knows the plan, which is in the
   * record, and the loads, which it received, but not the orders.
   */
  passOn(at: number): void {
    this.heldFrom = at;
    this.book = new EngineOrderBook();
  }

  /** Plans, and places the orders that are due. */
  runRound(now: number): void {
    if (now < this.heldFrom) {
      return;
    }
    const plan = this.nextPlan(now);
    this.plans.push(plan);
    if (this.placeOrders(plan, now)) {
      this.placeOrders(plan, now);
    }
  }

  private nextPlan(now: number): EnginePlan {
    const listed = this.fleet.listed();
    const before = this.plans.at(-1);
    const counts = countLastingEngines(
      {[SERVICE]: this.usualEngines},
      [ROUTED_SERVICE],
      listed,
      () => false,
    );
    this.usualEngines = counts[SERVICE] ?? 0;
    this.load = engineLoadOf(this.offered.observe(SERVICE, now), {
      objectiveMilliseconds: Math.min(
        ...REQUEST_KINDS.map(({objective}) => objective),
      ),
      slots: listed[0]?.slots ?? 1,
      leadMilliseconds:
        SCALING.bootSeconds * 1000 + LISTING_AND_REPORT_MILLISECONDS,
      presentEngines: listed.length,
      servingProcesses: 1,
      knownMillisecondsPerToken: before?.load?.millisecondsPerToken,
    });
    return nextEnginePlan(
      before,
      {
        load: this.load,
        usualEngines: this.usualEngines,
        domainCount: DOMAINS.length,
        minimumInDomain: SCALING.minimumInDomain,
        maximumInDomain: SCALING.maximumInDomain,
        isLosingDomain: isDomainBeingLost(SERVICE, listed),
      },
      now,
    );
  }

  /** Places the orders that are due; returns whether any was refused. */
  private placeOrders(plan: EnginePlan, now: number): boolean {
    const listed = this.fleet.listed();
    let wasRefused = false;
    const wanted = this.wantedOrders(plan, now);
    for (const order of this.book.dueOrders(wanted, listed, now)) {
      const result = this.fleet.place(order, now);
      this.calls += 1;
      wasRefused ||= result === 'refused';
      const isMet = order.count <= countMatchingEngines(order, listed);
      this.book.recordResult(
        order,
        result === 'accepted' && isMet && this.policy.kind !== 'usual'
          ? 'already-met'
          : result,
        listed,
        now,
      );
    }
    return wasRefused;
  }

  private wantedOrders(plan: EnginePlan, now: number): readonly EngineOrder[] {
    switch (this.policy.kind) {
      case 'usual':
        return wantedEngines(
          ROUTED_SERVICE,
          SCALING,
          DOMAINS,
          this.fleet.listed(),
          {engines: this.usualEngines},
          this.book.domainsOutOfCapacity(SERVICE, DOMAINS, now),
        );
      case 'fixed':
        return this.ordersFor(
          this.policy.engines,
          // On-demand engines stay until the reclaimable ones serve.
          {
            calm: this.policy.engines,
            shortTerm: 0,
            calmAfterLossOf: () => 0,
            shortTermAfterLossOf: () => 0,
          },
          new Set(),
        );
      case 'by-load':
        return this.ordersFor(
          plan.engines,
          neededEngines(plan, this.usualEngines),
          this.book.domainsOutOfCapacity(SERVICE, DOMAINS, now),
        );
    }
  }

  private ordersFor(
    plannedEngines: number,
    needed: NeededEngines,
    domainsOutOfCapacity: ReadonlySet<string>,
  ): readonly EngineOrder[] {
    const listed = this.fleet.listed();
    const service = SERVICE;
    return engineOrdersByLoad({
      service,
      scaling: SCALING,
      domains: DOMAINS,
      listed,
      plannedEngines,
      needed,
      domainsOutOfCapacity,
      isLosingDomain: isDomainBeingLost(SERVICE, listed),
      orderedOnDemand: failureDomain =>
        this.book.orderedCount({
          service,
          failureDomain,
          isReclaimable: false,
        }) ?? 0,
    });
  }
}
