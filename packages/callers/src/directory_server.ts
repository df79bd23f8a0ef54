/**
 * The HTTP server for discovery, readiness checks and metrics.
 */
import type {Server} from 'node:http';

import type {ServerName} from '@lacewingwinch/decisions';

import {type ClientBounds, createBoundedServer} from './client_gate.js';
import type {ClientRequest} from './client_request.js';
import {listenAt} from './routed_server.js';

/** A complete response of the server. */
export interface DirectoryAnswer {
  readonly status: number;
  readonly body: string;
  /** `application/json` by default. */
  readonly contentType?: string;
}

/** Responds to a request with `method` for the path and query `target`. */
export type DirectoryHandler = (
  method: string,
  target: string,
) => DirectoryAnswer | Promise<DirectoryAnswer>;

/** A server for queries, and what it needs. */
export interface DirectoryServerOptions {
  readonly name: ServerName;
  /** IP address and port. */
  readonly address: string;
  readonly bounds: ClientBounds;
  readonly handler: DirectoryHandler;
  readonly onUnexpectedError: (error: unknown) => void;
}

/** Milliseconds within which a query must arrive. */
const QUERY_TIMEOUT_MILLISECONDS = 3000;

/** Starts a server for queries, whose bodies are ignored. */
export async function listenForDirectory({
  name,
  address,
  bounds,
  handler,
  onUnexpectedError,
}: DirectoryServerOptions): Promise<Server> {
  const server = createBoundedServer(
    name,
    bounds,
    {
      headersTimeout: QUERY_TIMEOUT_MILLISECONDS,
      requestTimeout: QUERY_TIMEOUT_MILLISECONDS,
    },
    request => {
      const {message, response} = request;
      message.resume();
      respond(request, handler)
        .catch((error: unknown) => {
          onUnexpectedError(error);
          response.destroy();
        })
        .finally(() => request.recordServed());
    },
  );
  await listenAt(server, address);
  return server;
}

async function respond(
  {message, response}: ClientRequest,
  handler: DirectoryHandler,
): Promise<void> {
  const answer = await handler(message.method ?? 'GET', message.url ?? '/');
  // The rest of a body that nothing reads would keep the connection busy.
  response.shouldKeepAlive &&= message.complete;
  response.writeHead(answer.status, {
    'content-type': answer.contentType ?? 'application/json',
    'content-length': Buffer.byteLength(answer.body),
  });
  response.end(answer.body);
}
