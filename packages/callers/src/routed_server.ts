/**
 * The HTTP server for clients whose requests are routed by host and path.
 */
import type {IncomingMessage, Server} from 'node:http';

import {type ServerName, ServingError} from '@lacewingwinch/decisions';

import {type ClientBounds, createBoundedServer} from './client_gate.js';
import type {ClientRequest} from './client_request.js';
import {ResponseWriter} from './response_writer.js';
import type {RoutedCallHandler, RoutedHead} from './routed_messages.js';

/** A running server for routed requests. */
export interface RoutedServer {
  /**
   * Number of requests whose responses the operating system has not taken
   * completely, for example because their clients read slowly.
   */
  readonly unfinishedCount: number;
  /** Sets the milliseconds after which an idle client connection is closed. */
  setIdleTimeout(milliseconds: number): void;
  /**
   * Sets the milliseconds within which the headers of a request must arrive.
   */
  setHeaderTimeout(milliseconds: number): void;
  /**
   * Makes each further response close its connection, so that clients connect
   * elsewhere.
   */
  startLeaving(): void;
  /**
   * Resets the connections of begun responses that only their end delimits. The end
   * of the process would close these connections in order, and their clients would
   * take the responses for complete.
   */
  abortUnframed(): void;
  /** Stops accepting connections and closes idle ones. */
  close(): void;
}

/** Bytes of headers that the parser accepts; the configuration allows fewer. */
const PARSER_HEADER_BYTES = 64 * 1024;

/** Milliseconds within which a complete request must arrive. */
const REQUEST_TIMEOUT_MILLISECONDS = 30_000;

/** A server for routed requests, and what it needs. */
export interface RoutedServerOptions {
  readonly name: ServerName;
  /** IP address and port. */
  readonly address: string;
  readonly bounds: ClientBounds;
  readonly handler: RoutedCallHandler;
  readonly onUnexpectedError: (error: unknown) => void;
}

/** Starts a server for routed requests. */
export async function listenForRoutedCalls({
  name,
  address,
  bounds,
  handler,
  onUnexpectedError,
}: RoutedServerOptions): Promise<RoutedServer> {
  const state = {isLeaving: false};
  const unfinished = new Set<ResponseWriter>();
  const server = createBoundedServer(
    name,
    bounds,
    {
      maxHeaderSize: PARSER_HEADER_BYTES,
      requestTimeout: REQUEST_TIMEOUT_MILLISECONDS,
      noDelay: true,
    },
    request => {
      const {response} = request;
      response.sendDate = false;
      response.shouldKeepAlive &&= !state.isLeaving;
      const responder = new ResponseWriter(request, () => state.isLeaving);
      unfinished.add(responder);
      request.onceClosed(() => unfinished.delete(responder));
      answerRequest(request, handler, responder)
        .catch((error: unknown) => {
          onUnexpectedError(error);
          response.destroy();
        })
        .finally(() => request.recordServed());
    },
  );
  await listenAt(server, address);
  return {
    get unfinishedCount() {
      return unfinished.size;
    },
    setIdleTimeout: milliseconds => {
      server.keepAliveTimeout = milliseconds;
    },
    setHeaderTimeout: milliseconds => {
      server.headersTimeout = milliseconds;
    },
    startLeaving: () => {
      state.isLeaving = true;
    },
    abortUnframed: () => {
      for (const responder of unfinished) {
        responder.abortIfUnframed();
      }
    },
    close: () => {
      server.close();
      server.closeIdleConnections();
    },
  };
}

/** Makes `server` listen at an address such as `10.0.0.1:8000`. */
export function listenAt(server: Server, address: string): Promise<void> {
  const colon = address.lastIndexOf(':');
  const port = Number(address.slice(colon + 1));
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, address.slice(0, colon), () => {
      server.off('error', reject);
      resolve();
    });
  });
}

async function answerRequest(
  request: ClientRequest,
  handler: RoutedCallHandler,
  responder: ResponseWriter,
): Promise<void> {
  const {message, response} = request;
  const headerBytes = message.rawHeaders.reduce(
    (sum, part) => sum + part.length + 2,
    0,
  );
  const head = headOf(message);
  const body =
    headerBytes > handler.maximumHeaderBytes()
      ? new ServingError('headers-too-large')
      : await request.readBody({
          maximumBytes: handler.maximumBodyBytes(),
          screen: () => handler.screen(head),
        });
  if (body === 'broken') {
    return;
  }
  if (body instanceof ServingError) {
    responder.sendRefusal(handler.refuse(message.headers, body));
    return;
  }
  if (response.destroyed) {
    return;
  }
  const {clientDisconnected} = request;
  await handler.serve({...head, body, clientDisconnected}, responder);
}

function headOf(message: IncomingMessage): RoutedHead {
  const target = message.url ?? '/';
  return {
    method: message.method ?? 'GET',
    target,
    path: target.split('?', 1)[0] ?? '/',
    host: (message.headers.host ?? '').toLowerCase().replace(/:\d+$/, ''),
    headers: message.headers,
    rawHeaders: message.rawHeaders,
  };
}
