/**
 * The lifecycle of an entry process on the platform: start, serve, leave, stop.
 */
import {setMaxListeners} from 'node:events';

import type {DirectoryAnswer} from '@lacewingwinch/callers';
import {
  type RoutingConfiguration,
  ServiceRetryBudgets,
  TrueTime,
  UpstreamAnnouncements,
  type UpstreamChange,
  UpstreamHealth,
  UpstreamLimits,
  UsageWindows,
} from '@lacewingwinch/decisions';
import {createPeerClient, type PeerClient} from '@lacewingwinch/entry-hosts';
import {
  createEventLog,
  createMetrics,
  type EventLog,
  type Metrics,
} from '@lacewingwinch/observability';
import {
  decodeDirectoryCall,
  type PlatformSettings,
  StoreClient,
} from '@lacewingwinch/platform';
import {canConnect, ConnectionPool} from '@lacewingwinch/upstreams';
import {v7 as uuidV7} from 'uuid';

import type {MembershipTask} from '../tasks/membership_task.js';
import {PartWatch} from '../tasks/part_watch.js';
import {messageOf} from '../util/message_of.js';
import {pause} from '../util/pause.js';
import {type Clocks, createProcessClocks} from './clocks.js';
import {ConfigurationFollower} from './configuration_follower.js';
import {CrashWatch} from './crash_watch.js';
import {answerDirectoryCall} from './directory_answers.js';
import type {DutyTask} from './duty_task.js';
import {FleetView} from './fleet_view.js';
import {PartVerdictStore} from './part_verdict_store.js';
import {QuotaExchange} from './quota_exchange.js';
import {RequiredState} from './required_state.js';
import {createRoutedDuties} from './routed_duties.js';
import {RoutedFront} from './routed_front.js';
import {openListeners, type RoutedListeners} from './routed_listeners.js';
import {createRoutedMembership} from './routed_membership.js';
import {RoutedPlacement} from './routed_placement.js';
import {StateRelay} from './state_relay.js';
import {StreamOriginExchange} from './stream_origin_exchange.js';
import {UpstreamFollower} from './upstream_follower.js';
import {UsagePush} from './usage_push.js';
import {waitUntilDrained} from './wait_until_drained.js';

/**
 * Maximum age of the keys, as a share of the time within which a revocation
 * must take effect.
 */
const KEY_AGE_SHARE = 0.9;

/**
 * Milliseconds after the stop signal from which new requests are refused as not
 * executed: the grace period may end before they complete.
 */
const LAST_REQUEST_MILLISECONDS = 2900;

/** Milliseconds within which an upstream that lives accepts a connection. */
const CONNECT_TIMEOUT_MILLISECONDS = 300;

/** Milliseconds between two checks of a condition. */
const POLL_PERIOD_MILLISECONDS = 50;

/** One entry process on the platform. */
export class RoutedProcess {
  private readonly clocks: Clocks = createProcessClocks();
  private readonly events: EventLog;
  private readonly metrics: Metrics;
  private readonly store: StoreClient;
  private readonly pool: ConnectionPool;
  private readonly peers: PeerClient = createPeerClient();
  private readonly health = new UpstreamHealth();
  private readonly announcements = new UpstreamAnnouncements();
  private readonly upstreamLimits = new UpstreamLimits();
  private readonly retryBudgets: ServiceRetryBudgets;
  private readonly configuration: ConfigurationFollower;
  private readonly upstreams: UpstreamFollower;
  private readonly placement: RoutedPlacement;
  private readonly membership: MembershipTask;
  private readonly fleet: FleetView;
  private readonly front: RoutedFront;
  private readonly trueTime = new TrueTime();
  private readonly usage: UsageWindows;
  private readonly usagePush: UsagePush;
  private readonly duties: DutyTask | undefined;
  private readonly quotas: QuotaExchange;
  private readonly relay: StateRelay;
  private readonly crashes: CrashWatch;
  private readonly parts: PartWatch;
  private readonly streams: StreamOriginExchange;
  private readonly state: RequiredState;
  private readonly startedAt: number;
  /** Identity of this process, new at each start. */
  private readonly processId = uuidV7();
  private readonly stopping = new AbortController();
  private listeners: RoutedListeners | undefined;
  private leaving: Promise<void> | undefined;
  private leavingSince = Infinity;

  constructor(
    private settings: PlatformSettings,
    /**
     * Port for metrics, on the IP address for clients; undefined to serve no
     * metrics.
     */
    private readonly metricsPort?: number,
  ) {
    const {clocks} = this;
    this.startedAt = clocks.steady();
    this.events = createEventLog(settings.hostId, 'info');
    this.metrics = createMetrics();
    this.store = new StoreClient(settings.storeAddress, (call, end) =>
      this.metrics.storeCalls.inc({call, end: String(end)}),
    );
    this.pool = new ConnectionPool(clocks.steady);
    this.configuration = new ConfigurationFollower({
      store: this.store,
      events: this.events,
      clocks,
      isStoreReader: () => this.fleet.isStoreReader(),
      onChange: configuration => this.onConfigurationChange(configuration),
    });
    this.upstreams = new UpstreamFollower({
      store: this.store,
      events: this.events,
      clocks,
      isStoreReader: () => this.fleet.isStoreReader(),
      onChanges: changes => this.onUpstreamChanges(changes),
      isFirstStart: settings.isFirstStart,
    });
    this.state = new RequiredState({
      store: this.store,
      configuration: this.configuration,
      upstreams: this.upstreams,
      isFirstStart: settings.isFirstStart,
    });
    this.streams = new StreamOriginExchange({
      hostId: settings.hostId,
      peers: this.peers,
      events: this.events,
      servingHosts: () => this.membership.serving(),
      versions: this.upstreams.list.versions,
      clock: clocks.suspensionAware,
    });
    this.placement = new RoutedPlacement({
      hostId: settings.hostId,
      peers: this.peers,
      events: this.events,
      servingHosts: () => this.membership.serving(),
      clock: clocks.suspensionAware,
      failureDomain: settings.failureDomain,
      upstreams: this.upstreams.list,
      health: this.health,
      announcements: this.announcements,
      cacheRetentionMilliseconds: settings.bounds.reuseWindowMilliseconds * 2,
    });
    this.membership = createRoutedMembership({
      settings: () => this.settings,
      clocks,
      peers: this.peers,
      events: this.events,
      metrics: this.metrics,
      parts: () => this.parts,
      trueTime: this.trueTime,
      version: () => this.configuration.current?.value.version ?? -1,
    });
    this.fleet = new FleetView(
      settings.hostId,
      this.membership,
      this.startedAt,
    );
    this.retryBudgets = new ServiceRetryBudgets({
      ratio: settings.bounds.retryRatio,
      slack: settings.bounds.retrySlack,
      windowMilliseconds: settings.bounds.retryWindowMilliseconds,
    });
    this.usage = new UsageWindows(settings.bounds.usageWindowMilliseconds);
    this.quotas = new QuotaExchange({
      peers: this.peers,
      events: this.events,
      clock: clocks.steady,
      random: Math.random,
      otherHosts: () => this.fleet.otherServingHosts(),
      hostId: settings.hostId,
      startedAt: this.startedAt,
      sharingHostIds: () => this.membership.sharingHostIds(),
      slack: settings.bounds.quotaSlack,
      isFirstStart: settings.isFirstStart,
    });
    this.relay = new StateRelay({
      peers: this.peers,
      events: this.events,
      clocks,
      random: Math.random,
      hostId: settings.hostId,
      servingHosts: () => this.fleet.servingIds(),
      otherHosts: () => this.fleet.otherServingHosts(),
      isStoreReader: () => this.fleet.isStoreReader(),
      configuration: this.configuration,
      upstreams: this.upstreams,
    });
    this.crashes = new CrashWatch({
      hostId: settings.hostId,
      peers: this.peers,
      events: this.events,
      pool: this.pool,
      clock: clocks.steady,
      trueTime: () => this.readTrueTime(),
      servingHosts: () => this.membership.serving(),
    });
    this.parts = new PartWatch({
      hostId: settings.hostId,
      peers: this.peers,
      events: this.events,
      metrics: this.metrics,
      random: Math.random,
      verdicts: new PartVerdictStore({store: this.store, events: this.events}),
      clock: clocks.steady,
      trueTime: () => this.readTrueTime(),
      servingHosts: () => this.membership.serving(),
      canConnect: address => canConnect(address, CONNECT_TIMEOUT_MILLISECONDS),
    });
    this.duties = createRoutedDuties(settings, {
      processId: this.processId,
      store: this.store,
      events: this.events,
      clocks,
      usage: this.usage,
      trueTime: () => this.readTrueTime(),
      servingHosts: () => this.fleet.servingIds(),
      configuration: () => this.configuration.current?.value,
      upstreams: () => this.upstreams.list.all(),
    });
    this.usagePush = new UsagePush({
      processId: this.processId,
      usage: this.usage,
      peers: this.peers,
      candidates: () => this.fleet.othersOf(this.duties?.candidates() ?? []),
      trueTime: () => this.readTrueTime(),
    });
    this.front = this.createFront();
  }

  /**
   * Starts the servers and the tasks, and declares this host serving once
   * configuration and upstreams are known.
   */
  async start(): Promise<void> {
    const {hostId, failureDomain, addresses} = this.settings;
    setMaxListeners(0, this.stopping.signal);
    this.events.write(1001, {hostId, failureDomain});
    this.listeners = await this.listen();
    this.monitor('configuration', this.configuration.run(this.stopping.signal));
    this.monitor('upstreams', this.upstreams.run(this.stopping.signal));
    this.monitor('membership', this.membership.run(this.stopping.signal));
    this.monitor('relay', this.relay.run(this.stopping.signal));
    this.monitor('placement', this.placement.run(this.stopping.signal));
    this.monitor('quarantine', this.parts.run(this.stopping.signal));
    this.monitor('usage', this.usagePush.run(this.stopping.signal));
    if (this.duties !== undefined) {
      this.monitor('duties', this.duties.run(this.stopping.signal));
    }
    while (!this.state.isRead && !this.stopping.signal.aborted) {
      await pause(POLL_PERIOD_MILLISECONDS, this.stopping.signal);
    }
    if (this.state.mustBeCompared) {
      await this.relay.compareAtStart(this.stopping.signal);
    }
    this.state.markCurrent();
    if (this.leaving === undefined) {
      this.membership.declare('serving');
      this.events.write(1002, {hostId, address: addresses.callers});
    }
  }

  /**
   * Applies changed settings: seeds and bounds take effect at once, addresses
   * only at the next start.
   */
  reload(settings: PlatformSettings): void {
    this.settings = settings;
    this.events.write(1007, {hostId: settings.hostId});
  }

  /**
   * Logs that changed settings are invalid; the current ones stay in effect.
   */
  logFaultySettings(faults: readonly string[]): void {
    this.events.write(1008, {faults: faults.join('; ')});
  }

  /**
   * Leaves the fleet without cutting off requests if the grace period allows
   * it; resolves when the process has stopped.
   */
  leave(): Promise<void> {
    this.leaving ??= this.leaveOnce();
    return this.leaving;
  }

  /** Logs an error that nothing caught; the process leaves because of it. */
  logUncaught(stack: string): void {
    this.events.write(1009, {hostId: this.settings.hostId, stack});
  }

  private async leaveOnce(): Promise<void> {
    this.leavingSince = this.clocks.steady();
    const {hostId, bounds} = this.settings;
    this.events.write(1003, {hostId, reason: 'signal'});
    this.membership.declare('leaving');
    this.listeners?.callers.startLeaving();
    await waitUntilDrained({
      clock: this.clocks.steady,
      gracePeriodMilliseconds: bounds.gracePeriodMilliseconds,
      runningCount: () => this.front.runningCount,
      signal: this.stopping.signal,
    });
    const cut = this.front.runningCount;
    await this.stopNow();
    this.events.write(1004, {hostId, cut});
  }

  /** Stops at once, without waiting for requests in progress. */
  async stopNow(): Promise<void> {
    this.membership.declare('gone');
    this.listeners?.callers.close();
    this.listeners?.directoryServers.forEach(server => server.close());
    await pause(POLL_PERIOD_MILLISECONDS, this.stopping.signal);
    this.stopping.abort();
    await this.listeners?.peers.close();
    this.peers.close();
    this.pool.close();
    await this.store.close();
  }

  private listen(): Promise<RoutedListeners> {
    const {configuration, upstreams, clocks, metrics, front} = this;
    return openListeners({
      addresses: this.settings.addresses,
      metricsPort: this.metricsPort,
      front,
      directory: (method, target) => this.answerDirectory(method, target),
      metrics: {
        metrics,
        clocks,
        configuration,
        upstreams,
        isHoldingDuties: () => this.duties?.isHolding === true,
      },
      peers: {
        membership: this.membership,
        placement: this.placement,
        relay: this.relay,
        usage: this.usage,
        quotas: this.quotas,
        crashes: this.crashes,
        parts: this.parts,
        streams: this.streams,
        quotaOf: name =>
          configuration.current?.value.workspaces.find(
            workspace => workspace.name === name,
          )?.quota,
      },
      onUnexpected: error =>
        this.events.write(1006, {task: 'callers', error: messageOf(error)}),
    });
  }

  private answerDirectory(method: string, target: string): DirectoryAnswer {
    return answerDirectoryCall(decodeDirectoryCall(method, target), {
      isReady: this.isReady(),
      serving: this.membership.serving(),
      maximumCacheSeconds: this.settings.bounds.discoverySeconds,
    });
  }

  private isReady(): boolean {
    return this.state.isComplete && this.leaving === undefined;
  }

  private onConfigurationChange({limits, version}: RoutingConfiguration): void {
    this.listeners?.callers.setIdleTimeout(limits.idleTimeoutMilliseconds);
    this.listeners?.callers.setHeaderTimeout(limits.headerTimeoutMilliseconds);
    this.metrics.configurationVersion.set(version);
  }

  private createFront(): RoutedFront {
    return new RoutedFront({
      clocks: this.clocks,
      events: this.events,
      metrics: this.metrics,
      pool: this.pool,
      placement: this.placement,
      announcements: this.announcements,
      upstreamLimits: this.upstreamLimits,
      trueTime: () => this.readTrueTime(),
      quotas: this.quotas,
      crashes: this.crashes,
      parts: this.parts,
      isEndExpected: upstream =>
        this.announcements.isLeaving(upstream) ||
        this.upstreams.list.find(upstream.upstreamId)?.isLeaving !== false,
      streams: this.streams,
      retryBudgets: this.retryBudgets,
      configuration: () =>
        this.state.mustBeCompared ? undefined : this.configuration.current,
      maximumKeyAge: () => {
        const {failsClosed, revocationMilliseconds} = this.settings.bounds;
        return failsClosed ? revocationMilliseconds * KEY_AGE_SHARE : Infinity;
      },
      isUpstreamListKnown: () => this.upstreams.isKnown,
      isClosing: () =>
        this.clocks.steady() - this.leavingSince > LAST_REQUEST_MILLISECONDS,
      sharingHostCount: () => this.fleet.sharingHostCount(this.clocks.steady()),
      onRunStarted: workspace =>
        this.usage.add(this.processId, workspace, this.readTrueTime()),
    });
  }

  private onUpstreamChanges(changes: readonly UpstreamChange[]): void {
    this.placement.onUpstreamChanges(changes);
    this.streams.publishAmbiguous();
    for (const change of changes) {
      this.events.write(3005, {...change});
      if (change.state !== 'listed') {
        this.duties?.onEngineLeaving();
      }
    }
  }

  private readTrueTime(): number {
    const {timeOfDay, steady} = this.clocks;
    return this.trueTime.now(timeOfDay(), steady());
  }

  private monitor(task: string, running: Promise<void>): void {
    running.catch((error: unknown) => {
      this.events.write(1006, {task, error: messageOf(error)});
      process.exitCode = 1;
      void this.leave();
    });
  }
}
