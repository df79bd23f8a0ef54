/**
 * The task that follows the platform's list of upstreams.
 */
import {
  type ListedUpstream,
  UpstreamList,
  type UpstreamUpdate,
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

/** What the task needs from others. */
export interface UpstreamFollowerContext {
  readonly store: StoreClient;
  readonly events: EventLog;
  readonly clocks: Clocks;
  /** Is told after each change, with the updates that were read. */
  readonly onUpdates: (updates: readonly UpstreamUpdate[]) => void;
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

  /** When the list was last known to be the newest. */
  get confirmedAt(): number {
    return this.confirmed;
  }

  /** Takes the list that another host knew to be the newest at `confirmedAt`. */
  takeRelayed(list: readonly ListedUpstream[], confirmedAt: number): void {
    if (confirmedAt <= this.confirmed) {
      return;
    }
    const now = this.context.clocks.counting();
    this.list.replace(list, false, now);
    this.confirmed = confirmedAt;
    this.hasRead = true;
    this.context.onUpdates(
      list.map(upstream => ({kind: 'listed', upstream}) as const),
    );
  }

  /** Runs until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!isAborted(signal)) {
      try {
        await this.readOnce();
        this.reachability.note(undefined);
      } catch (error) {
        this.reachability.note(messageOf(error));
      }
      await pause(READ_PERIOD_MILLISECONDS, signal);
    }
  }

  private async readOnce(): Promise<void> {
    const {store, clocks} = this.context;
    const sentAt = clocks.counting();
    const options = {timeoutMilliseconds: STORE_TIMEOUT_MILLISECONDS};
    if (this.next === undefined) {
      const {records, end} = await store.newest('upstreams', options);
      this.noteAnswer(sentAt);
      const updates = records.map(({key, value}) =>
        decodeUpstreamEntry(key, value),
      );
      const now = clocks.counting();
      this.list.replace(
        updates.flatMap(update =>
          update.kind === 'listed' ? [update.upstream] : [],
        ),
        this.isAfterOutage(now),
        now,
      );
      this.next = end;
      this.hasRead = true;
      this.context.onUpdates(updates);
      return;
    }
    const page = await store.read('upstreams', this.next, {
      ...options,
      waitMilliseconds: 0,
    });
    this.noteAnswer(sentAt);
    if (page.kind === 'expired') {
      this.next = undefined;
      return;
    }
    const updates = page.records.flatMap(record => {
      const keyed = decodeKeyedRecord(record);
      return keyed === undefined
        ? []
        : [decodeUpstreamEntry(keyed.key, keyed.value)];
    });
    const now = clocks.counting();
    this.list.apply(updates, this.isAfterOutage(now), now);
    this.next = page.next;
    if (updates.length > 0) {
      this.context.onUpdates(updates);
    }
  }

  private noteAnswer(sentAt: number): void {
    if (this.hasRead && sentAt - this.answeredAt > OUTAGE_MILLISECONDS) {
      this.outageEndedAt = sentAt;
    }
    this.answeredAt = sentAt;
    this.confirmed = Math.max(this.confirmed, sentAt);
  }

  private isAfterOutage(now: number): boolean {
    return now - this.outageEndedAt < OUTAGE_MILLISECONDS;
  }
}
