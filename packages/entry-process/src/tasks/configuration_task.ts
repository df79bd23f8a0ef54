/**
 * The task that keeps the configuration up to date from the log and, while the
 * log cannot be read, from peers.
 */
import {
  type Configuration,
  configurationOf,
  EMPTY_CONFIGURATION,
  foldAfterLoss,
  foldRecords,
  laterConfiguration,
  type LogRecord,
  type Member,
  rendezvousWinner,
  snapshotOf,
  type SnapshotRecord,
} from '@lacewingwinch/decisions';
import type {PeerClient} from '@lacewingwinch/entry-hosts';
import type {EventLog, Metrics} from '@lacewingwinch/observability';
import type {LogPage, LogService} from '@lacewingwinch/platform';
import {v4 as uuidV4} from 'uuid';

import {messageOf} from '../util/message_of.js';
import {pause} from '../util/pause.js';
import {followStream, type StreamFollower} from './follow_stream.js';

/** Milliseconds within which a peer must send its configuration. */
const FETCH_TIMEOUT_MILLISECONDS = 1000;

/** Milliseconds between two checks whether to recover from peers. */
const RECOVERY_PERIOD_MILLISECONDS = 250;

/** Maximum number of live peers queried if the log is unreadable at start. */
const MAXIMUM_RECOVERY_PEERS = 5;

/** Dependencies of `ConfigurationTask`. */
export interface ConfigurationTaskDependencies {
  readonly log: LogService;
  readonly peers: PeerClient;
  readonly events: EventLog;
  readonly metrics: Metrics;
  readonly snapshotSeconds: number;
  readonly hostId: string;
  /** Returns the other entry hosts that are not gone. */
  readonly livePeers: () => readonly Member[];
  /** Returns the entry hosts that serve, including this one if it does. */
  readonly servingHosts: () => readonly Member[];
  readonly clock: () => number;
}

/** Source of the first configuration; `none` while there is none. */
export type ReadySource = 'log' | 'none' | 'peers';

/** Follows the configuration stream and provides the current configuration. */
export class ConfigurationTask implements StreamFollower {
  private configuration: Configuration = EMPTY_CONFIGURATION;
  private source: ReadySource = 'none';
  private isReadable = false;
  private lastSnapshotOffset = -1;
  private lastSnapshotTime = 0;
  private recordsSinceLoss: LogRecord[] = [];
  private fetchingFrom: string | undefined;

  constructor(private readonly dependencies: ConfigurationTaskDependencies) {}

  /** The configuration in force. */
  get current(): Configuration {
    return this.configuration;
  }

  /** Offset of the last record that the current configuration includes. */
  get readTo(): number {
    return this.configuration.readTo;
  }

  /** Source of the first configuration; `none` while there is none. */
  get readySource(): ReadySource {
    return this.source;
  }

  /** Whether the last read of the log succeeded. */
  get isLogReadable(): boolean {
    return this.isReadable;
  }

  /** Runs until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const {log, events} = this.dependencies;
    await Promise.all([
      followStream(log, 'configuration', this, events, signal),
      this.recoverFromPeers(signal),
      this.appendSnapshots(signal),
    ]);
  }

  setReadable(isReadable: boolean): void {
    this.isReadable = isReadable;
  }

  onPage(page: LogPage): void {
    const hasLoss =
      page.earliest > this.readTo + 1 || this.recordsSinceLoss.length > 0;
    if (hasLoss) {
      this.foldPageAfterLoss(page);
    } else {
      this.adopt(foldRecords(this.configuration, page.records));
    }
    this.trackSnapshots(page.records);
    if (this.readTo >= page.tail - 1) {
      this.markReady('log');
    }
  }

  /** Returns the configuration in the form sent to peers and operators. */
  snapshot(): SnapshotRecord {
    return snapshotOf(this.configuration);
  }

  /** Handles a report that `peer` has read the log up to `readTo`. */
  onPeerAhead(peer: Member, readTo: number): void {
    const isNeeded = !this.isReadable && readTo > this.readTo;
    if (isNeeded && this.fetchingFrom === undefined) {
      this.fetchingFrom = peer.hostId;
      void this.fetchFrom(peer).finally(() => {
        this.fetchingFrom = undefined;
      });
    }
  }

  private foldPageAfterLoss(page: LogPage): void {
    this.recordsSinceLoss.push(...page.records);
    const earliest = this.recordsSinceLoss[0]?.offset ?? page.earliest;
    const recovered = foldAfterLoss(this.recordsSinceLoss, earliest);
    if (recovered !== undefined) {
      this.recordsSinceLoss = [];
      this.adopt(laterConfiguration(this.configuration, recovered));
      return;
    }
    if ((page.records.at(-1)?.offset ?? -1) >= page.tail - 1) {
      const {earliest: first} = page;
      this.dependencies.events.write(2006, {
        stream: 'configuration',
        earliest: first,
      });
      this.recordsSinceLoss = [];
    }
  }

  private adopt(next: Configuration): void {
    const isNewer = next.version > this.configuration.version;
    this.configuration = next;
    if (isNewer) {
      const {version} = next;
      this.dependencies.events.write(2001, {version});
      this.dependencies.metrics.configurationVersion.set(version);
    }
  }

  private markReady(source: ReadySource): void {
    if (this.source === 'none') {
      this.source = source;
    }
  }

  private async recoverFromPeers(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (this.source === 'none' && !this.isReadable) {
        await this.fetchFromPeers();
      }
      await pause(RECOVERY_PERIOD_MILLISECONDS, signal);
    }
  }

  /**
   * Recovers the configuration as in Viewstamped Replication Revisited: only
   * responses of serving peers count, and a new nonce rules out responses to
   * earlier requests.
   */
  private async fetchFromPeers(): Promise<void> {
    const peers = this.dependencies
      .livePeers()
      .slice(0, MAXIMUM_RECOVERY_PEERS);
    const answers = await Promise.all(peers.map(peer => this.fetchFrom(peer)));
    const count = answers.filter(isServing => isServing).length;
    if (count > 0 && this.source === 'none') {
      this.markReady('peers');
      const {version} = this.configuration;
      this.dependencies.events.write(2004, {version, peers: count});
    }
  }

  private async fetchFrom(peer: Member): Promise<boolean> {
    const nonce = uuidV4();
    try {
      const answer = await this.dependencies.peers.call(
        peer.addresses.peers,
        'configuration.fetch',
        {nonce},
        FETCH_TIMEOUT_MILLISECONDS,
      );
      const received = configurationOf(answer.snapshot);
      if (answer.nonce !== nonce || !answer.isServing || !received) {
        return false;
      }
      this.adopt(laterConfiguration(this.configuration, received));
      return true;
    } catch {
      return false;
    }
  }

  private trackSnapshots(records: readonly LogRecord[]): void {
    for (const {offset, time, data} of records) {
      const isSnapshot =
        typeof data === 'object' &&
        data !== null &&
        'type' in data &&
        data.type === 'snapshot';
      if (isSnapshot) {
        this.lastSnapshotOffset = offset;
        this.lastSnapshotTime = time;
      }
    }
  }

  private async appendSnapshots(signal: AbortSignal): Promise<void> {
    const period = this.dependencies.snapshotSeconds * 1000;
    while (!signal.aborted) {
      await pause(Math.min(period, 1000), signal);
      const isDue =
        this.dependencies.clock() - this.lastSnapshotTime >= period &&
        this.readTo > this.lastSnapshotOffset &&
        this.source !== 'none' &&
        this.isReadable;
      if (isDue && this.isSnapshotAppender()) {
        await this.appendSnapshot();
      }
    }
  }

  private isSnapshotAppender(): boolean {
    const hosts = this.dependencies.servingHosts().map(({hostId}) => hostId);
    return rendezvousWinner('snapshot', hosts) === this.dependencies.hostId;
  }

  private async appendSnapshot(): Promise<void> {
    const {events, log} = this.dependencies;
    const snapshot = this.snapshot();
    this.lastSnapshotTime = this.dependencies.clock();
    try {
      await log.append('configuration', snapshot);
      events.write(2005, {upTo: snapshot.upTo});
    } catch (error) {
      events.write(2002, {stream: 'configuration', error: messageOf(error)});
    }
  }
}
