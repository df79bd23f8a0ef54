/**
 * The servers of a process on the platform: callers, discovery, readiness,
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
  type RoutedPeerParts,
} from './routed_peer_handlers.js';

/** What the servers answer with. */
export interface ListenerParts {
  readonly addresses: PlatformSettings['addresses'];
  /** Port for metrics, on the IP number for callers; none without one. */
  readonly metricsPort: number | undefined;
  readonly front: RoutedCallHandler;
  readonly directory: (method: string, target: string) => DirectoryAnswer;
  readonly metrics: MetricsSources;
  readonly peers: RoutedPeerParts;
  readonly onUnexpected: (error: unknown) => void;
}

/** The servers while they listen. */
export interface RoutedListeners {
  readonly callers: RoutedServer;
  /** Those that only tell what is. */
  readonly tellers: readonly Server[];
  readonly peers: PeerServer;
}

/** Listens at every address; rejects if one is taken. */
export async function openListeners({
  addresses,
  metricsPort,
  front,
  directory,
  metrics,
  peers,
  onUnexpected,
}: ListenerParts): Promise<RoutedListeners> {
  const callers = await listenForRoutedCalls(
    addresses.callers,
    front,
    onUnexpected,
  );
  const tellers = [
    await listenForDirectory(addresses.discovery, directory, onUnexpected),
    await listenForDirectory(addresses.readiness, directory, onUnexpected),
  ];
  if (metricsPort !== undefined) {
    const address = `${parseAddress(addresses.callers).host}:${metricsPort}`;
    tellers.push(await listenForMetrics(address, metrics, onUnexpected));
  }
  const {host, port} = parseAddress(addresses.peers);
  const peerServer = await listenForPeers(
    host,
    port,
    createRoutedPeerHandlers(peers),
  );
  return {callers, tellers, peers: peerServer};
}
