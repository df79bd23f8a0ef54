/**
 * The task that follows the platform's list of upstreams.
 */
import {
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

import {isAborted} from '../util/is_aborted.js';
import {messageOf} from '../util/message_of.js';
import {pause} from '../util/pause.js';
import type {Clocks} from './clocks.js';
import {StoreReachability} from './store_reachability.js';

/**
 * Milliseconds between two reads. Upstreams write about once a second each, so
 * that a read that waited for records would wake for every one of them; an
 * upstream that leaves must be out of use 2,000 ms after the store knows.
 */
const READ_PERIOD_MILLISECONDS = 300;

/** Milliseconds for an answer of the store; it takes about 4. */
const STORE_TIMEOUT_MILLISECONDS = 600;

/** Milliseconds without an answer from which on the store counts as away. */
const OUTAGE_MILLISECONDS = 1500;

/**
 * Age of the list from which on a host reads that is told by others: what they
 * tell is up to 310 ms old, and it asks every 300 ms.
 */
const UNTOLD_MILLISECONDS = 900;

/** What the task needs from others. */
export interface UpstreamFollowerContext {
  readonly store: StoreClient;
  readonly events: EventLog;
  readonly clocks: Clocks;
  /** Whether this host reads the store, or others read it for this one. */
  readonly readsStore: () => boolean;
  readonly onChanges: (changes: readonly UpstreamChange[]) => void;
}

/** Follows the list of upstreams. */
export class UpstreamFollower {
  readonly list = new UpstreamList();
  private next: number | undefined;
  private hasRead = false;
  /** When the last read that was answered was sent. */
  private answeredAt = -Infinity;
  private confirmed = -Infinity;
  private outageEndedAt = -Infinity;
  private readonly reachability: StoreReachability;

  constructor(private readonly context: UpstreamFollowerContext) {
    this.reachability = new StoreReachability('upstreams', context.events);
  }

  /** Whether the list has been read once. */
  get isKnown(): boolean {
    return this.hasRead;
  }

  /** Offset in the log up to which the list was read; undefined before that. */
  get readTo(): number | undefined {
    return this.hasRead ? this.next : undefined;
  }

  /** When the list was last known to be the newest. */
  get confirmedAt(): number {
    return this.confirmed;
  }

  /**
   * Takes the list that another host read up to the offset `readTo` and knew to
   * be the newest at `confirmedAt`. The offsets say which list is newer; times
   * do not, as two reads cross. What this host read further than the other one
   * holds at that time as well.
   */
  takeRelayed(list: RelayedList, readTo: number, confirmedAt: number): void {
    if (this.next === undefined && list.kind === 'changes') {
      return;
    }
    if (this.next === undefined || readTo > this.next) {
      this.list.takeRelayed(list, readTo, this.context.clocks.counting());
      this.next = readTo;
      this.hasRead = true;
      this.tellChanges();
    }
    this.confirmed = Math.max(this.confirmed, confirmedAt);
  }

  /** Runs until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!isAborted(signal)) {
      if (!this.mustRead()) {
        this.tellChanges();
        await pause(READ_PERIOD_MILLISECONDS, signal);
        continue;
      }
      let isNewest = true;
      try {
        isNewest = await this.readOnce();
        this.reachability.note(undefined);
      } catch (error) {
        this.reachability.note(messageOf(error));
      }
      if (isNewest) {
        await pause(READ_PERIOD_MILLISECONDS, signal);
      }
    }
  }

  /** Reads what is new; tells whether that was all there is. */
  async readOnce(): Promise<boolean> {
    const {store, clocks} = this.context;
    const sentAt = clocks.counting();
    const options = {timeoutMilliseconds: STORE_TIMEOUT_MILLISECONDS};
    if (this.next === undefined) {
      const {records, end} = await store.newest('upstreams', options);
      this.noteAnswer(sentAt, true);
      if (this.isReadBeyond(end)) {
        return true;
      }
      const updates = records.map(({key, value}) =>
        decodeUpstreamEntry(key, value),
      );
      const now = clocks.counting();
      this.list.replace(
        updates.flatMap(update =>
          update.kind === 'listed' ? [update.upstream] : [],
        ),
        {readTo: end, relistedBy: this.relistedBy},
        now,
      );
      this.next = end;
      this.hasRead = true;
      this.tellChanges();
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
    this.noteAnswer(sentAt, isNewest);
    if (this.isReadBeyond(page.next)) {
      return true;
    }
    const readTo = this.next;
    const updates = page.records.flatMap(record => {
      const keyed = decodeKeyedRecord(record);
      return keyed === undefined || keyed.offset < readTo
        ? []
        : [decodeUpstreamEntry(keyed.key, keyed.value)];
    });
    const now = clocks.counting();
    const {relistedBy} = this;
    this.list.apply(updates, {readTo: page.next, relistedBy}, now);
    this.next = page.next;
    this.tellChanges();
    return isNewest;
  }

  private tellChanges(): void {
    const changes = this.list.takeChanges(this.context.clocks.counting());
    if (changes.length > 0) {
      this.context.onChanges(changes);
    }
  }

  /** A host that does not read the store does so when nobody tells it. */
  private mustRead(): boolean {
    const {readsStore, clocks} = this.context;
    return (
      readsStore() || clocks.counting() - this.confirmed > UNTOLD_MILLISECONDS
    );
  }

  private noteAnswer(sentAt: number, isNewest: boolean): void {
    if (this.hasRead && sentAt - this.answeredAt > OUTAGE_MILLISECONDS) {
      this.outageEndedAt = sentAt;
    }
    this.answeredAt = sentAt;
    if (isNewest) {
      this.confirmed = Math.max(this.confirmed, sentAt);
    }
  }

  /** Whether another host told, during a read, what comes after it. */
  private isReadBeyond(offset: number): boolean {
    return this.next !== undefined && offset < this.next;
  }

  private get relistedBy(): number {
    return this.outageEndedAt + RELIST_MILLISECONDS;
  }
}
