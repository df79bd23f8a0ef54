/**
 * The task that keeps the platform's list of upstreams up to date.
 */
import {
  eraOf,
  type RelayedList,
  RELIST_MILLISECONDS,
  type UpstreamChange,
  UpstreamList,
} from '@lacewingwinch/decisions';
import type {EventLog} from '@lacewingwinch/observability';
import {
  decodeKeyedRecord,
  decodeUpstreamEntry,
  type StoreClient,
} from '@lacewingwinch/platform';

import type {Clocks} from '../../util/clocks.js';
import {isAborted} from '../../util/is_aborted.js';
import {messageOf} from '../../util/message_of.js';
import {pause} from '../../util/pause.js';
import {FaultyEntries} from './faulty_entries.js';
import {StoreReachability} from './store_reachability.js';

/**
 * Milliseconds between two reads. Each upstream writes about once a second, so
 * a read that waits for records would return for every one of them; a leaving
 * upstream must be out of use 2,000 ms after the store knows that it leaves.
 */
const READ_PERIOD_MILLISECONDS = 300;

/** Milliseconds to wait for the store's response, which takes about 4 ms. */
const STORE_TIMEOUT_MILLISECONDS = 600;

/**
 * Milliseconds without a response after which the store counts as having been
 * unavailable.
 */
const OUTAGE_MILLISECONDS = 1500;

/**
 * Age of the list above which a host that relies on other hosts reads the store
 * itself: the list that they relay is up to 310 ms old, and it is fetched every
 * 300 ms.
 */
const MAXIMUM_RELAYED_AGE_MILLISECONDS = 900;

/** Dependencies of `UpstreamFollower`. */
export interface UpstreamFollowerDependencies {
  readonly store: StoreClient;
  readonly events: EventLog;
  readonly clocks: Clocks;
  /**
   * Returns whether this host reads the store itself instead of relying on
   * other hosts.
   */
  readonly isStoreReader: () => boolean;
  readonly onChanges: (changes: readonly UpstreamChange[]) => void;
  /** Whether this is the first start of the host. */
  readonly isFirstStart: boolean;
}

/** A read of the store that requests await. */
interface ConfirmingRead {
  /** Suspension-aware clock reading. */
  readonly sentAt: number;
  /** Resolves when the read has ended, whether or not it succeeded. */
  readonly end: Promise<void>;
}

/** Follows the list of upstreams. */
export class UpstreamFollower {
  readonly list: UpstreamList;
  private next: number | undefined;
  /** Era of the store in which the list was read. */
  private era = 0;
  private hasRead = false;
  /** Time at which the last answered read was sent. */
  private answeredAt = -Infinity;
  private lastConfirmedAt = -Infinity;
  private outageEndedAt = -Infinity;
  /** The read that `confirmSince` has sent; undefined without one. */
  private confirming: ConfirmingRead | undefined;
  private readonly reachability: StoreReachability;
  private readonly faultyEntries: FaultyEntries;

  constructor(private readonly dependencies: UpstreamFollowerDependencies) {
    this.list = new UpstreamList(dependencies.isFirstStart);
    this.reachability = new StoreReachability('upstreams', dependencies.events);
    this.faultyEntries = new FaultyEntries(dependencies.events);
  }

  /** Whether the list has been read at least once. */
  get isKnown(): boolean {
    return this.hasRead;
  }

  /**
   * Position in the log up to which the list has been read; undefined before the
   * first read.
   */
  get readTo(): number | undefined {
    return this.hasRead ? this.next : undefined;
  }

  /** Time at which the list was last confirmed as the newest. */
  get confirmedAt(): number {
    return this.lastConfirmedAt;
  }

  /**
   * Accepts the list that another host read up to the position `readTo` and
   * confirmed as the newest at `confirmedAt`. The positions decide which list is
   * newer; times cannot, because two reads may overlap. If this host has read
   * further, its own list was valid at that time as well.
   */
  acceptRelayed(list: RelayedList, readTo: number, confirmedAt: number): void {
    if (this.next === undefined && list.kind === 'changes') {
      return;
    }
    if (this.next === undefined || readTo > this.next) {
      const isCurrent = this.list.applyRelayed(
        list,
        readTo,
        this.dependencies.clocks.suspensionAware(),
      );
      // Otherwise the whole list is fetched again, until the upstreams that are
      // known to have left since have lapsed or sent a heartbeat.
      if (isCurrent) {
        this.next = readTo;
        this.era = eraOf(readTo);
      }
      this.hasRead = true;
      this.publishChanges();
    }
    this.lastConfirmedAt = Math.max(this.lastConfirmedAt, confirmedAt);
  }

  /**
   * Resolves with whether the list holds everything that was listed by `time`,
   * reading the store if it does not yet. Callers share one read at a time.
   */
  async confirmSince(time: number): Promise<boolean> {
    let isSentLate = false;
    while (this.lastConfirmedAt < time && !isSentLate) {
      this.confirming ??= this.startConfirming();
      const {sentAt, end} = this.confirming;
      await end;
      isSentLate = sentAt >= time;
    }
    return this.lastConfirmedAt >= time;
  }

  private startConfirming(): ConfirmingRead {
    const read = async (): Promise<void> => {
      try {
        await this.readOnce();
      } catch (error) {
        this.reachability.recordRead(messageOf(error));
      }
      this.confirming = undefined;
    };
    const sentAt = this.dependencies.clocks.suspensionAware();
    return {sentAt, end: read()};
  }

  /** Follows the list until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!isAborted(signal)) {
      if (!this.mustReadStore()) {
        this.publishChanges();
        await pause(READ_PERIOD_MILLISECONDS, signal);
        continue;
      }
      let isNewest = true;
      try {
        isNewest = await this.readOnce();
        this.reachability.recordRead(undefined);
      } catch (error) {
        this.reachability.recordRead(messageOf(error));
      }
      if (isNewest) {
        await pause(READ_PERIOD_MILLISECONDS, signal);
      }
    }
  }

  /** Reads new records once; returns whether the list is now the newest. */
  async readOnce(): Promise<boolean> {
    const {store, clocks} = this.dependencies;
    const sentAt = clocks.suspensionAware();
    const options = {timeoutMilliseconds: STORE_TIMEOUT_MILLISECONDS};
    if (this.next === undefined) {
      const {records, end} = await store.newest('upstreams', options);
      this.recordResponse(sentAt, true);
      if (this.hasReadBeyond(end)) {
        return true;
      }
      if (this.hasRead && eraOf(end) !== this.era) {
        // Upstreams that listed themselves since the copy do so again.
        this.outageEndedAt = sentAt;
      }
      const updates = records.map(({key, value}) =>
        decodeUpstreamEntry(key, value),
      );
      this.faultyEntries.record(updates);
      const now = clocks.suspensionAware();
      const {relistedBy} = this;
      this.list.replace(updates, {readTo: end, relistedBy}, now);
      this.next = end;
      this.era = eraOf(end);
      this.hasRead = true;
      this.publishChanges();
      return true;
    }
    const page = await store.read('upstreams', this.next, {
      ...options,
      waitMilliseconds: 0,
    });
    if (page.kind === 'expired') {
      this.next = undefined;
      return false;
    }
    const isNewest = page.next >= page.end;
    this.recordResponse(sentAt, isNewest);
    if (this.hasReadBeyond(page.next)) {
      return true;
    }
    const readTo = this.next;
    const updates = page.records.flatMap(record => {
      const keyed = decodeKeyedRecord(record);
      return keyed === undefined || keyed.position < readTo
        ? []
        : [decodeUpstreamEntry(keyed.key, keyed.value)];
    });
    this.faultyEntries.record(updates);
    const now = clocks.suspensionAware();
    const {relistedBy} = this;
    this.list.apply(updates, {readTo: page.next, relistedBy}, now);
    this.next = page.next;
    this.publishChanges();
    return isNewest;
  }

  private publishChanges(): void {
    const changes = this.list.takeChanges(
      this.dependencies.clocks.suspensionAware(),
    );
    if (changes.length > 0) {
      this.dependencies.onChanges(changes);
    }
  }

  /**
   * Returns whether to read the store. A host that relies on other hosts reads
   * it only if they relay no recent list.
   */
  private mustReadStore(): boolean {
    const {isStoreReader, clocks} = this.dependencies;
    return (
      isStoreReader() ||
      clocks.suspensionAware() - this.lastConfirmedAt >
        MAXIMUM_RELAYED_AGE_MILLISECONDS
    );
  }

  private recordResponse(sentAt: number, isNewest: boolean): void {
    if (this.hasRead && sentAt - this.answeredAt > OUTAGE_MILLISECONDS) {
      this.outageEndedAt = sentAt;
    }
    this.answeredAt = sentAt;
    if (isNewest) {
      this.lastConfirmedAt = Math.max(this.lastConfirmedAt, sentAt);
    }
  }

  /**
   * Returns whether another host relayed a list beyond `offset` during a read.
   */
  private hasReadBeyond(offset: number): boolean {
    return this.next !== undefined && offset < this.next;
  }

  private get relistedBy(): number {
    return this.outageEndedAt + RELIST_MILLISECONDS;
  }
}
