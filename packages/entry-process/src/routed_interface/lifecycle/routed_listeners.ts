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

/** Starts listening at every address; rejects if one is already in use. */
export async function openListeners({
  addresses,
  metricsPort,
  front,
  carrier,
  directory,
  metrics,
  peers,
  onUnexpected,
}: ListenerDependencies): Promise<RoutedListeners> {
  const callers = await listenForRoutedCalls(
    addresses.callers,
    front,
    onUnexpected,
  );
  const relay = await listenForRoutedCalls(
    addresses.relay,
    carrier,
    onUnexpected,
  );
  const directoryServers = [
    await listenForDirectory(addresses.discovery, directory, onUnexpected),
    await listenForDirectory(addresses.readiness, directory, onUnexpected),
  ];
  if (metricsPort !== undefined) {
    const address = `${parseAddress(addresses.callers).host}:${metricsPort}`;
    directoryServers.push(
      await listenForMetrics(address, metrics, onUnexpected),
    );
  }
  const {host, port} = parseAddress(addresses.peers);
  const peerServer = await listenForPeers(
    host,
    port,
    createRoutedPeerHandlers(peers),
  );
  return {callers, relay, directoryServers, peers: peerServer};
}
