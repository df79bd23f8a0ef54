/**
 * The task that keeps the orders and records of roll-outs up to date: from the
 * store at the hosts that read it, from other hosts at the others. The log of
 * records is read only while there is an order.
 */
import {
  decodeRolloutRecord,
  lapsedPermitTime,
  type ListedUpstream,
  PERMIT_MILLISECONDS,
  type RolloutBounds,
  type RolloutEngines,
  type RolloutOrder,
  RolloutSteps,
  type SeenRecord,
  type UpstreamChange,
  type UpstreamList,
} from '@lacewingwinch/decisions';
import type {RelayedRollouts} from '@lacewingwinch/entry-hosts';
import type {EventLog} from '@lacewingwinch/observability';
import {
  decodeKeyedRecord,
  decodeRolloutDocument,
  type KeyedRecord,
  type StoreClient,
} from '@lacewingwinch/platform';

import {ChangeNotifier} from '../../util/change_notifier.js';
import type {Clocks} from '../../util/clocks.js';
import {isAborted} from '../../util/is_aborted.js';
import {messageOf} from '../../util/message_of.js';
import {pause} from '../../util/pause.js';
import type {DutyTaskDependencies} from '../duties/duty_task.js';
import {StoreReachability} from '../state/store_reachability.js';

/** Milliseconds that a read waits at the store for a record. */
const READ_WAIT_MILLISECONDS = 800;

/** Milliseconds to wait for the store's response beyond the read wait. */
const STORE_TIMEOUT_MILLISECONDS = 600;

/** Milliseconds between a failed read and the next one. */
const RETRY_DELAY_MILLISECONDS = 200;

/** Milliseconds between two checks whether to read, while there is an order. */
const CHECK_PERIOD_MILLISECONDS = 300;

/** Milliseconds between two checks without an order; an order ends the wait. */
const IDLE_PERIOD_MILLISECONDS = 60_000;

/** Dependencies of `RolloutFollower`. */
export interface RolloutFollowerDependencies {
  readonly store: StoreClient;
  readonly events: EventLog;
  readonly clocks: Clocks;
  /** Returns the bounds; undefined if the deployment knows no roll-outs. */
  readonly bounds: () => RolloutBounds | undefined;
  /** Returns whether this host reads the store itself. */
  readonly isStoreReader: () => boolean;
}

/** Follows the orders and records of roll-outs. */
export class RolloutFollower {
  readonly steps = new RolloutSteps();
  /** Time at which the newest order of each service was first seen. */
  private readonly ordersSeenAt = new Map<string, number>();
  private next: number | undefined;
  private hasRead = false;
  /** Time of the last answered read of records. */
  private readAt = -Infinity;
  private readonly orderNotifier = new ChangeNotifier();
  private readonly reachability: StoreReachability;

  constructor(private readonly dependencies: RolloutFollowerDependencies) {
    this.reachability = new StoreReachability('rollouts', dependencies.events);
  }

  /** Records which versions are listed after `changes`. */
  onUpstreamChanges(
    changes: readonly UpstreamChange[],
    list: UpstreamList,
  ): void {
    const now = this.dependencies.clocks.suspensionAware();
    for (const service of new Set(changes.map(change => change.service))) {
      this.steps.recordListed(service, list.usable(service, now), now);
    }
  }

  /** Accepts a record of the operator's log. */
  onOperatorRecord(record: KeyedRecord): void {
    const {events, bounds} = this.dependencies;
    const document = decodeRolloutDocument(record);
    switch (document.kind) {
      case 'none':
        return;
      case 'faulty':
        events.write(5024, {
          service: document.service,
          reason: document.fault,
        });
        return;
      case 'order': {
        const {order} = document;
        const {service} = order;
        if (bounds() === undefined) {
          const reason = 'the settings state no bounds of roll-outs';
          events.write(5024, {service, reason});
          return;
        }
        if (this.acceptOrder(order)) {
          events.write(5020, {
            service,
            softwareVersion: order.softwareVersion,
            duration: order.durationMilliseconds,
            orderId: order.orderId,
          });
          this.orderNotifier.notify();
        }
      }
    }
  }

  /**
   * Returns to orders of engines which engines exist for a roll-out that is not
   * completed, or stop because it is. A version that has appeared since the orders
   * were last read, at `ordersReadAt`, may be that of an order.
   */
  engineCounts(
    list: UpstreamList,
    ordersReadAt: () => number,
  ): Pick<
    DutyTaskDependencies,
    'hasRollout' | 'rolloutEngines' | 'versionsBesideOrders'
  > {
    const {steps} = this;
    const versionsBesideOrders = (service: string): readonly string[] =>
      this.dependencies.bounds() === undefined
        ? []
        : [
            ...steps.trialVersions(service),
            ...steps.replacedVersions(service),
            ...steps.barredVersions(service, ordersReadAt()),
          ];
    return {
      hasRollout: service => steps.orderOf(service) !== undefined,
      versionsBesideOrders,
      rolloutEngines: service => {
        const versions = versionsBesideOrders(service);
        return this.rolloutEngines(
          service,
          list
            .all()
            .filter(
              upstream =>
                upstream.service === service &&
                versions.includes(upstream.softwareVersion) &&
                !upstream.isLeaving,
            ),
        );
      },
    };
  }

  private rolloutEngines(
    service: string,
    listed: readonly ListedUpstream[],
  ): RolloutEngines | undefined {
    const order = this.steps.orderOf(service);
    const isOpen = order !== undefined && this.steps.isOpen(order);
    if (listed.length === 0 && !isOpen) {
      return undefined;
    }
    const knownSince = Math.max(
      this.ordersSeenAt.get(service) ?? -Infinity,
      ...listed.map(({softwareVersion}) =>
        this.steps.firstSeenAt(service, softwareVersion),
      ),
    );
    const now = this.dependencies.clocks.suspensionAware();
    return {listed, age: now - knownSince};
  }

  /** What this host knows, in short; undefined without any order. */
  digest(): string | undefined {
    const {allOrders, allRecords} = this.steps;
    return allOrders.length === 0
      ? undefined
      : [
          ...allOrders.map(({service, orderId}) => `${service}/${orderId}`),
          ...allRecords.map(
            ({record}) => `${record.service}/${record.sequence}`,
          ),
        ]
          .sort()
          .join(' ');
  }

  /** Returns what another host with the digest `known` lacks. */
  relay(known: string | undefined): RelayedRollouts | undefined {
    const digest = this.digest();
    if (digest === undefined || digest === known) {
      return undefined;
    }
    const now = this.dependencies.clocks.suspensionAware();
    return {
      orders: this.steps.allOrders,
      records: this.steps.allRecords.map(({record, seenAt}) => ({
        record,
        age: now - seenAt,
      })),
    };
  }

  /** Accepts what another host sent after `sentAt`. */
  accept({orders, records}: RelayedRollouts, sentAt: number): void {
    if (this.dependencies.bounds() === undefined) {
      return;
    }
    let hasNewOrder = false;
    for (const order of orders) {
      hasNewOrder = this.acceptOrder(order) || hasNewOrder;
    }
    for (const {record, age} of records) {
      this.acceptRecord({record, seenAt: sentAt - age});
    }
    if (hasNewOrder) {
      this.orderNotifier.notify();
    }
  }

  /**
   * Returns the time at which this host first saw the newest order of a service,
   * by its suspension-aware clock.
   */
  orderSeenAt(service: string): number | undefined {
    return this.ordersSeenAt.get(service);
  }

  private acceptOrder(order: RolloutOrder): boolean {
    const isNew = this.steps.acceptOrder(order);
    if (isNew) {
      const now = this.dependencies.clocks.suspensionAware();
      this.ordersSeenAt.set(order.service, now);
    }
    return isNew;
  }

  /** Accepts a record that this host has read or written. */
  acceptRecord({record, seenAt}: SeenRecord): void {
    this.steps.acceptRecord(record, seenAt);
  }

  /** Follows the log of records until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!isAborted(signal)) {
      if (!this.mustReadStore()) {
        await this.orderNotifier.nextWithin(
          this.steps.hasOpenOrder
            ? CHECK_PERIOD_MILLISECONDS
            : IDLE_PERIOD_MILLISECONDS,
          signal,
        );
        continue;
      }
      try {
        await this.readOnce();
        this.reachability.recordRead(undefined);
      } catch (error) {
        this.reachability.recordRead(messageOf(error));
        await pause(RETRY_DELAY_MILLISECONDS, signal);
      }
    }
  }

  private mustReadStore(): boolean {
    return (
      this.dependencies.isStoreReader() &&
      this.steps.allOrders.length > 0 &&
      (this.steps.hasOpenOrder || !this.hasRead)
    );
  }

  private async readOnce(): Promise<void> {
    const {store, clocks} = this.dependencies;
    const readBefore = this.readAt;
    if (this.next === undefined) {
      const {records, end} = await store.newest('rollouts', {
        timeoutMilliseconds: STORE_TIMEOUT_MILLISECONDS,
      });
      this.readAt = clocks.suspensionAware();
      const seenAt = lapsedPermitTime(this.readAt);
      records.forEach(record => this.applyRecord(record, seenAt));
      this.next = end;
      this.hasRead = true;
      return;
    }
    const page = await store.read('rollouts', this.next, {
      waitMilliseconds: READ_WAIT_MILLISECONDS,
      timeoutMilliseconds: STORE_TIMEOUT_MILLISECONDS,
    });
    const now = clocks.suspensionAware();
    this.readAt = now;
    const isLate = now - readBefore > PERMIT_MILLISECONDS;
    switch (page.kind) {
      case 'expired':
        this.next = undefined;
        return;
      case 'records':
        for (const content of page.records) {
          const record = decodeKeyedRecord(content);
          if (record !== undefined) {
            this.applyRecord(record, isLate ? lapsedPermitTime(now) : now);
          }
        }
        this.next = page.next;
    }
  }

  /**
   * Applies a record of the store. One that may have been written long ago is no
   * permit; the holder writes the next one within a second.
   */
  private applyRecord({key, value}: KeyedRecord, seenAt: number): void {
    const record = value === undefined ? undefined : decodeRolloutRecord(value);
    if (record === undefined) {
      const reason = 'its record cannot be read';
      this.dependencies.events.write(5024, {service: key, reason});
      return;
    }
    this.acceptRecord({record, seenAt});
  }
}
