/**
 * The server side of the connections between entry processes.
 */
import {createServer, type Server, type Socket} from 'node:net';

import {type ClientMemory, ConnectionTable} from '@lacewingwinch/decisions';
import {JSONRPCServer} from 'json-rpc-2.0';

import type {FrameTurns} from './frame_codec.js';
import {PeerConnection} from './peer_connection.js';
import type {PeerHandlers, PeerMethod} from './peer_methods.js';

/** What bounds the connections that other processes open. */
export interface PeerBounds {
  readonly maximumConnections: number;
  /** Memory that the requests of all clients of the process share. */
  readonly memory: ClientMemory;
  /** Bounds the calls that are read in an iteration of the event loop. */
  readonly turns: FrameTurns;
  /** Returns steady clock readings in milliseconds. */
  readonly clock: () => number;
  /** Called when a connection is closed for the sake of others. */
  readonly onRefused: (
    refusal: 'connection-closed' | 'request-unfinished' | 'response-untaken',
  ) => void;
}

/** A server for the calls of peers, and what it needs. */
export interface PeerServerOptions {
  readonly host: string;
  readonly port: number;
  readonly bounds: PeerBounds;
  readonly handlers: Partial<PeerHandlers>;
}

/** A running server for the connections of peers. */
export interface PeerServer {
  readonly port: number;
  close(): Promise<void>;
}

/** Starts a server that handles the calls of other entry processes. */
export async function listenForPeers({
  host,
  port,
  bounds,
  handlers,
}: PeerServerOptions): Promise<PeerServer> {
  const rpc = createRpcServer(handlers);
  const sockets = new Set<Socket>();
  const table = new ConnectionTable<PeerConnection>(bounds.maximumConnections);
  // The table bounds the connections; maxConnections would refuse the newest one.
  const server = createServer({noDelay: true}, socket => {
    table.makeRoom(bounds.clock());
    sockets.add(socket);
    socket.on('close', () => sockets.delete(socket));
    socket.on('error', () => socket.destroy());
    new PeerConnection(socket, rpc, table, bounds).serve();
  });
  await listen(server, host, port);
  const address = server.address();
  return {
    port: typeof address === 'object' && address !== null ? address.port : port,
    close: () => closeServer(server, sockets),
  };
}

function createRpcServer(handlers: Partial<PeerHandlers>): JSONRPCServer {
  const rpc = new JSONRPCServer({errorListener: () => undefined});
  for (const method of Object.keys(handlers) as PeerMethod[]) {
    const handler = handlers[method] as (params: unknown) => unknown;
    rpc.addMethod(method, params => handler(params));
  }
  return rpc;
}

function listen(server: Server, host: string, port: number): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => {
      server.off('error', reject);
      resolve();
    });
  });
}

function closeServer(
  server: Server,
  sockets: ReadonlySet<Socket>,
): Promise<void> {
  return new Promise(resolve => {
    server.close(() => resolve());
    for (const socket of sockets) {
      socket.destroy();
    }
  });
}
