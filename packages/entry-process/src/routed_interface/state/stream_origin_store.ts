/**
 * Keeps the origins of this host's streams in the store while the history of software
 * versions does not determine them, for the case that all hosts that know them end. Each
 * host has one record, which it replaces when streams have begun; nothing is written
 * while a service has one version and its history has no gap.
 */
import {
  type DatedOrigin,
  decodeOrigins,
  encodeOrigins,
  eraOf,
  type StreamOrigin,
} from '@lacewingwinch/decisions';
import type {EventLog} from '@lacewingwinch/observability';
import type {StoreClient} from '@lacewingwinch/platform';

import {messageOf} from '../../util/message_of.js';

/** Milliseconds within which the store must answer. */
const STORE_TIMEOUT_MILLISECONDS = 600;

/** Shortest time for which origins are collected into one write. */
const COLLECTION_MILLISECONDS = 300;

/** The same for each host, so that the writes of large fleets stay few. */
const COLLECTION_MILLISECONDS_PER_HOST = 10;

/** Milliseconds after a write that failed until the next one. */
const RETRY_MILLISECONDS = 1000;

/** Largest number of origins that a host keeps in the store, the latest ones. */
const MAXIMUM_ORIGINS = 1000;

/** Milliseconds for which records that were read are used again. */
const CACHE_MILLISECONDS = 250;

/** Dependencies of `StreamOriginStore`. */
export interface StreamOriginStoreDependencies {
  readonly store: Pick<StoreClient, 'appendKeyed' | 'newest'>;
  readonly events: EventLog;
  /** Returns milliseconds since the epoch, the same on all hosts. */
  readonly trueTime: () => number;
  readonly hostId: string;
  readonly hostCount: () => number;
}

interface ReadOrigins {
  readonly byAttempt: ReadonlyMap<string, DatedOrigin>;
  readonly readAt: number;
}

/** The origins in the store. Errors are logged, and the calls return. */
export class StreamOriginStore {
  /** Streams that this host has begun, the oldest first. */
  private readonly own = new Map<string, DatedOrigin>();
  /** Era of the store at the last write; undefined before the first one. */
  private writtenEra: number | undefined;
  /** Whether `own` has what an earlier process of this host has written. */
  private hasOwnOfBefore = false;
  private timer: NodeJS.Timeout | undefined;
  private isWriting = false;
  private read: ReadOrigins | undefined;
  private reading: Promise<ReadOrigins | undefined> | undefined;

  constructor(private readonly dependencies: StreamOriginStoreDependencies) {}

  /** Writes the origin of a stream with the next ones. */
  add(origin: StreamOrigin): void {
    const {trueTime} = this.dependencies;
    const until = trueTime() + origin.lifetimeMilliseconds;
    this.own.set(origin.attemptId, {origin, until});
    const [oldest] = this.own.keys();
    if (this.own.size > MAXIMUM_ORIGINS && oldest !== undefined) {
      this.own.delete(oldest);
    }
    this.scheduleWrite(this.collectionMilliseconds());
  }

  /**
   * Writes the origins again if the store has come back from an older copy since,
   * which may lack them.
   */
  onEra(era: number): void {
    if (this.own.size > 0 && era > (this.writtenEra ?? Infinity)) {
      this.scheduleWrite(this.collectionMilliseconds());
    }
  }

  /** Leaves out a stream that is complete when origins are written next. */
  forget(attemptId: string): void {
    this.own.delete(attemptId);
  }

  /** Returns the origin of a stream; undefined if the store has none. */
  async find(attemptId: string): Promise<StreamOrigin | undefined> {
    const now = this.dependencies.trueTime();
    const isFresh = now - (this.read?.readAt ?? -Infinity) < CACHE_MILLISECONDS;
    const read = isFresh ? this.read : await this.readOnce();
    const found = read?.byAttempt.get(attemptId);
    return found === undefined || found.until <= now ? undefined : found.origin;
  }

  private collectionMilliseconds(): number {
    return Math.max(
      COLLECTION_MILLISECONDS,
      COLLECTION_MILLISECONDS_PER_HOST * this.dependencies.hostCount(),
    );
  }

  private scheduleWrite(milliseconds: number): void {
    this.timer ??= setTimeout(() => {
      this.timer = undefined;
      void this.write();
    }, milliseconds).unref();
  }

  private async write(): Promise<void> {
    if (this.isWriting) {
      this.scheduleWrite(this.collectionMilliseconds());
      return;
    }
    this.isWriting = true;
    try {
      if (!this.hasOwnOfBefore) {
        await this.restoreOwn();
      }
      await this.append();
    } catch (error) {
      this.logError(error);
      this.scheduleWrite(RETRY_MILLISECONDS);
    } finally {
      this.isWriting = false;
    }
  }

  private async append(): Promise<void> {
    const {store, hostId, trueTime} = this.dependencies;
    const now = trueTime();
    for (const [attemptId, {until}] of this.own) {
      if (until <= now) {
        this.own.delete(attemptId);
      }
    }
    const result = await store.appendKeyed(
      'streams',
      hostId,
      encodeOrigins([...this.own.values()]),
      {timeoutMilliseconds: STORE_TIMEOUT_MILLISECONDS},
    );
    if (result.kind === 'appended') {
      this.writtenEra = eraOf(result.position);
    }
  }

  /** Adds the origins that an earlier process of this host has written. */
  private async restoreOwn(): Promise<void> {
    const records = await this.readRecords();
    const former = records.get(this.dependencies.hostId) ?? [];
    for (const dated of former.slice(-MAXIMUM_ORIGINS)) {
      const {attemptId} = dated.origin;
      if (!this.own.has(attemptId)) {
        this.own.set(attemptId, dated);
      }
    }
    this.hasOwnOfBefore = true;
  }

  /** Reads the origins of all hosts; concurrent calls share a read. */
  private readOnce(): Promise<ReadOrigins | undefined> {
    this.reading ??= this.readAll().finally(() => {
      this.reading = undefined;
    });
    return this.reading;
  }

  private async readAll(): Promise<ReadOrigins | undefined> {
    const readAt = this.dependencies.trueTime();
    try {
      const records = await this.readRecords();
      const byAttempt = new Map(
        [...records.values()]
          .flat()
          .map(dated => [dated.origin.attemptId, dated] as const),
      );
      this.read = {byAttempt, readAt};
      return this.read;
    } catch (error) {
      this.logError(error);
      return undefined;
    }
  }

  /** Returns the origins in the store by host. */
  private async readRecords(): Promise<
    ReadonlyMap<string, readonly DatedOrigin[]>
  > {
    const {records} = await this.dependencies.store.newest('streams', {
      timeoutMilliseconds: STORE_TIMEOUT_MILLISECONDS,
    });
    return new Map(
      records.map(({key, value}) => [
        key,
        value === undefined ? [] : decodeOrigins(value),
      ]),
    );
  }

  private logError(error: unknown): void {
    const {events} = this.dependencies;
    events.write(2002, {stream: 'streams', error: messageOf(error)});
  }
}
