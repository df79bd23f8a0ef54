/**
 * The server side of the connections between entry processes.
 */
import {createServer, type Server, type Socket} from 'node:net';

import {isJSONRPCRequest, JSONRPCServer} from 'json-rpc-2.0';

import {readFrames, writeFrame} from './frame_codec.js';
import type {PeerHandlers, PeerMethod} from './peer_methods.js';

/** A running server for the connections of peers. */
export interface PeerServer {
  readonly port: number;
  close(): Promise<void>;
}

/** Starts a server that handles the calls of other entry processes. */
export async function listenForPeers(
  host: string,
  port: number,
  handlers: Partial<PeerHandlers>,
): Promise<PeerServer> {
  const rpc = createRpcServer(handlers);
  const sockets = new Set<Socket>();
  const server = createServer({noDelay: true}, socket => {
    sockets.add(socket);
    socket.on('close', () => sockets.delete(socket));
    socket.on('error', () => socket.destroy());
    serveSocket(rpc, socket);
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

function serveSocket(rpc: JSONRPCServer, socket: Socket): void {
  readFrames(socket, frame => {
    if (!isJSONRPCRequest(frame)) {
      socket.destroy();
      return;
    }
    void rpc.receive(frame).then(response => {
      if (response !== null && !socket.destroyed) {
        writeFrame(socket, response);
      }
    });
  });
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
