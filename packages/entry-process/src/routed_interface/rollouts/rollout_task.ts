/**
 * The task that carries out the orders of roll-outs while this host holds the
 * duties. Each decision is a record in the store, appended on the condition that
 * no other host has appended one; the status for the operator follows it.
 */
import {
  decideRolloutStep,
  decodeRolloutRecord,
  describeVerdict,
  judgeVersion,
  lapsedPermitTime,
  type RolloutBounds,
  RolloutEvidence,
  type RolloutOrder,
  type RolloutRecord,
  type RolloutStep,
  type RoutingConfiguration,
  summarizeReports,
  type UpstreamList,
  type VersionResultReport,
  type VersionVerdict,
} from '@lacewingwinch/decisions';
import type {EventLog, Metrics} from '@lacewingwinch/observability';
import {
  encodeRolloutStatus,
  isRolloutStatusOf,
  rolloutStatusKey,
  type StoreClient,
  type StoreTopic,
} from '@lacewingwinch/platform';

import type {Clocks} from '../../util/clocks.js';
import {isAborted} from '../../util/is_aborted.js';
import {messageOf} from '../../util/message_of.js';
import {pause} from '../../util/pause.js';
import type {RolloutFollower} from './rollout_follower.js';

/** Milliseconds between two rounds; results arrive once a second. */
const ROUND_PERIOD_MILLISECONDS = 400;

/** Milliseconds to wait for the store's response, which takes about 5 ms. */
const STORE_TIMEOUT_MILLISECONDS = 600;

/** Dependencies of `RolloutTask`. */
export interface RolloutTaskDependencies {
  readonly store: StoreClient;
  readonly events: EventLog;
  readonly metrics: Metrics;
  readonly clocks: Clocks;
  readonly follower: RolloutFollower;
  readonly bounds: () => RolloutBounds | undefined;
  /** Returns whether this host holds the duties at this moment. */
  readonly mayAct: () => boolean;
  /** Returns the reports of this host. */
  readonly ownReports: () => readonly VersionResultReport[];
  readonly servingHosts: () => readonly string[];
  readonly configuration: () => RoutingConfiguration | undefined;
  readonly upstreams: () => UpstreamList;
  readonly trueTime: () => number;
}

/** The ends of the logs, and the newest statuses, as this host knows them. */
interface LogView {
  recordsEnd: number;
  statusesEnd: number;
  /** Published statuses by service. */
  readonly statuses: Map<string, Buffer>;
}

/** Carries out roll-outs while this host holds the duties. */
export class RolloutTask {
  /** The reports of all hosts; kept by every host that may hold the duties. */
  readonly evidence = new RolloutEvidence();
  private view: LogView | undefined;
  /** Orders whose service is not configured, by id. */
  private readonly unknownOrders = new Set<string>();

  constructor(private readonly dependencies: RolloutTaskDependencies) {}

  /** Accepts the reports of another host. */
  onReports(reports: readonly VersionResultReport[]): void {
    const now = this.dependencies.clocks.suspensionAware();
    reports.forEach(report => this.evidence.merge(report, now));
  }

  /** Runs a round periodically until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!isAborted(signal)) {
      await pause(ROUND_PERIOD_MILLISECONDS, signal);
      try {
        await this.runRound();
      } catch (error) {
        // The append may have succeeded or may still arrive.
        this.view = undefined;
        this.dependencies.events.write(5025, {error: messageOf(error)});
      }
    }
  }

  private async runRound(): Promise<void> {
    const {follower, mayAct, bounds, ownReports} = this.dependencies;
    const orders = follower.steps.allOrders;
    const limits = bounds();
    if (orders.length === 0 || limits === undefined) {
      return;
    }
    this.onReports(ownReports());
    this.evidence.keepOnly(new Set(orders.map(({orderId}) => orderId)));
    if (!mayAct()) {
      this.view = undefined;
      return;
    }
    this.view ??= await this.readView();
    for (const order of orders) {
      await this.carryOut(order, limits);
    }
  }

  private async readView(): Promise<LogView> {
    const {store, follower, clocks} = this.dependencies;
    const options = {timeoutMilliseconds: STORE_TIMEOUT_MILLISECONDS};
    const records = await store.newest('rollouts', options);
    const statuses = await store.newest('statuses', options);
    for (const {value} of records.records) {
      const record =
        value === undefined ? undefined : decodeRolloutRecord(value);
      if (record !== undefined) {
        const seenAt = lapsedPermitTime(clocks.suspensionAware());
        follower.acceptRecord({record, seenAt});
      }
    }
    return {
      recordsEnd: records.end,
      statusesEnd: statuses.end,
      statuses: new Map(
        statuses.records.flatMap(({key, value}) =>
          value === undefined ? [] : [[key, value]],
        ),
      ),
    };
  }

  private async carryOut(
    order: RolloutOrder,
    bounds: RolloutBounds,
  ): Promise<void> {
    const {configuration, follower, events} = this.dependencies;
    const {service, orderId} = order;
    const services = configuration()?.services;
    if (services === undefined) {
      return;
    }
    if (!services.has(service)) {
      if (!this.unknownOrders.has(orderId)) {
        this.unknownOrders.add(orderId);
        events.write(5024, {service, reason: 'the service is not configured'});
      }
      return;
    }
    const verdict = this.judge(order);
    const step = this.decide(order, bounds, verdict);
    if (step !== undefined) {
      if (!(await this.write(step))) {
        return;
      }
      this.logStep(step, describeVerdict(verdict));
    }
    const record = follower.steps.recordOf(service)?.record;
    if (record?.orderId === orderId) {
      await this.publishStatus(record);
    }
  }

  private judge({service, orderId}: RolloutOrder): VersionVerdict {
    const {upstreams} = this.dependencies;
    return judgeVersion(
      this.evidence.routesOf(service, orderId),
      upstreamId => upstreams().find(upstreamId)?.failureDomain ?? '',
    );
  }

  private decide(
    order: RolloutOrder,
    bounds: RolloutBounds,
    verdict: VersionVerdict,
  ): RolloutStep | undefined {
    const {follower, upstreams, clocks, trueTime, servingHosts} =
      this.dependencies;
    const {service, orderId} = order;
    const now = clocks.suspensionAware();
    const trueNow = trueTime();
    const seen = follower.steps.recordOf(service);
    const since =
      seen === undefined
        ? trueNow
        : seen.record.deadline - seen.record.durationMilliseconds;
    const summary = summarizeReports(
      this.evidence.reportsOn(service, orderId),
      servingHosts(),
      {now, millisecondsSinceOrder: trueNow - since},
    );
    return decideRolloutStep({
      bounds,
      order,
      record: seen?.record,
      upstreams: upstreams().usable(service, now),
      verdict,
      ...summary,
      recordAge: now - (seen?.seenAt ?? -Infinity),
      orderAge: now - (follower.orderSeenAt(service) ?? now),
      trueTime: trueNow,
    });
  }

  /** Appends a record; returns whether it is the newest one. */
  private async write({record}: RolloutStep): Promise<boolean> {
    const {clocks, follower} = this.dependencies;
    const {view} = this;
    if (view === undefined) {
      return false;
    }
    const sentAt = clocks.suspensionAware();
    const position = await this.append(
      'rollouts',
      record.service,
      Buffer.from(JSON.stringify(record)),
      view.recordsEnd,
    );
    if (position === undefined) {
      return false;
    }
    view.recordsEnd = position + 1;
    follower.acceptRecord({record, seenAt: sentAt});
    return true;
  }

  private async publishStatus(record: RolloutRecord): Promise<void> {
    const {events} = this.dependencies;
    const {view} = this;
    const key = rolloutStatusKey(record.service);
    if (
      view === undefined ||
      isRolloutStatusOf(view.statuses.get(key), record)
    ) {
      return;
    }
    const status = encodeRolloutStatus(record);
    const position = await this.append(
      'statuses',
      key,
      status,
      view.statusesEnd,
    );
    if (position !== undefined) {
      view.statusesEnd = position + 1;
      view.statuses.set(key, status);
      const {service, phase} = record;
      events.write(5026, {service, phase});
    }
  }

  /**
   * Appends on the condition that the log ends at `atEnd`; returns the position,
   * or undefined if it does not or this host may not act any more.
   */
  private async append(
    topic: StoreTopic,
    key: string,
    value: Buffer,
    atEnd: number,
  ): Promise<number | undefined> {
    const {store, mayAct} = this.dependencies;
    if (!mayAct()) {
      this.view = undefined;
      return undefined;
    }
    const result = await store.appendKeyed(topic, key, value, {
      timeoutMilliseconds: STORE_TIMEOUT_MILLISECONDS,
      atEnd,
    });
    switch (result.kind) {
      case 'appended':
        return result.position;
      case 'moved':
      case 'era-changed':
        this.view = undefined;
        return undefined;
    }
  }

  private logStep({record, kind}: RolloutStep, verdict: string): void {
    const {events, metrics} = this.dependencies;
    const {service, softwareVersion, phase, sequence} = record;
    const share = shareOf(record);
    metrics.rolloutShare.set({service, version: softwareVersion}, share);
    switch (kind) {
      case 'renewed':
        return;
      case 'rolled-back': {
        const reason = phase === 'rolled-back' ? record.reason : '';
        events.write(5022, {service, softwareVersion, reason});
        return;
      }
      case 'completed':
        events.write(5023, {service, softwareVersion, verdict});
        return;
      case 'accepted':
      case 'moved-on':
      case 'started':
      case 'superseded':
      case 'upstreams-changed':
      case 'widened':
        events.write(5021, {
          service,
          softwareVersion,
          phase,
          kind,
          share,
          sequence,
          verdict,
        });
    }
  }
}

function shareOf(record: RolloutRecord): number {
  switch (record.phase) {
    case 'testing':
    case 'moving':
      return record.share;
    case 'completed':
      return 1;
    case 'rolled-back':
      return 0;
  }
}
