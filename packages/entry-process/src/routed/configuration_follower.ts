/**
 * The task that follows the published configuration.
 */
import type {Belief, RoutingConfiguration} from '@lacewingwinch/decisions';
import type {EventLog} from '@lacewingwinch/observability';
import {
  CONFIGURATION_KEY,
  decodeConfiguration,
  decodeKeyedRecord,
  type KeyedRecord,
  type StoreClient,
} from '@lacewingwinch/platform';

import {isAborted} from '../util/is_aborted.js';
import {messageOf} from '../util/message_of.js';
import {pause} from '../util/pause.js';
import {Signal} from '../util/signal.js';
import type {Clocks} from './clocks.js';
import {StoreReachability} from './store_reachability.js';

/**
 * Milliseconds that a read waits at the store for a change. The age of the
 * configuration grows to this at most while the store answers; it is a small
 * part of the 5,000 ms within which a revoked key must be out of use.
 */
const READ_WAIT_MILLISECONDS = 800;

/** Milliseconds for an answer of the store beyond the wait; it takes about 4. */
const STORE_TIMEOUT_MILLISECONDS = 600;

/** Milliseconds after a failed read until the next. */
const RETRY_MILLISECONDS = 200;

/**
 * Milliseconds between two looks at whether to read, as long as nobody tells of
 * a newer version; the relay asks as often.
 */
const LOOK_MILLISECONDS = 300;

/**
 * Age of the configuration from which on a host reads that is told by others:
 * what they tell is up to 1,600 ms old, and it asks every 300 ms.
 */
const UNTOLD_MILLISECONDS = 2100;

/** What the task needs from others. */
export interface ConfigurationFollowerContext {
  readonly store: StoreClient;
  readonly events: EventLog;
  readonly clocks: Clocks;
  /** Whether this host reads the store, or others read it for this one. */
  readonly readsStore: () => boolean;
  readonly onChange: (configuration: RoutingConfiguration) => void;
}

/** Follows the configuration; never goes back to an older version. */
export class ConfigurationFollower {
  private belief: Belief<RoutingConfiguration> | undefined;
  private document: Buffer | undefined;
  private next: number | undefined;
  /** Newest version that another host told of. */
  private newestVersion = -Infinity;
  private readonly toldNewer = new Signal();
  private readonly reachability: StoreReachability;

  constructor(private readonly context: ConfigurationFollowerContext) {
    this.reachability = new StoreReachability('configuration', context.events);
  }

  /** The configuration and when it was last known to be the newest. */
  get current(): Belief<RoutingConfiguration> | undefined {
    return this.belief;
  }

  /** The configuration as published, for other hosts. */
  get published(): Buffer | undefined {
    return this.document;
  }

  /**
   * Takes what another host knew to be the newest at `confirmedAt`. A newer
   * version without its document is read from the store.
   */
  takeRelayed(
    version: number,
    document: Buffer | undefined,
    confirmedAt: number,
  ): void {
    if (document !== undefined) {
      this.take(document);
    }
    if (version > this.newestVersion) {
      this.newestVersion = version;
      this.toldNewer.notify();
    }
    this.confirm(confirmedAt, version);
  }

  /** Runs until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!isAborted(signal)) {
      if (!this.mustRead()) {
        await this.toldNewer.nextWithin(LOOK_MILLISECONDS, signal);
        continue;
      }
      try {
        await this.readOnce();
        this.reachability.note(undefined);
      } catch (error) {
        this.reachability.note(messageOf(error));
        await pause(RETRY_MILLISECONDS, signal);
      }
    }
  }

  private async readOnce(): Promise<void> {
    const {store, clocks} = this.context;
    const sentAt = clocks.counting();
    if (this.next === undefined) {
      const {records, end} = await store.newest('configuration', {
        timeoutMilliseconds: STORE_TIMEOUT_MILLISECONDS,
      });
      records.forEach(record => this.takeRecord(record));
      this.next = end;
      this.confirm(sentAt, this.belief?.value.version);
      return;
    }
    const page = await store.read('configuration', this.next, {
      waitMilliseconds: READ_WAIT_MILLISECONDS,
      timeoutMilliseconds: STORE_TIMEOUT_MILLISECONDS,
    });
    switch (page.kind) {
      case 'expired':
        this.next = undefined;
        return;
      case 'records':
        for (const record of page.records) {
          const keyed = decodeKeyedRecord(record);
          if (keyed !== undefined) {
            this.takeRecord(keyed);
          }
        }
        this.next = page.next;
        if (page.next >= page.end) {
          this.confirm(sentAt, this.belief?.value.version);
        }
    }
  }

  /** A host that does not read the store does so for what it is not told. */
  private mustRead(): boolean {
    const {readsStore, clocks} = this.context;
    const {value, confirmedAt} = this.belief ?? {};
    return (
      readsStore() ||
      confirmedAt === undefined ||
      this.newestVersion > (value?.version ?? -Infinity) ||
      clocks.counting() - confirmedAt > UNTOLD_MILLISECONDS
    );
  }

  private takeRecord({key, value}: KeyedRecord): void {
    if (key === CONFIGURATION_KEY && value !== undefined) {
      this.take(value);
    }
  }

  private take(document: Buffer): void {
    const configuration = decodeConfiguration(document);
    if (configuration === undefined) {
      this.context.events.write(2007, {bytes: document.length});
      return;
    }
    const known = this.belief?.value.version ?? -Infinity;
    if (configuration.version <= known) {
      return;
    }
    this.belief = {
      value: configuration,
      confirmedAt: this.belief?.confirmedAt ?? -Infinity,
    };
    this.document = Buffer.from(document);
    this.context.events.write(2001, {version: configuration.version});
    this.context.onChange(configuration);
  }

  /** A confirmation counts only for the version that it was made of. */
  private confirm(confirmedAt: number, version: number | undefined): void {
    const {belief} = this;
    if (belief === undefined || belief.value.version !== version) {
      return;
    }
    this.belief = {
      value: belief.value,
      confirmedAt: Math.max(belief.confirmedAt, confirmedAt),
    };
  }
}
