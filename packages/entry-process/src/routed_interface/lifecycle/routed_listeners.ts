/**
 * The servers of a process on the platform: for clients, discovery, readiness,
 * metrics and other entry hosts.
 */
import type {Server} from 'node:http';

import {
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
  readonly front: RoutedCallHandler;
  readonly directory: (method: string, target: string) => DirectoryAnswer;
  /** Carries attempts of other entry hosts. */
  readonly carrier: RoutedCallHandler;
  readonly metrics: MetricsSources;
  readonly peers: RoutedPeerDependencies;
  readonly onUnexpected: (error: unknown) => void;
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
  front,
  carrier,
  directory,
  metrics,
  peers,
  onUnexpected,
  onMetricsFailure,
  waiting,
}: ListenerDependencies): Promise<RoutedListeners> {
  const listenForCalls = (
    address: string,
    handler: RoutedCallHandler,
  ): Promise<RoutedServer> =>
    listenWhenFree(
      () => listenForRoutedCalls(address, handler, onUnexpected),
      waiting,
    );
  const listenForQueries = (address: string): Promise<Server> =>
    listenWhenFree(
      () => listenForDirectory(address, directory, onUnexpected),
      waiting,
    );
  const callers = await listenForCalls(addresses.callers, front);
  const relay = await listenForCalls(addresses.relay, carrier);
  const directoryServers = [
    await listenForQueries(addresses.discovery),
    await listenForQueries(addresses.readiness),
  ];
  if (metricsPort !== undefined) {
    const address = `${parseAddress(addresses.callers).host}:${metricsPort}`;
    listenWhenFree(
      () => listenForMetrics(address, metrics, onUnexpected),
      waiting,
    ).then(server => directoryServers.push(server), onMetricsFailure);
  }
  const {host, port} = parseAddress(addresses.peers);
  const peerServer = await listenWhenFree(
    () => listenForPeers(host, port, createRoutedPeerHandlers(peers)),
    waiting,
  );
  return {callers, relay, directoryServers, peers: peerServer};
}
