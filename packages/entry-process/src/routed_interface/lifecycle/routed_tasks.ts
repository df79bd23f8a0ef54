/**
 * Construction and wiring of the tasks of an entry process on the platform.
 */
import type {ClientBounds} from '@lacewingwinch/callers';
import {
  AnswerMemory,
  featuresOf,
  FleetHealth,
  NamedRates,
  OfferedLoads,
  ServiceLoadCounter,
  ServiceRetryBudgets,
  TrueTime,
  UpstreamAnnouncements,
  type UpstreamChange,
  UpstreamHealth,
  UsageWindows,
  type WorkspaceQuota,
} from '@lacewingwinch/decisions';
import {createPeerClient, type PeerClient} from '@lacewingwinch/entry-hosts';
import {
  createEventLog,
  createMetrics,
  type EventLog,
  type Metrics,
} from '@lacewingwinch/observability';
import {StoreClient} from '@lacewingwinch/platform';
import {ConnectionPool} from '@lacewingwinch/upstreams';
import {v7 as uuidV7} from 'uuid';

import type {RelayCarrier} from '../../paths/relay_carrier.js';
import type {UpstreamPaths} from '../../paths/upstream_paths.js';
import type {MembershipTask} from '../../tasks/membership_task.js';
import type {PartWatch} from '../../tasks/part_watch.js';
import {createClientBounds} from '../../util/client_bounds.js';
import {type Clocks, createProcessClocks} from '../../util/clocks.js';
import {QuotaExchange} from '../admission/quota_exchange.js';
import type {DutyTask} from '../duties/duty_task.js';
import {plannedServicesOf} from '../duties/engine_planner.js';
import {createRoutedDuties} from '../duties/routed_duties.js';
import {UsagePush} from '../duties/usage_push.js';
import {AnswerAnnouncements} from '../evidence/answer_announcements.js';
import type {CrashWatch} from '../evidence/crash_watch.js';
import {RoutedPlacement} from '../placement/routed_placement.js';
import type {FrontDependencies} from '../requests/front_dependencies.js';
import type {RequestExplainer} from '../requests/request_explainer.js';
import {RoutedFront} from '../requests/routed_front.js';
import {ConfigurationFollower} from '../state/configuration_follower.js';
import {FleetView} from '../state/fleet_view.js';
import {RequiredState} from '../state/required_state.js';
import {createRoutedMembership} from '../state/routed_membership.js';
import {StateRelay} from '../state/state_relay.js';
import type {StreamOriginExchange} from '../state/stream_origin_exchange.js';
import {UpstreamChangeLog} from '../state/upstream_change_log.js';
import {UpstreamFollower} from '../state/upstream_follower.js';
import type {VersionRecorder} from '../state/version_recorder.js';
import {type CrashWatches, createCrashWatches} from './create_crash_watches.js';
import {createRelayCarrier} from './create_relay_carrier.js';
import {createRequestExplainer} from './create_request_explainer.js';
import {createStreamOrigins} from './create_stream_origins.js';
import {createUpstreamPaths} from './create_upstream_paths.js';
import {RoutedRollouts} from './routed_rollouts.js';
import type {RoutedTasksDependencies} from './routed_tasks_dependencies.js';

/**
 * Maximum age of the keys, as a share of the time within which a revocation
 * must take effect.
 */
const KEY_AGE_SHARE = 0.9;

/** The tasks of one entry process, with the services that they share. */
export class RoutedTasks {
  readonly clocks: Clocks = createProcessClocks();
  readonly events: EventLog;
  readonly metrics: Metrics;
  readonly store: StoreClient;
  readonly pool: ConnectionPool;
  readonly clientBounds: ClientBounds;
  readonly peers: PeerClient = createPeerClient();
  readonly configuration: ConfigurationFollower;
  readonly upstreams: UpstreamFollower;
  readonly placement: RoutedPlacement;
  readonly membership: MembershipTask;
  readonly front: RoutedFront;
  readonly explainer: RequestExplainer;
  readonly usage: UsageWindows;
  readonly usagePush: UsagePush;
  readonly offeredLoads = new OfferedLoads();
  readonly duties: DutyTask | undefined;
  readonly quotas: QuotaExchange;
  readonly relay: StateRelay;
  readonly rollouts: RoutedRollouts;
  readonly crashes: CrashWatch;
  readonly parts: PartWatch;
  readonly streams: StreamOriginExchange;
  readonly versions: VersionRecorder;
  readonly state: RequiredState;
  readonly paths: UpstreamPaths;
  readonly carrier: RelayCarrier;
  private readonly watches: CrashWatches;
  private readonly answers: AnswerAnnouncements;
  private readonly health = new UpstreamHealth();
  private readonly fleetHealth = new FleetHealth();
  private readonly announcements = new UpstreamAnnouncements();
  private readonly namedRates = new NamedRates();
  private readonly retryBudgets: ServiceRetryBudgets;
  private readonly fleet: FleetView;
  private readonly trueTime = new TrueTime();
  private readonly startedAt: number;
  private readonly upstreamChangeLog: UpstreamChangeLog;
  /** Identity of this process, new at each start. */
  private readonly processId = uuidV7();
  private readonly loads = new ServiceLoadCounter(this.processId);

  /** Returns whether this host holds the duties. */
  readonly isHoldingDuties = (): boolean => this.duties?.isHolding === true;

  /** Returns the quota of a workspace in the configuration in force. */
  readonly quotaOf = (name: string): WorkspaceQuota | undefined =>
    this.configuration.current?.value.workspaces.find(
      workspace => workspace.name === name,
    )?.quota;

  constructor(private readonly dependencies: RoutedTasksDependencies) {
    const settings = dependencies.settings();
    const {clocks} = this;
    this.startedAt = clocks.steady();
    this.events = createEventLog(settings.hostId, 'info');
    this.upstreamChangeLog = new UpstreamChangeLog(this.events);
    this.metrics = createMetrics();
    this.clientBounds = createClientBounds({
      memoryBytes: settings.memoryBytes,
      fileDescriptors: settings.limits?.fileDescriptors ?? 0,
      clock: clocks.steady,
      events: this.events,
      metrics: this.metrics,
    });
    this.pool = new ConnectionPool(
      clocks.steady,
      this.clientBounds.limits.upstreamConnections,
      clocks.suspensionAware,
    );
    this.store = new StoreClient(settings.storeAddress, (call, end) =>
      this.metrics.storeCalls.inc({call, end: String(end)}),
    );
    const shared = {
      hostId: settings.hostId,
      peers: this.peers,
      events: this.events,
      metrics: this.metrics,
      clocks,
      store: this.store,
      pool: this.pool,
      trueTime: () => this.readTrueTime(),
    };
    this.rollouts = this.createRollouts(settings.hostId);
    this.configuration = new ConfigurationFollower({
      ...shared,
      isStoreReader: () => this.fleet.isStoreReader(),
      onChange: dependencies.onConfigurationChange,
      onOtherRecord: record => this.rollouts.follower.onOperatorRecord(record),
    });
    this.upstreams = new UpstreamFollower({
      ...shared,
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
    this.answers = new AnswerAnnouncements({
      ...shared,
      announcements: this.announcements,
      namedRates: this.namedRates,
    });
    this.paths = createUpstreamPaths({
      ...shared,
      failureDomain: settings.failureDomain,
      upstreams: this.upstreams.list,
      otherHosts: () => this.fleet.otherServingHosts(),
      onCutOffChange: () => this.membership.broadcast(),
    });
    this.carrier = createRelayCarrier({
      ...shared,
      paths: this.paths,
      upstreams: this.upstreams.list,
      announcements: this.announcements,
      answers: this.answers,
    });
    const origins = createStreamOrigins({
      ...shared,
      upstreams: this.upstreams,
      fleet: () => this.fleet,
    });
    this.streams = origins.streams;
    this.versions = origins.versions;
    this.placement = new RoutedPlacement({
      ...shared,
      servingHosts: () => this.membership.serving(),
      dispatchingHosts: () => this.fleet.strongServingHosts(),
      clock: clocks.suspensionAware,
      failureDomain: settings.failureDomain,
      upstreams: this.upstreams.list,
      health: this.health,
      fleetHealth: this.fleetHealth,
      announcements: this.announcements,
      namedRates: this.namedRates,
      trialVersions: service =>
        this.rollouts.follower.steps.trialVersions(service),
      hostCounts: () => ({
        servingHosts: this.membership.serving().length,
        knownHosts: this.membership.sharingHostIds().length,
      }),
      cacheRetentionMilliseconds: settings.bounds.reuseWindowMilliseconds * 2,
      random: Math.random,
      hasSpreadPlacement: name => this.hasSpreadPlacement(name),
    });
    this.membership = createRoutedMembership({
      ...shared,
      settings: dependencies.settings,
      parts: () => this.parts,
      crashes: () => this.crashes,
      paths: this.paths,
      trueTime: this.trueTime,
      version: () => this.configuration.current?.value.version ?? -1,
    });
    this.fleet = new FleetView(
      settings.hostId,
      this.membership,
      this.startedAt,
    );
    this.retryBudgets = new ServiceRetryBudgets(
      {
        ratio: settings.bounds.retryRatio,
        slack: settings.bounds.retrySlack,
        windowMilliseconds: settings.bounds.retryWindowMilliseconds,
      },
      {startedAt: this.startedAt, isFirstStart: settings.isFirstStart},
    );
    this.usage = new UsageWindows(settings.bounds.usageWindowMilliseconds);
    this.quotas = new QuotaExchange({
      ...shared,
      clock: clocks.steady,
      random: Math.random,
      otherHosts: () => this.fleet.otherServingHosts(),
      startedAt: this.startedAt,
      sharingHostIds: () => this.membership.sharingHostIds(),
      holderCandidates: () => this.fleet.quotaHolderCandidates(),
      slack: settings.bounds.quotaSlack,
      isFirstStart: settings.isFirstStart,
    });
    this.relay = new StateRelay({
      ...shared,
      random: Math.random,
      storeReaders: () => this.fleet.storeReaders(),
      otherHosts: () => this.fleet.otherServingHosts(),
      isStoreReader: () => this.fleet.isStoreReader(),
      configuration: this.configuration,
      upstreams: this.upstreams,
      rollouts: this.rollouts.follower,
    });
    const watches = createCrashWatches({
      ...shared,
      paths: this.paths,
      servingHosts: () => this.membership.serving(),
    });
    this.crashes = watches.crashes;
    this.watches = watches;
    this.parts = watches.parts;
    this.duties = createRoutedDuties(settings, {
      processId: this.processId,
      store: this.store,
      events: this.events,
      metrics: this.metrics,
      clocks,
      usage: this.usage,
      offeredLoads: this.offeredLoads,
      trueTime: () => this.readTrueTime(),
      servingHosts: () => this.fleet.strongServingIds(),
      configuration: () => this.configuration.current?.value,
      upstreams: () => this.upstreams.list.all(),
      ...this.rollouts.engineCounts(this.upstreams.list),
    });
    this.usagePush = new UsagePush({
      ...shared,
      processId: this.processId,
      usage: this.usage,
      candidates: () => this.fleet.othersOf(this.duties?.candidates() ?? []),
      clock: clocks.suspensionAware,
      loads: this.loads,
      offeredLoads: this.offeredLoads,
      plannedServices: () =>
        plannedServicesOf(
          this.configuration.current?.value,
          settings.failureDomains.length,
        ).map(({service}) => service.name),
      versionResults: () => this.rollouts.reports(),
    });
    const front = this.frontDependencies();
    this.front = new RoutedFront(front);
    this.explainer = createRequestExplainer(front, this.rollouts, this.fleet);
  }

  private createRollouts(hostId: string): RoutedRollouts {
    return new RoutedRollouts({
      processId: this.processId,
      hostId,
      store: this.store,
      events: this.events,
      metrics: this.metrics,
      clocks: this.clocks,
      bounds: () => this.dependencies.settings().bounds.rollouts,
      isStoreReader: () => this.fleet.isStoreReader(),
      mayAct: () => this.duties?.mayAct === true,
      servingHosts: () => this.fleet.servingIds(),
      configuration: () => this.configuration.current?.value,
      configurationReadAt: () =>
        this.configuration.current?.confirmedAt ?? -Infinity,
      upstreams: () => this.upstreams.list,
      trueTime: () => this.readTrueTime(),
    });
  }

  private frontDependencies(): FrontDependencies {
    return {
      hostId: this.dependencies.settings().hostId,
      clocks: this.clocks,
      events: this.events,
      metrics: this.metrics,
      pool: this.pool,
      placement: this.placement,
      announcements: this.announcements,
      answers: this.answers,
      paths: this.paths,
      quotas: this.quotas,
      ...this.watches,
      isEndExpected: upstream =>
        this.announcements.isLeaving(upstream) ||
        this.upstreams.list.find(upstream.upstreamId)?.isLeaving !== false,
      streams: this.streams,
      listedUpstream: upstreamId => this.upstreams.list.find(upstreamId),
      confirmUpstreams: time => this.upstreams.confirmSince(time),
      trueTime: () => this.readTrueTime(),
      retryBudgets: this.retryBudgets,
      answerMemory: new AnswerMemory(this.dependencies.settings().memoryBytes),
      loads: this.loads,
      rollouts: this.rollouts.front,
      versionContext: service => this.rollouts.versionContext(service),
      configuration: () =>
        this.state.mustBeCompared ? undefined : this.configuration.current,
      maximumKeyAge: () => {
        const {failsClosed, revocationMilliseconds} =
          this.dependencies.settings().bounds;
        return failsClosed ? revocationMilliseconds * KEY_AGE_SHARE : Infinity;
      },
      isUpstreamListKnown: () => this.upstreams.isKnown,
      isClosing: this.dependencies.isClosing,
      sharingHostCount: () => this.fleet.sharingHostCount(this.clocks.steady()),
      domainCount: () => this.fleet.domainCount(),
      onRunStarted: workspace =>
        this.usage.add(this.processId, workspace, this.readTrueTime()),
    };
  }

  private hasSpreadPlacement(name: string): boolean {
    const service = this.configuration.current?.value.services.get(name);
    return (
      service !== undefined &&
      featuresOf(service, this.fleet.domainCount()).hasSpreadPlacement
    );
  }

  private onUpstreamChanges(changes: readonly UpstreamChange[]): void {
    this.placement.onUpstreamChanges(changes);
    this.streams.storeAmbiguous();
    this.versions.onListChange();
    this.upstreamChangeLog.write(changes);
    this.rollouts.onUpstreamChanges(changes, this.upstreams.list);
    for (const change of changes) {
      if (change.state === 'withdrawn' || change.isRestarted) {
        this.paths.forget(change.upstreamId);
      }
      if (change.state !== 'listed') {
        this.duties?.onEngineLeaving();
      }
    }
  }

  private readTrueTime(): number {
    const {timeOfDay, steady} = this.clocks;
    return this.trueTime.now(timeOfDay(), steady());
  }
}
