/**
 * Server of the operator HTTP interface of an entry process.
 */
import type {ServerResponse} from 'node:http';

import {
  type ClientBounds,
  type ClientRequest,
  createBoundedServer,
} from '@lacewingwinch/callers';
import {ServingError} from '@lacewingwinch/decisions';

import type {OperatorHandler} from './operator_messages.js';

/** A listening operator server. */
export interface OperatorServer {
  readonly port: number;
  close(): Promise<void>;
}

/** A server for operators, and what it needs. */
export interface OperatorServerOptions {
  readonly host: string;
  readonly port: number;
  readonly bounds: ClientBounds;
  readonly handler: OperatorHandler;
}

/** Milliseconds within which a request must arrive. */
const REQUEST_TIMEOUT_MILLISECONDS = 10_000;

/** Starts the operator server. */
export async function listenForOperators({
  host,
  port,
  bounds,
  handler,
}: OperatorServerOptions): Promise<OperatorServer> {
  const server = createBoundedServer(
    'operators',
    bounds,
    {
      headersTimeout: REQUEST_TIMEOUT_MILLISECONDS,
      requestTimeout: REQUEST_TIMEOUT_MILLISECONDS,
    },
    request => {
      request.message.resume();
      handleRequest(request, handler)
        .catch(() => request.response.destroy())
        .finally(() => request.recordServed());
    },
  );
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, resolve);
  });
  const address = server.address();
  return {
    port: typeof address === 'object' && address !== null ? address.port : port,
    close: () =>
      new Promise(resolve => {
        server.close(() => resolve());
        server.closeAllConnections();
      }),
  };
}

async function handleRequest(
  {message, response}: ClientRequest,
  handler: OperatorHandler,
): Promise<void> {
  const path = (message.url ?? '/').split('?', 1)[0] ?? '/';
  switch (`${message.method ?? 'GET'} ${path}`) {
    case 'GET /metrics':
      response.writeHead(200, {'content-type': 'text/plain; version=0.0.4'});
      response.end(await handler.metrics());
      return;
    case 'GET /health/live':
      writeJson(response, 200, {live: true});
      return;
    case 'GET /health/ready': {
      const isReady = handler.isReady();
      writeJson(response, isReady ? 200 : 503, {ready: isReady});
      return;
    }
    case 'GET /status':
      writeJson(response, 200, handler.status());
      return;
    case 'GET /configuration':
      writeJson(response, 200, handler.configuration());
      return;
    case 'POST /drain':
      handler.drain();
      writeJson(response, 202, {draining: true});
      return;
    default:
      handleLookupById(path, response, handler);
  }
}

function handleLookupById(
  path: string,
  response: ServerResponse,
  handler: OperatorHandler,
): void {
  const match = /^\/(outcomes|explain)\/([^/]+)$/.exec(path);
  const id = match?.[2];
  if (id === undefined) {
    writeJson(response, 404, new ServingError('path-unknown').toProblem());
    return;
  }
  const result =
    match?.[1] === 'outcomes' ? handler.outcome(id) : handler.explain(id);
  if (result === undefined) {
    writeJson(response, 404, new ServingError('request-unknown').toProblem());
    return;
  }
  writeJson(response, 200, result);
}

function writeJson(
  response: ServerResponse,
  status: number,
  value: unknown,
): void {
  const body = JSON.stringify(value);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
  });
  response.end(body);
}
