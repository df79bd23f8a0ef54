/**
 * The log lines and metrics of engine orders.
 */
import {
  countMatchingEngines,
  type EngineLoad,
  type EngineOrder,
  type EnginePlan,
  type ListedUpstream,
  neededEngines,
  type OrderResult,
} from '@lacewingwinch/decisions';
import type {EventLog, Metrics} from '@lacewingwinch/observability';

/** Dependencies of `EngineOrderLog`. */
export interface EngineOrderLogDependencies {
  readonly events: EventLog;
  readonly metrics: Metrics;
}

/** What a plan rests on, besides what it contains. */
export interface PlanInputs {
  /** The load reported last; undefined while it is not known. */
  readonly load: EngineLoad | undefined;
  readonly usualEngines: number;
  readonly domainsOutOfCapacity: ReadonlySet<string>;
}

/** Logged in place of a time or number that is not known. */
const UNKNOWN = -1;

/** Writes what is planned, wanted and ordered. */
export class EngineOrderLog {
  constructor(private readonly dependencies: EngineOrderLogDependencies) {}

  /** Records how many engines are wanted, and how many there are. */
  recordWanted(
    orders: readonly EngineOrder[],
    listed: readonly ListedUpstream[],
  ): void {
    const {engines} = this.dependencies.metrics;
    for (const order of orders) {
      const labels = labelsOf(order);
      engines.set({...labels, state: 'wanted'}, order.count);
      engines.set(
        {...labels, state: 'there'},
        countMatchingEngines(order, listed),
      );
    }
  }

  /** Records an order that was placed. */
  recordOrder(order: EngineOrder, result: OrderResult): void {
    const {events, metrics} = this.dependencies;
    const labels = labelsOf(order);
    if (result === 'accepted') {
      metrics.engines.set({...labels, state: 'ordered'}, order.count);
    }
    metrics.engineOrders.inc({...labels, result});
    events.write(5007, {
      service: order.service,
      failureDomain: order.failureDomain,
      count: order.count,
      hostClass: labels.host_class,
      result,
    });
  }

  /** Logs the plan that orders follow from, with its inputs and their ages. */
  recordPlan(service: string, plan: EnginePlan, inputs: PlanInputs): void {
    const {load, usualEngines, domainsOutOfCapacity} = inputs;
    const needed = neededEngines(plan, usualEngines);
    this.dependencies.events.write(5009, {
      service,
      planned: Math.ceil(plan.engines),
      calm: Math.ceil(needed.calm),
      shortTerm: Math.ceil(needed.shortTerm),
      afterLoss: Math.ceil(needed.afterLossOf(0.5)),
      usual: usualEngines,
      busy: rounded(load?.busyEngines, 1),
      expected: rounded(plan.load?.expectedEngines, 1),
      peak: rounded(plan.load?.peakEngines, 1),
      utilization: rounded(plan.load?.calmUtilization, 2),
      tokenMicroseconds: rounded(
        plan.load && plan.load.millisecondsPerToken * 1000,
        1,
      ),
      cached: rounded(plan.load?.cachedRatio, 2),
      strained: rounded(load && load.strainedShare * 100, 1),
      heard: rounded(load && load.heardShare * 100, 0),
      loadAge: rounded(load?.ageMilliseconds, 0),
      seen: rounded(load?.seenMilliseconds, 0),
      lossAge: plan.lostAt === 0 ? UNKNOWN : Math.round(plan.at - plan.lostAt),
      planAge: Math.round(plan.at - plan.since),
      outOfCapacity: [...domainsOutOfCapacity].join(' '),
    });
  }
}

function labelsOf({service, failureDomain, isReclaimable}: EngineOrder): {
  readonly service: string;
  readonly failure_domain: string;
  readonly host_class: string;
} {
  return {
    service,
    failure_domain: failureDomain,
    host_class: isReclaimable ? 'reclaimable' : 'on-demand',
  };
}

function rounded(value: number | undefined, digits: number): number {
  return value === undefined ? UNKNOWN : Number(value.toFixed(digits));
}
