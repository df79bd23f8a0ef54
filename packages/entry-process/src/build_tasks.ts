/**
 * Construction and wiring of the tasks of an entry process.
 */
import type {ClientBounds} from '@lacewingwinch/callers';
import {
  LimitShares,
  type Member,
  Quarantine,
  RetryBudget,
} from '@lacewingwinch/decisions';
import {
  createPeerClient,
  type GossipDigest,
  type PeerClient,
} from '@lacewingwinch/entry-hosts';
import {
  createEventLog,
  createMetrics,
  createTracing,
  type EventLog,
  type Metrics,
  NO_TRACING,
  type Tracing,
} from '@lacewingwinch/observability';
import {
  connectCloudApi,
  connectHostList,
  connectLogService,
} from '@lacewingwinch/platform';
import {
  canConnect,
  ConnectionPool,
  UpstreamConnections,
} from '@lacewingwinch/upstreams';
import {v7 as uuidV7} from 'uuid';

import {AttemptLoop} from './front/attempt_loop.js';
import type {FrontContext} from './front/front_context.js';
import {FrontTask} from './front/front_task.js';
import {LimitExchange} from './front/limit_exchange.js';
import {RequestRegistry} from './front/request_registry.js';
import {RelayCarrier} from './paths/relay_carrier.js';
import {UpstreamPaths} from './paths/upstream_paths.js';
import {BackupStore} from './recovery/backup_store.js';
import {ClaimClient} from './recovery/claim_client.js';
import {Handover} from './recovery/handover.js';
import {StreamMover} from './recovery/stream_mover.js';
import type {Settings} from './settings.js';
import {ClaimTask} from './tasks/claim_task.js';
import {ConfigurationTask} from './tasks/configuration_task.js';
import {DispatcherTask} from './tasks/dispatcher_task.js';
import {MembershipTask} from './tasks/membership_task.js';
import {OrdersTask} from './tasks/orders_task.js';
import {PartWatch} from './tasks/part_watch.js';
import {PermitClient} from './tasks/permit_client.js';
import {ShardLoads} from './tasks/shard_loads.js';
import {UpstreamDirectory} from './tasks/upstream_directory.js';
import type {VerdictStore} from './tasks/verdict_store.js';
import {createClientBounds} from './util/client_bounds.js';

/** Maximum number of suspicions in one gossip digest; the latest are sent. */
const MAXIMUM_SUSPICIONS_PER_DIGEST = 16;

/**
 * Maximum number of leaving upstreams in one gossip digest; the latest are
 * sent.
 */
const MAXIMUM_LEAVING_PER_DIGEST = 64;

const BYTES_PER_MEBIBYTE = 1024 * 1024;

/** Milliseconds within which an upstream that lives accepts a connection. */
const CONNECT_TIMEOUT_MILLISECONDS = 300;

/** The log service of this interface keeps no verdicts. */
const NO_VERDICT_STORE: VerdictStore = {
  load: () => Promise.resolve([]),
  save: () => Promise.resolve(true),
  remove: () => Promise.resolve(true),
};

/** The tasks of an entry process, with the services that they share. */
export interface Tasks {
  readonly events: EventLog;
  readonly metrics: Metrics;
  readonly tracing: Tracing;
  readonly clock: () => number;
  /** Bounds the clients of all servers. */
  readonly clientBounds: ClientBounds;
  readonly peers: PeerClient;
  readonly connections: UpstreamConnections;
  readonly paths: UpstreamPaths;
  readonly carrier: RelayCarrier;
  /** Connections over which attempts of other hosts are carried. */
  readonly pool: ConnectionPool;
  readonly quarantine: Quarantine;
  readonly parts: PartWatch;
  readonly configuration: ConfigurationTask;
  readonly membership: MembershipTask;
  readonly directory: UpstreamDirectory;
  readonly dispatcher: DispatcherTask;
  readonly permits: PermitClient;
  readonly claims: ClaimTask;
  readonly registry: RequestRegistry;
  readonly backups: BackupStore;
  readonly front: FrontTask;
  readonly handover: Handover;
  readonly limitExchange: LimitExchange;
  readonly orders: OrdersTask;
}

/** Called with the time at which the platform will reclaim this host. */
export type OwnReclaimListener = (reclaimTime: number) => void;

/** Builds the tasks of a process from `settings` without running them. */
export function buildTasks(
  settings: Settings,
  onOwnReclaim: OwnReclaimListener,
): Tasks {
  const {hostId, keptAnswerSeconds} = settings;
  const clock = Date.now;
  const events = createEventLog(hostId, settings.logLevel);
  const metrics = createMetrics();
  const tracing =
    settings.traceUrl === ''
      ? NO_TRACING
      : createTracing(hostId, settings.traceUrl);
  const peers = createPeerClient();
  const connections = new UpstreamConnections();
  const quarantine = new Quarantine();
  const parts: PartWatch = new PartWatch({
    hostId,
    peers,
    events,
    metrics,
    random: Math.random,
    verdicts: NO_VERDICT_STORE,
    clock,
    trueTime: clock,
    servingHosts: () => membership.serving(),
    isAlive: upstream => paths.isAlive(upstream),
  });
  const steadyClock = (): number => performance.now();
  const clientBounds = createClientBounds({
    memoryBytes: settings.memoryMegabytes * BYTES_PER_MEBIBYTE,
    fileDescriptors: settings.fileDescriptors,
    clock: steadyClock,
    events,
    metrics,
  });
  const pool = new ConnectionPool(
    steadyClock,
    clientBounds.limits.upstreamConnections,
  );
  const paths: UpstreamPaths = new UpstreamPaths({
    failureDomain: settings.failureDomain,
    peers,
    events,
    metrics,
    clock: steadyClock,
    random: Math.random,
    otherHosts: () =>
      membership.serving().filter(member => member.hostId !== hostId),
    addressOf: upstreamId => directory.find(upstreamId)?.address,
    // This list states no starts.
    listedStarts: () => [],
    canConnect: address => canConnect(address, CONNECT_TIMEOUT_MILLISECONDS),
    closeIdle: address =>
      address === undefined ? pool.closeAllIdle() : pool.closeIdle(address),
    onCutOffChange: () => membership.broadcast(),
  });
  const carrier = new RelayCarrier({
    pool,
    events,
    metrics,
    paths,
    clock: steadyClock,
    acceptingUpstream: upstreamId => {
      const upstream = directory.find(upstreamId);
      return upstream === undefined || upstream.isLeaving
        ? undefined
        : {...upstream, upstreamId, bornAt: 0};
    },
    onHead: () => true,
  });
  const limits = new LimitShares();
  const backups = new BackupStore();
  const log = connectLogService(settings.logUrl);
  const cloud = connectCloudApi(settings.cloudUrl);
  const shardLoads = new ShardLoads(clock);
  const retryBudgets = new Map<string, RetryBudget>();

  const directory: UpstreamDirectory = new UpstreamDirectory({
    hostList: connectHostList(settings.hostListUrl),
    cloud,
    events,
    hostId,
    hostListSeconds: settings.hostListSeconds,
    clock,
    servingHosts: () => membership.serving().map(member => member.hostId),
    isEntryHost: id => membership.find(id) !== undefined,
    onLeaving: (upstreamIds, reclaimTime) => {
      dispatcher.onLeaving(upstreamIds);
      mover.onLeaving(registry.running(), upstreamIds, reclaimTime);
      notifyLeaving(peers, membership.live(), upstreamIds, reclaimTime);
    },
    onOwnReclaim,
  });
  const membership: MembershipTask = new MembershipTask(
    ownMember(settings, clock()),
    {
      peers,
      events,
      metrics,
      clock,
      random: Math.random,
      seeds: () => [...settings.peers, ...directory.seeds()],
      content: () => ({
        configurationReadTo: configuration.readTo,
        leavingUpstreams: directory
          .leavingIds()
          .slice(-MAXIMUM_LEAVING_PER_DIGEST),
        suspicions: quarantine.list().slice(-MAXIMUM_SUSPICIONS_PER_DIGEST),
        partSuspicions: parts.openSuspicions(),
        loads: dispatcher.loads(),
        demands: limitExchange.ownDemands(),
        ...(paths.isCutOff && {isCutOff: true}),
      }),
      onDigest: (sender, digest) => applyDigest(sender, digest),
    },
  );
  const configuration: ConfigurationTask = new ConfigurationTask({
    log,
    peers,
    events,
    metrics,
    snapshotSeconds: settings.snapshotSeconds,
    hostId,
    livePeers: () => membership.live(),
    servingHosts: () => membership.serving(),
    clock,
  });
  const dispatcher = new DispatcherTask({
    clock,
    configuration: () => configuration.current,
    connections,
    findShard: shardId =>
      directory
        .shardsOf(shardId.split('/', 1)[0] ?? shardId)
        .find(({id}) => id === shardId),
  });
  const servingHosts = (): readonly Member[] => membership.serving();
  const permits = new PermitClient({hostId, peers, dispatcher, servingHosts});
  const claims = new ClaimTask({log, events, metrics, clock});
  const registry = new RequestRegistry({
    hostId,
    keptAnswerSeconds,
    membership,
    metrics,
    peers,
  });
  const context: FrontContext = {
    hostId,
    clock,
    newId: () => uuidV7(),
    configuration: () => configuration.current,
    membership,
    directory,
    permits,
    claims: new ClaimClient({hostId, peers, claimTask: claims, servingHosts}),
    peers,
    connections,
    paths,
    quarantine,
    parts,
    limits,
    events,
    metrics,
    tracing,
    keptAnswerSeconds,
    loadOf: service =>
      shardLoads.meanLoadOf(
        directory.shardsOf(service).map(({id}) => id),
        dispatcher.loads(),
      ),
    retryBudgetOf: service => {
      const budget = retryBudgets.get(service) ?? new RetryBudget();
      retryBudgets.set(service, budget);
      return budget;
    },
  };
  const mover = new StreamMover(context);
  const loop = new AttemptLoop(context, mover);
  const handover = new Handover(context, {registry, backups, loop, mover});
  const front = new FrontTask(context, {
    registry,
    backups,
    loop,
    isReady: () => configuration.readySource !== 'none',
    takeOverFromBackup: copy => handover.takeOverFromBackup(copy),
  });
  const limitExchange = new LimitExchange(context);
  const orders = new OrdersTask({
    hostId,
    processId: uuidV7(),
    log,
    cloud,
    events,
    clock,
    configuration: () => configuration.current,
    servingHosts: () => membership.serving().map(member => member.hostId),
    goal: {
      service: settings.ordersService,
      hosts: settings.ordersHosts,
      minimumOnDemand: settings.ordersOnDemand,
    },
  });

  function applyDigest(sender: Member, digest: GossipDigest): void {
    directory.markLeaving(digest.leavingUpstreams, undefined);
    digest.suspicions.forEach(suspicion => quarantine.merge(suspicion));
    parts.onGossip(digest.partSuspicions ?? []);
    paths.recordHostCutOff(sender.hostId, digest.isCutOff === true);
    shardLoads.update(digest.loads);
    limitExchange.onDemands(sender, digest.demands);
    configuration.onPeerAhead(sender, digest.configurationReadTo);
  }

  return {
    events,
    metrics,
    tracing,
    clock,
    clientBounds,
    peers,
    connections,
    paths,
    carrier,
    pool,
    quarantine,
    parts,
    configuration,
    membership,
    directory,
    dispatcher,
    permits,
    claims,
    registry,
    backups,
    front,
    handover,
    limitExchange,
    orders,
  };
}

function ownMember(settings: Settings, now: number): Member {
  const {hostId, failureDomain, listenAddress} = settings;
  return {
    hostId,
    failureDomain,
    addresses: {
      callers: `${listenAddress}:${settings.callerPort}`,
      peers: `${listenAddress}:${settings.peerPort}`,
      operators: `${listenAddress}:${settings.operatorPort}`,
      relay: `${listenAddress}:${settings.relayPort}`,
    },
    incarnation: now,
    status: 'joining',
  };
}

function notifyLeaving(
  peers: PeerClient,
  live: readonly Member[],
  upstreamIds: readonly string[],
  reclaimTime: number | undefined,
): void {
  const params = {
    upstreamIds,
    ...(reclaimTime === undefined ? {} : {reclaimTime}),
  };
  for (const member of live) {
    peers.notify(member.addresses.peers, 'upstream.leaving', params);
  }
}
