/**
 * The task that performs the duties (reporting usage and ordering engines)
 * while this host holds their lease.
 */
import {
  canActOnDuties,
  canKeepDuties,
  canTakeOverDuties,
  type ContinuedRecord,
  countLastingEngines,
  decodeDutyRecord,
  type DutyRecord,
  type DutyView,
  eraOf,
  isOwnNewestRecord,
  KnownUsage,
  type ListedUpstream,
  type OfferedLoads,
  reconcileDutyRecord,
  rendezvousOrder,
  type RolloutEngines,
  type RoutingConfiguration,
  type UsageWindows,
  windowsToReport,
  withFixedWindows,
} from '@lacewingwinch/decisions';
import type {EventLog, Metrics} from '@lacewingwinch/observability';
import {
  type DutyClient,
  type DutyFence,
  type DutyResult,
  type PlatformDuty,
  type StoreClient,
} from '@lacewingwinch/platform';

import {ChangeNotifier} from '../../util/change_notifier.js';
import type {Clocks} from '../../util/clocks.js';
import {isAborted} from '../../util/is_aborted.js';
import {messageOf} from '../../util/message_of.js';
import {EngineOrders} from './engine_orders.js';
import {EnginePlanner} from './engine_planner.js';

/**
 * Milliseconds between two rounds: a lease of 3,000 ms is renewed in time even
 * if every second renewal is lost.
 */
const ROUND_PERIOD_MILLISECONDS = 900;

/** Milliseconds to wait for the store's response, which takes about 5 ms. */
const STORE_TIMEOUT_MILLISECONDS = 600;

/**
 * Milliseconds after its start during which a process orders no fewer engines:
 * upstreams list themselves every 1,200 ms, and all of them start at the same
 * time.
 */
const ORDER_DELAY_AFTER_START_MILLISECONDS = 3500;

/**
 * Number of hosts, in rendezvous order, that watch the lease holder and may
 * take over from it.
 */
const CANDIDATE_COUNT = 3;

/** Key of the duty record in the log `duties`. */
const DUTY_KEY = 'duties';

/** Dependencies of `DutyTask`. */
export interface DutyTaskDependencies {
  readonly hostId: string;
  /** Identity of this process, new at each start. */
  readonly processId: string;
  readonly store: StoreClient;
  readonly cloud: DutyClient;
  readonly duties: readonly PlatformDuty[];
  readonly events: EventLog;
  readonly metrics: Metrics;
  readonly clocks: Clocks;
  /** Whether this process started with the whole system for the first time. */
  readonly isFirstStart: boolean;
  readonly leaseMilliseconds: number;
  readonly failureDomains: readonly string[];
  readonly usage: UsageWindows;
  readonly trueTime: () => number;
  readonly servingHosts: () => readonly string[];
  readonly configuration: () => RoutingConfiguration | undefined;
  readonly upstreams: () => readonly ListedUpstream[];
  readonly offeredLoads: OfferedLoads;
  /** Returns whether a roll-out of a service has been ordered. */
  readonly hasRollout: (service: string) => boolean;
  /**
   * Returns the software versions of a service whose upstreams run for a roll-out,
   * beside the ordered ones.
   */
  readonly versionsBesideOrders: (service: string) => readonly string[];
  /** Returns those upstreams of a service; undefined if there are none. */
  readonly rolloutEngines: (service: string) => RolloutEngines | undefined;
}

/** Performs the duties while this host holds their lease. */
export class DutyTask {
  private view: DutyView | undefined;
  /**
   * Time at which the last successful renewal was sent; -Infinity while this
   * host does not hold the lease.
   */
  private renewalSentAt = -Infinity;
  private isHolder = false;
  private reportedTo = -1;
  private readonly planner: EnginePlanner;
  private readonly orders: EngineOrders;
  private readonly knownUsage = new KnownUsage();
  /** The record that this host wrote last. */
  private ownRecord: DutyRecord | undefined;
  private readonly engineLeavingNotifier = new ChangeNotifier();

  private readonly startedAt: number;

  constructor(private readonly dependencies: DutyTaskDependencies) {
    this.startedAt = dependencies.clocks.suspensionAware();
    const clock = dependencies.clocks.suspensionAware;
    const upstreams = (): readonly ListedUpstream[] => this.orderedUpstreams();
    this.planner = new EnginePlanner({...dependencies, upstreams, clock});
    this.orders = new EngineOrders({
      ...dependencies,
      upstreams,
      clock,
      planner: this.planner,
      place: order =>
        this.callAsHolder(fence =>
          dependencies.cloud.orderEngines(order, fence),
        ),
    });
  }

  /** Returns the upstreams that exist by order, or did so at first. */
  private orderedUpstreams(): readonly ListedUpstream[] {
    const {upstreams, versionsBesideOrders} = this.dependencies;
    const versions = new Map<string, readonly string[]>();
    return upstreams().filter(({service, softwareVersion}) => {
      const known = versions.get(service) ?? versionsBesideOrders(service);
      versions.set(service, known);
      return !known.includes(softwareVersion);
    });
  }

  /** Whether this host is the lease holder, as far as it knows. */
  get isHolding(): boolean {
    return this.isHolder;
  }

  /** Whether this host may act as the holder of the duties at this moment. */
  get mayAct(): boolean {
    const {clocks, leaseMilliseconds} = this.dependencies;
    return (
      this.isHolder &&
      canActOnDuties(
        this.renewalSentAt,
        leaseMilliseconds,
        clocks.suspensionAware(),
      )
    );
  }

  /** Returns the hosts that may hold the duties, in order of preference. */
  candidates(): readonly string[] {
    return rendezvousOrder(
      'duties',
      this.dependencies.servingHosts(),
      CANDIDATE_COUNT,
    );
  }

  /**
   * Starts the next round at once, because a leaving engine may need a
   * replacement.
   */
  onEngineLeaving(): void {
    this.engineLeavingNotifier.notify();
  }

  /** Runs a round periodically until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!isAborted(signal)) {
      try {
        await this.runRound();
      } catch (error) {
        this.dependencies.events.write(5005, {error: messageOf(error)});
      }
      await this.engineLeavingNotifier.nextWithin(
        ROUND_PERIOD_MILLISECONDS,
        signal,
      );
    }
    await this.dependencies.cloud.close();
  }

  private async runRound(): Promise<void> {
    const rank = this.candidates().indexOf(this.dependencies.hostId);
    if (!this.isHolder && rank < 0) {
      this.view = undefined;
      return;
    }
    if (!this.isHolder || this.view === undefined) {
      await this.readView();
    }
    if (this.isHolder && !this.canKeepDuties()) {
      this.loseDuties();
      return;
    }
    if (!this.isHolder && !this.canTakeDuties(rank)) {
      return;
    }
    if (await this.renew()) {
      await this.performDuties();
    }
  }

  private canKeepDuties(): boolean {
    const {processId, leaseMilliseconds, clocks} = this.dependencies;
    const holder = {processId, renewalSentAt: this.renewalSentAt};
    return (
      this.view !== undefined &&
      canKeepDuties(
        this.view,
        holder,
        leaseMilliseconds,
        clocks.suspensionAware(),
      )
    );
  }

  private canTakeDuties(rank: number): boolean {
    const {clocks, leaseMilliseconds} = this.dependencies;
    const {view} = this;
    if (view === undefined) {
      return false;
    }
    return (
      isOwnNewestRecord(view, this.dependencies.processId) ||
      canTakeOverDuties(view, rank, leaseMilliseconds, clocks.suspensionAware())
    );
  }

  private async readView(): Promise<void> {
    const {store, clocks, isFirstStart} = this.dependencies;
    const {records, end} = await store.newest('duties', {
      timeoutMilliseconds: STORE_TIMEOUT_MILLISECONDS,
    });
    const newest = records.find(({key}) => key === DUTY_KEY);
    const isUnchanged =
      this.view !== undefined &&
      this.view.position === newest?.position &&
      eraOf(this.view.end) === eraOf(end);
    const record =
      newest?.value === undefined ? undefined : decodeDutyRecord(newest.value);
    if (record !== undefined) {
      this.knownUsage.remember(record, eraOf(end));
    }
    this.view = {
      record,
      position: newest?.position,
      end,
      seenAt: isUnchanged
        ? (this.view?.seenAt ?? clocks.suspensionAware())
        : clocks.suspensionAware(),
      isFirstEra:
        !store.canHaveComeBack || (isFirstStart && !store.hasComeBack),
    };
  }

  /**
   * Appends the next record on the condition that no other host has appended
   * one.
   */
  private async renew(): Promise<boolean> {
    const {store, clocks, events, hostId} = this.dependencies;
    const view = this.view;
    if (view === undefined) {
      return false;
    }
    const era = eraOf(view.end);
    const record = this.nextRecord(this.previousRecord(view), era);
    const sentAt = clocks.suspensionAware();
    try {
      const result = await store.appendKeyed(
        'duties',
        DUTY_KEY,
        Buffer.from(JSON.stringify(record)),
        {timeoutMilliseconds: STORE_TIMEOUT_MILLISECONDS, atEnd: view.end},
      );
      switch (result.kind) {
        case 'moved':
          this.loseDuties();
          return false;
        case 'era-changed':
          events.write(5008, {hostId});
          this.view = undefined;
          return false;
        case 'appended':
          this.view = {
            record,
            position: result.position,
            end: result.position + 1,
            seenAt: sentAt,
            isFirstEra: view.isFirstEra,
          };
          this.ownRecord = record;
          this.knownUsage.remember(record, era);
          if (!this.isHolder) {
            events.write(5001, {fencingNumber: result.position, hostId});
          }
          this.isHolder = true;
          this.renewalSentAt = sentAt;
          return true;
      }
    } catch (error) {
      // The append may have succeeded or may still arrive, so the log is read
      // again.
      this.loseDuties();
      throw error;
    }
  }

  private loseDuties(): void {
    if (this.isHolder) {
      this.dependencies.events.write(5004, {hostId: this.dependencies.hostId});
    }
    this.isHolder = false;
    this.renewalSentAt = -Infinity;
    this.view = undefined;
  }

  /**
   * Returns the record that the next one continues. A holder whose lease has
   * not ended knows its own last record to be the newest, even if the store has
   * lost it.
   */
  private previousRecord(view: DutyView): ContinuedRecord {
    const {usage, trueTime} = this.dependencies;
    if (this.mayAct && this.ownRecord !== undefined) {
      return this.ownRecord;
    }
    return reconcileDutyRecord(view, {
      known: this.knownUsage,
      currentWindow: usage.windowOf(trueTime()),
    });
  }

  private nextRecord(previous: ContinuedRecord, era: number): DutyRecord {
    const {hostId, processId, usage, trueTime, configuration, hasRollout} =
      this.dependencies;
    const mostLastingEngines = countLastingEngines(
      previous.mostLastingEngines,
      configuration()?.services.values() ?? [],
      this.orderedUpstreams(),
      hasRollout,
    );
    const record: DutyRecord = {
      fixedUsage: previous.fixedUsage,
      reportedTo: Math.max(previous.reportedTo, this.reportedTo),
      mostLastingEngines,
      enginePlans: this.planner.nextPlans(
        previous.enginePlans ?? {},
        mostLastingEngines,
      ),
      closedTo: previous.closedTo,
      holder: hostId,
      processId,
      era,
    };
    const windows = usage
      .windowsToFix(previous, trueTime())
      .map(window => [window, usage.total(window)] as const);
    return withFixedWindows(record, windows);
  }

  private async performDuties(): Promise<void> {
    const record = this.view?.record;
    if (record === undefined) {
      return;
    }
    const {duties, clocks} = this.dependencies;
    const hasSettled =
      clocks.suspensionAware() - this.startedAt >
      ORDER_DELAY_AFTER_START_MILLISECONDS;
    if (duties.includes('usage-reporting')) {
      await this.reportUsage(record);
    }
    if (duties.includes('scaling')) {
      await this.orders.placeDueOrders(record, hasSettled);
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
        this.dependencies.cloud.reportUsage(window, counts, fence),
      );
      if (result?.kind !== 'accepted') {
        return;
      }
      this.reportedTo = window;
      const total = Object.values(counts).reduce(
        (sum, count) => sum + count,
        0,
      );
      this.dependencies.events.write(5006, {window, total});
    }
  }

  /** Makes a call only if this host still holds the duties at this moment. */
  private async callAsHolder(
    call: (fence: DutyFence) => Promise<DutyResult>,
  ): Promise<DutyResult | undefined> {
    const {hostId} = this.dependencies;
    const position = this.view?.position;
    if (position === undefined || !this.mayAct) {
      return undefined;
    }
    const result = await call({holder: hostId, fencingNumber: position});
    if (result.kind === 'refused' && result.reason.includes('fence')) {
      this.loseDuties();
      return undefined;
    }
    return result;
  }
}
