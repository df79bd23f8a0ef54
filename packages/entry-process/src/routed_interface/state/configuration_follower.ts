/**
 * The task that keeps the published configuration up to date.
 */
import type {
  ConfirmedValue,
  RoutingConfiguration,
} from '@lacewingwinch/decisions';
import type {EventLog} from '@lacewingwinch/observability';
import {
  CONFIGURATION_KEY,
  decodeConfiguration,
  decodeKeyedRecord,
  type KeyedRecord,
  type StoreClient,
} from '@lacewingwinch/platform';

import {ChangeNotifier} from '../../util/change_notifier.js';
import type {Clocks} from '../../util/clocks.js';
import {isAborted} from '../../util/is_aborted.js';
import {messageOf} from '../../util/message_of.js';
import {pause} from '../../util/pause.js';
import {StoreReachability} from './store_reachability.js';

/**
 * Milliseconds that a read waits at the store for a change. The configuration's
 * age grows to at most this value while the store responds, a small part of the
 * 5,000 ms within which a revoked key must stop working.
 */
const READ_WAIT_MILLISECONDS = 800;

/**
 * Milliseconds to wait for the store's response beyond the read wait; a
 * response takes about 4 ms.
 */
const STORE_TIMEOUT_MILLISECONDS = 600;

/** Milliseconds between a failed read and the next one. */
const RETRY_DELAY_MILLISECONDS = 200;

/**
 * Milliseconds between two checks whether to read the store while no other host
 * reports a newer version; the relay fetches at the same interval.
 */
const CHECK_PERIOD_MILLISECONDS = 300;

/**
 * Age of the configuration above which a host that relies on other hosts reads
 * the store itself: the state they relay is up to 1,600 ms old, and it is
 * fetched every 300 ms.
 */
const MAXIMUM_RELAYED_AGE_MILLISECONDS = 2100;

/** Dependencies of `ConfigurationFollower`. */
export interface ConfigurationFollowerDependencies {
  readonly store: StoreClient;
  readonly events: EventLog;
  readonly clocks: Clocks;
  /**
   * Returns whether this host reads the store itself instead of relying on
   * other hosts.
   */
  readonly isStoreReader: () => boolean;
  readonly onChange: (configuration: RoutingConfiguration) => void;
  /** Called with each record that is not the configuration. */
  readonly onOtherRecord?: (record: KeyedRecord) => void;
}

/** Follows the configuration; never returns to an older version. */
export class ConfigurationFollower {
  private confirmed: ConfirmedValue<RoutingConfiguration> | undefined;
  private document: Buffer | undefined;
  private next: number | undefined;
  /** Newest version reported by another host. */
  private newestVersion = -Infinity;
  private readonly newerVersionNotifier = new ChangeNotifier();
  private readonly reachability: StoreReachability;

  constructor(
    private readonly dependencies: ConfigurationFollowerDependencies,
  ) {
    this.reachability = new StoreReachability(
      'configuration',
      dependencies.events,
    );
  }

  /**
   * The configuration and the time at which it was last confirmed as the
   * newest.
   */
  get current(): ConfirmedValue<RoutingConfiguration> | undefined {
    return this.confirmed;
  }

  /** The configuration document as published, for relaying to other hosts. */
  get publishedDocument(): Buffer | undefined {
    return this.document;
  }

  /**
   * Accepts a version that another host confirmed as the newest at
   * `confirmedAt`. A newer version without its document is read from the store.
   */
  acceptRelayed(
    version: number,
    document: Buffer | undefined,
    confirmedAt: number,
  ): void {
    if (document !== undefined) {
      this.applyDocument(document);
    }
    if (version > this.newestVersion) {
      this.newestVersion = version;
      this.newerVersionNotifier.notify();
    }
    this.confirm(confirmedAt, version);
  }

  /** Follows the configuration until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!isAborted(signal)) {
      if (!this.mustReadStore()) {
        await this.newerVersionNotifier.nextWithin(
          CHECK_PERIOD_MILLISECONDS,
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

  private async readOnce(): Promise<void> {
    const {store, clocks} = this.dependencies;
    const sentAt = clocks.suspensionAware();
    if (this.next === undefined) {
      const {records, end} = await store.newest('configuration', {
        timeoutMilliseconds: STORE_TIMEOUT_MILLISECONDS,
      });
      records.forEach(record => this.applyRecord(record));
      this.next = end;
      this.confirm(sentAt, this.confirmed?.value.version);
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
            this.applyRecord(keyed);
          }
        }
        this.next = page.next;
        if (page.next >= page.end) {
          this.confirm(sentAt, this.confirmed?.value.version);
        }
    }
  }

  /**
   * Returns whether to read the store. A host that relies on other hosts reads
   * it only for state that they have not relayed.
   */
  private mustReadStore(): boolean {
    const {isStoreReader, clocks} = this.dependencies;
    const {value, confirmedAt} = this.confirmed ?? {};
    return (
      isStoreReader() ||
      confirmedAt === undefined ||
      this.newestVersion > (value?.version ?? -Infinity) ||
      clocks.suspensionAware() - confirmedAt > MAXIMUM_RELAYED_AGE_MILLISECONDS
    );
  }

  private applyRecord(record: KeyedRecord): void {
    const {key, value} = record;
    if (key !== CONFIGURATION_KEY) {
      this.dependencies.onOtherRecord?.(record);
    } else if (value !== undefined) {
      this.applyDocument(value);
    }
  }

  private applyDocument(document: Buffer): void {
    const configuration = decodeConfiguration(document);
    if (configuration === undefined) {
      this.dependencies.events.write(2007, {bytes: document.length});
      return;
    }
    const currentVersion = this.confirmed?.value.version ?? -Infinity;
    if (configuration.version <= currentVersion) {
      return;
    }
    this.confirmed = {
      value: configuration,
      confirmedAt: this.confirmed?.confirmedAt ?? -Infinity,
    };
    this.document = Buffer.from(document);
    this.dependencies.events.write(2001, {version: configuration.version});
    this.dependencies.onChange(configuration);
  }

  /**
   * Updates the confirmation time. A confirmation applies only to the version
   * for which it was made, so it is ignored if `version` is not the current
   * one. While another host knows a newer version, nothing is confirmed: the
   * store may have come back from an older copy.
   */
  private confirm(confirmedAt: number, version: number | undefined): void {
    const {confirmed} = this;
    if (
      confirmed === undefined ||
      confirmed.value.version !== version ||
      version < this.newestVersion
    ) {
      return;
    }
    this.confirmed = {
      value: confirmed.value,
      confirmedAt: Math.max(confirmed.confirmedAt, confirmedAt),
    };
  }
}
