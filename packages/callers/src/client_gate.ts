/**
 * The bounds of the HTTP servers of a process: connections of each server, and the
 * memory that the clients of all of them take.
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerOptions,
  type ServerResponse,
} from 'node:http';
import type {Socket} from 'node:net';

import {
  type ClientMemory,
  ConnectionTable,
  type ServerName,
  type ServingLimits,
} from '@lacewingwinch/decisions';

import {ClientConnection, type ClientRefusal} from './client_connection.js';
import {ClientRequest} from './client_request.js';
import type {ConnectionProbes} from './connection_probes.js';
import type {ParsingTurns} from './parsing_turns.js';

/** Milliseconds between two checks for requests that arrive too slowly. */
const TIMEOUT_CHECK_MILLISECONDS = 500;

/** What bounds the clients of a process. */
export interface ClientBounds {
  readonly limits: ServingLimits;
  readonly memory: ClientMemory;
  readonly turns: ParsingTurns;
  readonly probes: ConnectionProbes;
  /** Called with the number of bytes that were read from a client. */
  readonly onRead: (bytes: number) => void;
  /** Returns steady clock readings in milliseconds. */
  readonly clock: () => number;
  readonly onRefused: (server: ServerName, refusal: ClientRefusal) => void;
}

/** Handles a request whose head is complete. */
export type ClientRequestListener = (request: ClientRequest) => void;

/** Creates an HTTP server that keeps to `bounds`; it does not listen yet. */
export function createBoundedServer(
  name: ServerName,
  {limits, memory, turns, probes, clock, onRead, onRefused}: ClientBounds,
  options: ServerOptions,
  listener: ClientRequestListener,
): Server {
  const context = {
    table: new ConnectionTable<ClientConnection>(limits.connections[name]),
    memory,
    turns,
    probes,
    clock,
    onRead,
    onRefused: (refusal: ClientRefusal) => onRefused(name, refusal),
  };
  // The table bounds the connections; maxConnections would refuse the newest one.
  const server = createServer(
    {...options, connectionsCheckingInterval: TIMEOUT_CHECK_MILLISECONDS},
    (message: IncomingMessage, response: ServerResponse) =>
      listener(new ClientRequest(message, response, context)),
  );
  // The parser reads from streams that are paced instead of from the sockets.
  const parseFrom = server.listeners('connection') as ((
    this: Server,
    stream: object,
  ) => void)[];
  server.removeAllListeners('connection');
  server.on('connection', (socket: Socket) => {
    switch (context.table.makeRoom(clock())) {
      case 'full':
        context.onRefused('connection-refused');
        socket.destroy();
        return;
      case 'closed-another':
      case 'has-room':
    }
    const {stream} = new ClientConnection(socket, context);
    parseFrom.forEach(parse => parse.call(server, stream));
  });
  return server;
}
