/**
 * The HTTP server for discovery and for checks of readiness.
 */
import {createServer, type Server} from 'node:http';

import {listenAt} from './routed_server.js';

/** A whole answer of the directory. */
export interface DirectoryAnswer {
  readonly status: number;
  /** JSON. */
  readonly body: string;
}

/** Answers the call `method` on `target`. */
export type DirectoryHandler = (
  method: string,
  target: string,
) => DirectoryAnswer;

/** Listens at `address` for calls that are answered at once. */
export async function listenForDirectory(
  address: string,
  handler: DirectoryHandler,
): Promise<Server> {
  const server = createServer((message, response) => {
    message.resume();
    const answer = handler(message.method ?? 'GET', message.url ?? '/');
    response.writeHead(answer.status, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(answer.body),
    });
    response.end(answer.body);
  });
  await listenAt(server, address);
  return server;
}
