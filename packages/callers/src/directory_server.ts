/**
 * The HTTP server for discovery, for checks of readiness and for metrics.
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';

import {listenAt} from './routed_server.js';

/** A whole answer of the directory. */
export interface DirectoryAnswer {
  readonly status: number;
  readonly body: string;
  /** JSON if absent. */
  readonly contentType?: string;
}

/** Answers the call `method` on `target`. */
export type DirectoryHandler = (
  method: string,
  target: string,
) => DirectoryAnswer | Promise<DirectoryAnswer>;

/** Listens at `address` for calls without a body. */
export async function listenForDirectory(
  address: string,
  handler: DirectoryHandler,
  onUnexpected: (error: unknown) => void,
): Promise<Server> {
  const server = createServer((message, response) => {
    message.resume();
    answerWith(response, handler, message).catch((error: unknown) => {
      onUnexpected(error);
      response.destroy();
    });
  });
  await listenAt(server, address);
  return server;
}

async function answerWith(
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
