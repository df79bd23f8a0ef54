/**
 * The task that follows the configuration.
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
import type {PeerCaller} from '@lacewingwinch/entry-hosts';
import type {EventLog, Metrics} from '@lacewingwinch/observability';
import type {LogPage, LogService} from '@lacewingwinch/platform';
import {v4 as uuidV4} from 'uuid';

import {messageOf} from '../util/message_of.js';
import {pause} from '../util/pause.js';
import {followStream, type StreamFollower} from './follow_stream.js';

/** Milliseconds that a peer has to send its configuration. */
const FETCH_TIMEOUT_MILLISECONDS = 1000;

/** Milliseconds between two looks at whether the log or a peer is ahead. */
const RECOVERY_PERIOD_MILLISECONDS = 250;

/** Serving peers that are asked when the log cannot be read at the start. */
const PEERS_TO_ASK = 5;

/** What the task needs from others. */
export interface ConfigurationTaskContext {
  readonly log: LogService;
  readonly peers: PeerCaller;
  readonly events: EventLog;
  readonly metrics: Metrics;
  readonly snapshotSeconds: number;
  readonly hostId: string;
  /** Other entry hosts that are worth a message. */
  readonly livePeers: () => readonly Member[];
  /** Entry hosts that serve, this one included. */
  readonly servingHosts: () => readonly Member[];
  readonly clock: () => number;
}

/** How the task came by the configuration that it serves first. */
export type ReadySource = 'log' | 'none' | 'peers';

/** Follows the configuration stream and publishes the current configuration. */
export class ConfigurationTask implements StreamFollower {
  private configuration: Configuration = EMPTY_CONFIGURATION;
  private source: ReadySource = 'none';
  private isReadable = false;
  private lastSnapshot = -1;
  private lastSnapshotTime = 0;
  private beforeSnapshot: LogRecord[] = [];
  private fetchingFrom: string | undefined;

  constructor(private readonly context: ConfigurationTaskContext) {}

  /** The configuration in force. */
  get current(): Configuration {
    return this.configuration;
  }

  /** Offset of the last record that is in force. */
  get readTo(): number {
    return this.configuration.readTo;
  }

  /** Where the first configuration came from; `none` before that. */
  get readySource(): ReadySource {
    return this.source;
  }

  /** Whether the log answered the last read. */
  get isLogReadable(): boolean {
    return this.isReadable;
  }

  /** Runs until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const {log, events} = this.context;
    await Promise.all([
      followStream(log, 'configuration', this, events, signal),
      this.recoverFromPeers(signal),
      this.appendSnapshots(signal),
    ]);
  }

  onReadable(isReadable: boolean): void {
    this.isReadable = isReadable;
  }

  onPage(page: LogPage): void {
    const hasLoss =
      page.earliest > this.readTo + 1 || this.beforeSnapshot.length > 0;
    if (hasLoss) {
      this.foldPageAfterLoss(page);
    } else {
      this.adopt(foldRecords(this.configuration, page.records));
    }
    this.noteSnapshots(page.records);
    if (this.readTo >= page.tail - 1) {
      this.markReady('log');
    }
  }

  /** The configuration, as other hosts and operators are given it. */
  snapshot(): SnapshotRecord {
    return snapshotOf(this.configuration);
  }

  /** Is told that `peer` has read up to `readTo`. */
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
    this.beforeSnapshot.push(...page.records);
    const earliest = this.beforeSnapshot[0]?.offset ?? page.earliest;
    const recovered = foldAfterLoss(this.beforeSnapshot, earliest);
    if (recovered !== undefined) {
      this.beforeSnapshot = [];
      this.adopt(laterConfiguration(this.configuration, recovered));
      return;
    }
    if ((page.records.at(-1)?.offset ?? -1) >= page.tail - 1) {
      const {earliest: first} = page;
      this.context.events.write(2006, {
        stream: 'configuration',
        earliest: first,
      });
      this.beforeSnapshot = [];
    }
  }

  private adopt(next: Configuration): void {
    const isNewer = next.version > this.configuration.version;
    this.configuration = next;
    if (isNewer) {
      const {version} = next;
      this.context.events.write(2001, {version});
      this.context.metrics.configurationVersion.set(version);
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
        await this.askPeers();
      }
      await pause(RECOVERY_PERIOD_MILLISECONDS, signal);
    }
  }

  /**
   * Recovery as in Viewstamped Replication Revisited: only peers that serve
   * count, under a nonce that no earlier answer can carry.
   */
  private async askPeers(): Promise<void> {
    const peers = this.context.livePeers().slice(0, PEERS_TO_ASK);
    const answers = await Promise.all(peers.map(peer => this.fetchFrom(peer)));
    const count = answers.filter(isServing => isServing).length;
    if (count > 0 && this.source === 'none') {
      this.markReady('peers');
      const {version} = this.configuration;
      this.context.events.write(2004, {version, peers: count});
    }
  }

  private async fetchFrom(peer: Member): Promise<boolean> {
    const nonce = uuidV4();
    try {
      const answer = await this.context.peers.call(
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

  private noteSnapshots(records: readonly LogRecord[]): void {
    for (const {offset, time, data} of records) {
      const isSnapshot =
        typeof data === 'object' &&
        data !== null &&
        'type' in data &&
        data.type === 'snapshot';
      if (isSnapshot) {
        this.lastSnapshot = offset;
        this.lastSnapshotTime = time;
      }
    }
  }

  private async appendSnapshots(signal: AbortSignal): Promise<void> {
    const period = this.context.snapshotSeconds * 1000;
    while (!signal.aborted) {
      await pause(Math.min(period, 1000), signal);
      const isDue =
        this.context.clock() - this.lastSnapshotTime >= period &&
        this.readTo > this.lastSnapshot &&
        this.source !== 'none' &&
        this.isReadable;
      if (isDue && this.isSnapshotAppender()) {
        await this.appendSnapshot();
      }
    }
  }

  private isSnapshotAppender(): boolean {
    const hosts = this.context.servingHosts().map(({hostId}) => hostId);
    return rendezvousWinner('snapshot', hosts) === this.context.hostId;
  }

  private async appendSnapshot(): Promise<void> {
    const {events, log} = this.context;
    const snapshot = this.snapshot();
    this.lastSnapshotTime = this.context.clock();
    try {
      await log.append('configuration', snapshot);
      events.write(2005, {upTo: snapshot.upTo});
    } catch (error) {
      events.write(2002, {stream: 'configuration', error: messageOf(error)});
    }
  }
}
