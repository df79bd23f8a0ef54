/**
 * The task that holds the duties while no other host does: reports of usage and
 * orders of engines.
 */
import {
  type DutyRecord,
  type DutyView,
  type EngineOrder,
  EngineOrderBook,
  type ListedUpstream,
  mayActOnDuties,
  mayTakeDuties,
  parseDutyRecord,
  rendezvousOrder,
  type RoutingConfiguration,
  type UsageWindows,
  wantedEngines,
  windowsToReport,
  withFixedWindows,
} from '@lacewingwinch/decisions';
import type {EventLog} from '@lacewingwinch/observability';
import {
  type DutyClient,
  type DutyFence,
  type DutyResult,
  type PlatformDuty,
  type StoreClient,
} from '@lacewingwinch/platform';

import {isAborted} from '../util/is_aborted.js';
import {messageOf} from '../util/message_of.js';
import {Signal} from '../util/signal.js';
import type {Clocks} from './clocks.js';

/**
 * Milliseconds between two rounds: a lease of 3,000 ms is renewed in time even
 * when one renewal in two is lost.
 */
const ROUND_MILLISECONDS = 900;

/** Milliseconds for an answer of the store; it takes about 5. */
const STORE_TIMEOUT_MILLISECONDS = 600;

/**
 * Milliseconds after its start for which a process gives no order: upstreams
 * list themselves every 1,200 ms, and all start at the same time.
 */
const SETTLE_MILLISECONDS = 3500;

/** Hosts that watch the holder, in rendezvous order. */
const CANDIDATES = 3;

/** Key of the record of the duties in its log. */
const DUTY_KEY = 'duties';

/** What the task needs from others. */
export interface DutyTaskContext {
  readonly hostId: string;
  /** Identity of this process, new at each start. */
  readonly processId: string;
  readonly store: StoreClient;
  readonly cloud: DutyClient;
  readonly duties: readonly PlatformDuty[];
  readonly events: EventLog;
  readonly clocks: Clocks;
  readonly leaseMilliseconds: number;
  readonly failureDomains: readonly string[];
  readonly usage: UsageWindows;
  readonly trueTime: () => number;
  readonly servingHosts: () => readonly string[];
  readonly configuration: () => RoutingConfiguration | undefined;
  readonly upstreams: () => readonly ListedUpstream[];
}

/** Holds the duties. */
export class DutyTask {
  private view: DutyView | undefined;
  /** When the renewal that made this host the holder was sent. */
  private renewalSentAt = -Infinity;
  private isHolder = false;
  private reportedTo = -1;
  private readonly orders = new EngineOrderBook();
  private readonly engineLeaves = new Signal();

  private readonly startedAt: number;

  constructor(private readonly context: DutyTaskContext) {
    this.startedAt = context.clocks.counting();
  }

  /** Whether this host holds the duties, as far as it knows. */
  get isHolding(): boolean {
    return this.isHolder;
  }

  /** Hosts that may hold the duties, the first one first. */
  candidates(): readonly string[] {
    return rendezvousOrder('duties', this.context.servingHosts(), CANDIDATES);
  }

  /** Begins the next round at once: an engine that leaves may need another. */
  noteEngineLeaves(): void {
    this.engineLeaves.notify();
  }

  /** Runs until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!isAborted(signal)) {
      try {
        await this.runRound();
      } catch (error) {
        this.context.events.write(5005, {error: messageOf(error)});
      }
      await this.engineLeaves.nextWithin(ROUND_MILLISECONDS, signal);
    }
    await this.context.cloud.close();
  }

  private async runRound(): Promise<void> {
    const rank = this.candidates().indexOf(this.context.hostId);
    if (!this.isHolder && rank < 0) {
      this.view = undefined;
      return;
    }
    if (!this.isHolder) {
      await this.readView();
    }
    if (!this.isHolder && !this.mayTake(rank)) {
      return;
    }
    if (await this.renew()) {
      await this.act();
    }
  }

  private mayTake(rank: number): boolean {
    const {clocks, leaseMilliseconds} = this.context;
    const {view} = this;
    if (view === undefined) {
      return false;
    }
    // The newest record is this process's own: nobody has held them since.
    return (
      view.record?.processId === this.context.processId ||
      mayTakeDuties(view, rank, leaseMilliseconds, clocks.counting())
    );
  }

  private async readView(): Promise<void> {
    const {store, clocks} = this.context;
    const {records, end} = await store.newest('duties', {
      timeoutMilliseconds: STORE_TIMEOUT_MILLISECONDS,
    });
    const newest = records.find(({key}) => key === DUTY_KEY);
    const isKnown =
      this.view !== undefined && this.view.offset === newest?.offset;
    this.view = {
      record: newest?.value === undefined ? undefined : parse(newest.value),
      offset: newest?.offset,
      end,
      seenAt: isKnown
        ? (this.view?.seenAt ?? clocks.counting())
        : clocks.counting(),
    };
  }

  /** Appends the next record on the condition that nobody else did. */
  private async renew(): Promise<boolean> {
    const {store, clocks, events, hostId} = this.context;
    const view = this.view;
    if (view === undefined) {
      return false;
    }
    const record = this.nextRecord(view.record);
    const sentAt = clocks.counting();
    try {
      const result = await store.appendKeyed(
        'duties',
        DUTY_KEY,
        Buffer.from(JSON.stringify(record)),
        {timeoutMilliseconds: STORE_TIMEOUT_MILLISECONDS, atEnd: view.end},
      );
      switch (result.kind) {
        case 'moved':
          this.loseHold();
          return false;
        case 'appended':
          this.view = {
            record,
            offset: result.offset,
            end: result.offset + 1,
            seenAt: sentAt,
          };
          if (!this.isHolder) {
            events.write(5001, {fencingNumber: result.offset, hostId});
          }
          this.isHolder = true;
          this.renewalSentAt = sentAt;
          return true;
      }
    } catch (error) {
      // The append may be done or come later; what stands there is read again.
      this.loseHold();
      throw error;
    }
  }

  private loseHold(): void {
    if (this.isHolder) {
      this.context.events.write(5004, {hostId: this.context.hostId});
    }
    this.isHolder = false;
    this.renewalSentAt = -Infinity;
    this.view = undefined;
  }

  private nextRecord(known: DutyRecord | undefined): DutyRecord {
    const {hostId, processId, usage, trueTime} = this.context;
    const record: DutyRecord = {
      fixedUsage: known?.fixedUsage ?? {},
      reportedTo: Math.max(known?.reportedTo ?? -1, this.reportedTo),
      mostLastingEngines: this.countLastingEngines(known),
      holder: hostId,
      processId,
    };
    const windows = usage
      .toFix(known, trueTime())
      .map(window => [window, usage.total(window)] as const);
    return withFixedWindows(record, windows);
  }

  /** The most engines of each service that were there without an order. */
  private countLastingEngines(
    known: DutyRecord | undefined,
  ): Readonly<Record<string, number>> {
    const services = this.context.configuration()?.services.values() ?? [];
    const upstreams = this.context.upstreams();
    const counts: Record<string, number> = {...known?.mostLastingEngines};
    for (const {name, scaling} of services) {
      const count = upstreams.filter(
        ({service, isReclaimable}) => service === name && !isReclaimable,
      ).length;
      if (scaling !== undefined && count > 0) {
        counts[name] = Math.max(counts[name] ?? 0, count);
      }
    }
    return counts;
  }

  private async act(): Promise<void> {
    const record = this.view?.record;
    if (record === undefined) {
      return;
    }
    const {duties, clocks} = this.context;
    const hasSettled = clocks.counting() - this.startedAt > SETTLE_MILLISECONDS;
    if (duties.includes('usage-reporting')) {
      await this.reportUsage(record);
    }
    if (duties.includes('scaling') && hasSettled) {
      await this.orderEngines(record);
    }
  }

  private async reportUsage(record: DutyRecord): Promise<void> {
    this.reportedTo = Math.max(this.reportedTo, record.reportedTo);
    for (const window of windowsToReport(record)) {
      if (window <= this.reportedTo) {
        continue;
      }
      const counts = record.fixedUsage[String(window)] ?? {};
      const result = await this.callAsHolder(fence =>
        this.context.cloud.reportUsage(window, counts, fence),
      );
      if (result?.kind !== 'accepted') {
        return;
      }
      this.reportedTo = window;
      const total = Object.values(counts).reduce((sum, one) => sum + one, 0);
      this.context.events.write(5006, {window, total});
    }
  }

  /** A refusal changes what is wanted: those orders are given in the same round. */
  private async orderEngines(record: DutyRecord): Promise<void> {
    const wasRefused = await this.giveOrders(record);
    if (wasRefused) {
      await this.giveOrders(record);
    }
  }

  /** Gives what is due; tells whether one of the orders was refused. */
  private async giveOrders(record: DutyRecord): Promise<boolean> {
    const {clocks, upstreams} = this.context;
    const listed = upstreams();
    let wasRefused = false;
    const now = clocks.counting();
    for (const order of this.orders.due(
      this.wantedOrders(record),
      listed,
      now,
    )) {
      const result = await this.callAsHolder(fence =>
        this.context.cloud.orderEngines(order, fence),
      );
      if (result === undefined) {
        return false;
      }
      wasRefused ||= result.kind === 'refused';
      this.orders.note(order, result.kind, listed, clocks.counting());
      this.noteOrder(order, result);
    }
    return wasRefused;
  }

  private noteOrder(order: EngineOrder, result: DutyResult): void {
    this.context.events.write(5007, {
      service: order.service,
      failureDomain: order.failureDomain,
      count: order.count,
      hostClass: order.isReclaimable ? 'reclaimable' : 'on-demand',
      result: result.kind,
    });
  }

  private wantedOrders(record: DutyRecord): readonly EngineOrder[] {
    const {configuration, failureDomains, upstreams, clocks} = this.context;
    const now = clocks.counting();
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
            this.orders.dryDomains(service.name, failureDomains, now),
          );
    });
  }

  /** Makes a call if this host still holds the duties at this moment. */
  private async callAsHolder(
    call: (fence: DutyFence) => Promise<DutyResult>,
  ): Promise<DutyResult | undefined> {
    const {clocks, hostId, leaseMilliseconds} = this.context;
    const offset = this.view?.offset;
    const isValid =
      this.isHolder &&
      mayActOnDuties(this.renewalSentAt, leaseMilliseconds, clocks.counting());
    if (offset === undefined || !isValid) {
      return undefined;
    }
    const result = await call({holder: hostId, fencingNumber: offset});
    if (result.kind === 'refused' && result.reason.includes('fence')) {
      this.loseHold();
      return undefined;
    }
    return result;
  }
}

function parse(value: Buffer): DutyRecord | undefined {
  try {
    return parseDutyRecord(JSON.parse(value.toString()));
  } catch {
    return undefined;
  }
}
