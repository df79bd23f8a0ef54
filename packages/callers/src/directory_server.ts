/**
 * The HTTP server for discovery, readiness checks and metrics.
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';

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

/** Starts a server at `address` for requests whose body is ignored. */
export async function listenForDirectory(
  address: string,
  handler: DirectoryHandler,
  onUnexpectedError: (error: unknown) => void,
): Promise<Server> {
  const server = createServer((message, response) => {
    message.resume();
    respond(response, handler, message).catch((error: unknown) => {
      onUnexpectedError(error);
      response.destroy();
    });
  });
  await listenAt(server, address);
  return server;
}

async function respond(
  response: ServerResponse,
  handler: DirectoryHandler,
  message: IncomingMessage,
): Promise<void> {
  const answer = await handler(message.method ?? 'GET', message.url ?? '/');
  response.writeHead(answer.status, {
    'content-type': answer.contentType ?? 'application/json',
    'content-length': Buffer.byteLength(answer.body),
  });
  response.end(answer.body);
}
