/**
 * The task that keeps the wanted upstream hosts, while this host holds the
 * lease for orders.
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

/** Milliseconds for which the lease is asked. */
export const LEASE_MILLISECONDS = 5000;

/** Milliseconds before the end of its lease at which a holder stops ordering. */
const LEASE_MARGIN_MILLISECONDS = 1500;

/** Milliseconds of a lease that are left when it is renewed. */
const RENEW_MILLISECONDS = 3500;

/** Milliseconds between two rounds. */
const PERIOD_MILLISECONDS = 500;

/** Share of the hosts that one failure domain may hold. */
const MAXIMUM_DOMAIN_SHARE = 0.5;

/** What the task needs from others. */
export interface OrdersTaskContext {
  readonly hostId: string;
  /** Identity of this process, new at each start. */
  readonly processId: string;
  readonly log: LogService;
  readonly cloud: CloudApi;
  readonly events: EventLog;
  readonly clock: () => number;
  readonly configuration: () => Configuration;
  readonly servingHosts: () => readonly string[];
  readonly goal: Omit<CapacityGoal, 'maximumDomainShare'>;
}

/** Takes the lease for orders and gives them. */
export class OrdersTask implements StreamFollower {
  private lease: Lease = NO_LEASE;
  private hasReadTail = false;
  private isReadable = false;
  /** Whether some other process held the lease before. */
  private hadOtherHolder = false;
  private readonly refusals = new Map<string, number>();
  private readonly refusedUntil = new Map<string, number>();

  constructor(private readonly context: OrdersTaskContext) {}

  /** Offset of the last record read. */
  get readTo(): number {
    return this.lease.readTo;
  }

  /** Runs until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    if (this.context.goal.service === '') {
      return;
    }
    const {log, events} = this.context;
    await Promise.all([
      followStream(log, 'leases', this, events, signal),
      this.keepOrders(signal),
    ]);
  }

  onReadable(isReadable: boolean): void {
    this.isReadable = isReadable;
  }

  onPage(page: LogPage): void {
    const before = this.lease.fencingNumber;
    for (const record of page.records) {
      const holder = this.lease.processId;
      this.lease = foldLease(this.lease, record);
      const isTakenFromOther =
        holder !== '' &&
        holder !== this.lease.processId &&
        holder !== this.context.processId;
      this.hadOtherHolder ||= isTakenFromOther;
    }
    this.hasReadTail ||= this.readTo >= page.tail - 1;
    const {fencingNumber, holder} = this.lease;
    if (fencingNumber !== before) {
      this.context.events.write(5001, {fencingNumber, hostId: holder});
    }
  }

  private async keepOrders(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await pause(PERIOD_MILLISECONDS, signal);
      try {
        await this.runRound();
      } catch {
        // The platform is down; the wanted state is ordered again.
      }
    }
  }

  private async runRound(): Promise<void> {
    if (!this.hasReadTail || !this.isReadable) {
      return;
    }
    if (this.wantsLease()) {
      await this.askForLease();
    }
    if (this.mayOrder()) {
      await this.order();
    }
  }

  private isHolder(): boolean {
    return this.lease.processId === this.context.processId;
  }

  private wantsLease(): boolean {
    const left = this.lease.expires - this.context.clock();
    if (this.isHolder()) {
      return left < RENEW_MILLISECONDS;
    }
    const winner = rendezvousWinner('orders', this.context.servingHosts());
    return left <= 0 && winner === this.context.hostId;
  }

  private async askForLease(): Promise<void> {
    const record: LeaseRecord = {
      type: 'lease',
      holder: this.context.hostId,
      processId: this.context.processId,
      after: this.lease.fencingNumber,
      duration: LEASE_MILLISECONDS,
    };
    await this.context.log.append('leases', record);
  }

  private mayOrder(): boolean {
    const now = this.context.clock();
    const isSafe = now < this.lease.expires - LEASE_MARGIN_MILLISECONDS;
    return this.isHolder() && isSafe && now >= this.firstOrderTime();
  }

  /**
   * Where fencing numbers are ignored, an order of the holder before may still
   * be under way; it is waited out.
   */
  private firstOrderTime(): number {
    const service = findService(
      this.context.configuration(),
      this.context.goal.service,
    );
    const mustWait = this.hadOtherHolder && service?.checksFencing !== true;
    const wait = (service?.maximumRequestSeconds ?? 0) * 1000;
    return this.lease.granted + (mustWait ? wait : 0);
  }

  private async order(): Promise<void> {
    const {cloud, clock, goal} = this.context;
    const offers = (await cloud.offers()).map((offer): HostOffer => ({
      ...offer,
      refusedUntil: this.refusedUntil.get(keyOf(offer)) ?? 0,
    }));
    const wanted = wantedHosts(
      {...goal, maximumDomainShare: MAXIMUM_DOMAIN_SHARE},
      offers,
      clock(),
    );
    for (const one of wanted) {
      if (!this.mayOrder()) {
        return;
      }
      await this.orderOne(one);
    }
  }

  private async orderOne(wanted: WantedHosts): Promise<void> {
    const {cloud, clock, events} = this.context;
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
