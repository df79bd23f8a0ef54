/**
 * The servers of a process on the platform: for clients, discovery, readiness,
 * metrics and other entry hosts.
 */
import type {Server} from 'node:http';

import {
  type ClientBounds,
  type DirectoryAnswer,
  listenForDirectory,
  listenForRoutedCalls,
  type RoutedCallHandler,
  type RoutedServer,
} from '@lacewingwinch/callers';
import {
  listenForPeers,
  parseAddress,
  type PeerServer,
} from '@lacewingwinch/entry-hosts';
import type {PlatformSettings} from '@lacewingwinch/platform';

import {peerBoundsOf} from '../../util/client_bounds.js';
import {
  type ListenOptions,
  listenWhenFree,
} from '../../util/listen_when_free.js';
import {listenForMetrics, type MetricsSources} from './metrics_server.js';
import {
  createRoutedPeerHandlers,
  type RoutedPeerDependencies,
} from './routed_peer_handlers.js';

/** Dependencies of the servers: their addresses and request handlers. */
export interface ListenerDependencies {
  readonly addresses: PlatformSettings['addresses'];
  /**
   * Port for metrics, on the IP address for clients; undefined to serve no
   * metrics.
   */
  readonly metricsPort: number | undefined;
  /** Bounds the clients of all servers. */
  readonly bounds: ClientBounds;
  readonly front: RoutedCallHandler;
  readonly directory: (method: string, target: string) => DirectoryAnswer;
  /** Carries attempts of other entry hosts. */
  readonly carrier: RoutedCallHandler;
  readonly metrics: MetricsSources;
  readonly peers: RoutedPeerDependencies;
  readonly onUnexpectedError: (error: unknown) => void;
  /** Called if metrics can't be served; the process runs without them. */
  readonly onMetricsFailure: (error: unknown) => void;
  /** How to wait for addresses that are in use. */
  readonly waiting: ListenOptions;
}

/** The servers while they are listening. */
export interface RoutedListeners {
  readonly callers: RoutedServer;
  /** Server for the attempts that this host carries for others. */
  readonly relay: RoutedServer;
  /** Servers for discovery, readiness and metrics, which only report state. */
  readonly directoryServers: readonly Server[];
  readonly peers: PeerServer;
}

/**
 * Starts listening at every address, as soon as it is free; rejects if one stays in
 * use. Metrics are served as soon as their address is free, without waiting for it.
 */
export async function openListeners({
  addresses,
  metricsPort,
  bounds,
  front,
  carrier,
  directory,
  metrics,
  peers,
  onUnexpectedError,
  onMetricsFailure,
  waiting,
}: ListenerDependencies): Promise<RoutedListeners> {
  const listenForCalls = (
    name: 'callers' | 'relay',
    handler: RoutedCallHandler,
  ): Promise<RoutedServer> => {
    const address = addresses[name];
    const options = {name, address, bounds, handler, onUnexpectedError};
    return listenWhenFree(() => listenForRoutedCalls(options), waiting);
  };
  const listenForQueries = (
    name: 'discovery' | 'readiness',
  ): Promise<Server> => {
    const address = addresses[name];
    const handler = directory;
    const options = {name, address, bounds, handler, onUnexpectedError};
    return listenWhenFree(() => listenForDirectory(options), waiting);
  };
  const callers = await listenForCalls('callers', front);
  const relay = await listenForCalls('relay', carrier);
  const directoryServers = [
    await listenForQueries('discovery'),
    await listenForQueries('readiness'),
  ];
  if (metricsPort !== undefined) {
    const address = `${parseAddress(addresses.callers).host}:${metricsPort}`;
    listenWhenFree(
      () => listenForMetrics(address, bounds, metrics, onUnexpectedError),
      waiting,
    ).then(server => directoryServers.push(server), onMetricsFailure);
  }
  const {host, port} = parseAddress(addresses.peers);
  const peerServer = await listenWhenFree(
    () =>
      listenForPeers({
        host,
        port,
        bounds: peerBoundsOf(bounds),
        handlers: createRoutedPeerHandlers(peers),
      }),
    waiting,
  );
  return {callers, relay, directoryServers, peers: peerServer};
}
