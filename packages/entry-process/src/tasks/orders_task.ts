/**
 * The task that orders upstream hosts while this host holds the lease for
 * orders.
 */
import {
  type CapacityGoal,
  type Configuration,
  findService,
  foldLease,
  type HostOffer,
  type Lease,
  type LeaseRecord,
  NO_LEASE,
  rendezvousWinner,
  startBackoff,
  type WantedHosts,
  wantedHosts,
} from '@lacewingwinch/decisions';
import type {EventLog} from '@lacewingwinch/observability';
import type {CloudApi, LogPage, LogService} from '@lacewingwinch/platform';

import {pause} from '../util/pause.js';
import {followStream, type StreamFollower} from './follow_stream.js';

/** Milliseconds for which the lease is requested. */
export const LEASE_DURATION_MILLISECONDS = 5000;

/**
 * Milliseconds before the end of its lease at which a holder stops ordering.
 */
const LEASE_MARGIN_MILLISECONDS = 1500;

/** Remaining milliseconds of the lease below which it is renewed. */
const RENEWAL_THRESHOLD_MILLISECONDS = 3500;

/** Milliseconds between two rounds of leasing and ordering. */
const ROUND_PERIOD_MILLISECONDS = 500;

/** Maximum share of the wanted hosts in one failure domain. */
const MAXIMUM_DOMAIN_SHARE = 0.5;

/** Dependencies of `OrdersTask`. */
export interface OrdersTaskDependencies {
  readonly hostId: string;
  /** Id of this process, new at each start. */
  readonly processId: string;
  readonly log: LogService;
  readonly cloud: CloudApi;
  readonly events: EventLog;
  readonly clock: () => number;
  readonly configuration: () => Configuration;
  readonly servingHosts: () => readonly string[];
  readonly goal: Omit<CapacityGoal, 'maximumDomainShare'>;
}

/** Acquires the lease for orders and places the orders. */
export class OrdersTask implements StreamFollower {
  private lease: Lease = NO_LEASE;
  private hasReadTail = false;
  private isReadable = false;
  /** Whether another process has held the lease before. */
  private hadOtherHolder = false;
  private readonly refusals = new Map<string, number>();
  private readonly refusedUntil = new Map<string, number>();

  constructor(private readonly dependencies: OrdersTaskDependencies) {}

  /** Offset of the last record read. */
  get readTo(): number {
    return this.lease.readTo;
  }

  /** Runs until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    if (this.dependencies.goal.service === '') {
      return;
    }
    const {log, events} = this.dependencies;
    await Promise.all([
      followStream(log, 'leases', this, events, signal),
      this.runRounds(signal),
    ]);
  }

  setReadable(isReadable: boolean): void {
    this.isReadable = isReadable;
  }

  onPage(page: LogPage): void {
    const previousFencingNumber = this.lease.fencingNumber;
    for (const record of page.records) {
      const holderProcessId = this.lease.processId;
      this.lease = foldLease(this.lease, record);
      const isTakenFromOther =
        holderProcessId !== '' &&
        holderProcessId !== this.lease.processId &&
        holderProcessId !== this.dependencies.processId;
      this.hadOtherHolder ||= isTakenFromOther;
    }
    this.hasReadTail ||= this.readTo >= page.tail - 1;
    const {fencingNumber, holder} = this.lease;
    if (fencingNumber !== previousFencingNumber) {
      this.dependencies.events.write(5001, {fencingNumber, hostId: holder});
    }
  }

  private async runRounds(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await pause(ROUND_PERIOD_MILLISECONDS, signal);
      try {
        await this.runRound();
      } catch {
        // The platform is down. The next round orders the wanted hosts again.
      }
    }
  }

  private async runRound(): Promise<void> {
    if (!this.hasReadTail || !this.isReadable) {
      return;
    }
    if (this.wantsLease()) {
      await this.requestLease();
    }
    if (this.canOrder()) {
      await this.orderWantedHosts();
    }
  }

  private isHolder(): boolean {
    return this.lease.processId === this.dependencies.processId;
  }

  private wantsLease(): boolean {
    const remaining = this.lease.expires - this.dependencies.clock();
    if (this.isHolder()) {
      return remaining < RENEWAL_THRESHOLD_MILLISECONDS;
    }
    const winner = rendezvousWinner('orders', this.dependencies.servingHosts());
    return remaining <= 0 && winner === this.dependencies.hostId;
  }

  private async requestLease(): Promise<void> {
    const record: LeaseRecord = {
      type: 'lease',
      holder: this.dependencies.hostId,
      processId: this.dependencies.processId,
      after: this.lease.fencingNumber,
      duration: LEASE_DURATION_MILLISECONDS,
    };
    await this.dependencies.log.append('leases', record);
  }

  private canOrder(): boolean {
    const now = this.dependencies.clock();
    const isBeforeMargin = now < this.lease.expires - LEASE_MARGIN_MILLISECONDS;
    return this.isHolder() && isBeforeMargin && now >= this.earliestOrderTime();
  }

  /**
   * Returns the earliest time at which this holder may order, in milliseconds
   * since the epoch. If the service does not check fencing numbers, an order of
   * the previous holder may still be in progress, so the maximum request time
   * of the service must pass first.
   */
  private earliestOrderTime(): number {
    const service = findService(
      this.dependencies.configuration(),
      this.dependencies.goal.service,
    );
    const mustWait = this.hadOtherHolder && service?.checksFencing !== true;
    const wait = (service?.maximumRequestSeconds ?? 0) * 1000;
    return this.lease.granted + (mustWait ? wait : 0);
  }

  private async orderWantedHosts(): Promise<void> {
    const {cloud, clock, goal} = this.dependencies;
    const offers = (await cloud.offers()).map((offer): HostOffer => ({
      ...offer,
      refusedUntil: this.refusedUntil.get(keyOf(offer)) ?? 0,
    }));
    const wanted = wantedHosts(
      {...goal, maximumDomainShare: MAXIMUM_DOMAIN_SHARE},
      offers,
      clock(),
    );
    for (const hosts of wanted) {
      if (!this.canOrder()) {
        return;
      }
      await this.placeOrder(hosts);
    }
  }

  private async placeOrder(wanted: WantedHosts): Promise<void> {
    const {cloud, clock, events} = this.dependencies;
    const {count, hostClass, failureDomain} = wanted;
    const started = await cloud.order(wanted, this.lease.fencingNumber);
    const key = keyOf(wanted);
    if (started >= count) {
      this.refusals.delete(key);
      return;
    }
    const refusals = (this.refusals.get(key) ?? 0) + 1;
    this.refusals.set(key, refusals);
    this.refusedUntil.set(key, clock() + startBackoff(refusals));
    events.write(5003, {hostClass, failureDomain});
  }
}

function keyOf(offer: Pick<HostOffer, 'failureDomain' | 'hostClass'>): string {
  return `${offer.hostClass}/${offer.failureDomain}`;
}
