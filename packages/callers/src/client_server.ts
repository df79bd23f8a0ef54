/**
 * The HTTP server for clients.
 */
import type {IncomingMessage, Server, ServerResponse} from 'node:http';

import {isServingError, ServingError} from '@lacewingwinch/decisions';

import {type ClientBounds, createBoundedServer} from './client_gate.js';
import type {CallHandler, ClientAnswer} from './client_messages.js';
import type {ClientRequest} from './client_request.js';
import {
  MAXIMUM_BODY_BYTES,
  readCompletion,
  readFetch,
  readPlainCall,
} from './read_call.js';
import {writeAnswer, writeProblem} from './write_answer.js';

/** Milliseconds within which the headers of a request must arrive. */
const HEADERS_TIMEOUT_MILLISECONDS = 10_000;

/** Milliseconds within which a complete request must arrive. */
const REQUEST_TIMEOUT_MILLISECONDS = 60_000;

/** Maximum size of the headers of a request, in bytes. */
const MAXIMUM_HEADER_BYTES = 16 * 1024;

/** Milliseconds after which an idle client connection is closed. */
const KEEP_ALIVE_MILLISECONDS = 30_000;

/** A running server for clients. */
export interface ClientFacingServer {
  readonly port: number;
  /**
   * Stops accepting connections, closes idle ones and resolves once the
   * remaining requests are answered.
   */
  close(): Promise<void>;
  /** Closes all connections immediately. */
  abort(): void;
}

/** Endpoint that a URL addresses. */
type Endpoint =
  | {readonly kind: 'completion'; readonly path: string}
  | {readonly kind: 'chat-completion'; readonly path: string}
  | {readonly kind: 'entry-hosts'}
  | {
      readonly kind: 'plain';
      readonly service: string;
      readonly path: string;
    }
  | {readonly kind: 'request'; readonly requestId: string};

/** A server for clients, and what it needs. */
export interface ClientServerOptions {
  readonly host: string;
  readonly port: number;
  readonly bounds: ClientBounds;
  readonly handler: CallHandler;
  readonly onUnexpectedError: (error: unknown) => void;
}

/** Starts a server for clients. */
export async function listenForClients({
  host,
  port,
  bounds,
  handler,
  onUnexpectedError,
}: ClientServerOptions): Promise<ClientFacingServer> {
  const server = createBoundedServer(
    'callers',
    bounds,
    {
      headersTimeout: HEADERS_TIMEOUT_MILLISECONDS,
      requestTimeout: REQUEST_TIMEOUT_MILLISECONDS,
      keepAliveTimeout: KEEP_ALIVE_MILLISECONDS,
      maxHeaderSize: MAXIMUM_HEADER_BYTES,
      noDelay: true,
    },
    request => {
      void answerRequest(request, handler, onUnexpectedError).finally(() =>
        request.recordServed(),
      );
    },
  );
  await listen(server, host, port);
  const address = server.address();
  return {
    port: typeof address === 'object' && address !== null ? address.port : port,
    close: () => closeServer(server),
    abort: () => server.closeAllConnections(),
  };
}

async function answerRequest(
  request: ClientRequest,
  handler: CallHandler,
  onUnexpectedError: (error: unknown) => void,
): Promise<void> {
  const {message, response} = request;
  try {
    const answer = await dispatchRequest(request, handler);
    if (answer !== undefined) {
      await writeAnswer(response, answer);
    }
  } catch (error) {
    if (!isServingError(error)) {
      onUnexpectedError(error);
    }
    if (response.headersSent) {
      response.destroy();
      return;
    }
    const servingError = isServingError(error)
      ? error
      : new ServingError('internal');
    if (!message.complete) {
      response.setHeader('connection', 'close');
    }
    writeProblem(response, servingError, undefined, {}, () =>
      request.discardRest(() => response.end()),
    );
  }
}

async function dispatchRequest(
  request: ClientRequest,
  handler: CallHandler,
): Promise<ClientAnswer | undefined> {
  const {message, response} = request;
  const endpoint = parseEndpoint(message.url ?? '/');
  switch (endpoint.kind) {
    case 'completion':
    case 'chat-completion': {
      requireMethod(message, 'POST');
      const body = await readBody(request);
      return body === undefined
        ? undefined
        : handler.serve(
            readCompletion(message, endpoint.kind, endpoint.path, body),
          );
    }
    case 'plain': {
      const body = await readBody(request);
      return body === undefined
        ? undefined
        : handler.serve(
            readPlainCall(message, endpoint.service, endpoint.path, body),
          );
    }
    case 'request':
      requireMethod(message, 'GET');
      message.resume();
      return handler.fetch(readFetch(message, endpoint.requestId));
    case 'entry-hosts':
      requireMethod(message, 'GET');
      message.resume();
      writeDiscovery(message, response, handler);
      return undefined;
  }
}

/** Reads a body; undefined if the client left before it was complete. */
async function readBody(request: ClientRequest): Promise<Buffer | undefined> {
  const body = await request.readBody({maximumBytes: MAXIMUM_BODY_BYTES});
  if (body === 'broken') {
    return undefined;
  }
  if (body instanceof ServingError) {
    throw body.kind === 'request-too-large' ? createTooLargeError() : body;
  }
  return body;
}

function createTooLargeError(): ServingError {
  return new ServingError('request-too-large', {
    detail: `a body may have ${MAXIMUM_BODY_BYTES} bytes at most`,
  });
}

function parseEndpoint(url: string): Endpoint {
  const path = url.split('?', 1)[0] ?? '/';
  switch (path) {
    case '/v1/completions':
      return {kind: 'completion', path};
    case '/v1/chat/completions':
      return {kind: 'chat-completion', path};
    case '/v1/entry-hosts':
      return {kind: 'entry-hosts'};
    default:
      return parseParameterizedEndpoint(url);
  }
}

function parseParameterizedEndpoint(url: string): Endpoint {
  const plain = /^\/v1\/services\/([^/?]+)(\/[^#]*)?$/.exec(url);
  if (plain?.[1] !== undefined) {
    return {kind: 'plain', service: plain[1], path: plain[2] ?? '/'};
  }
  const request = /^\/v1\/requests\/([^/?]+)$/.exec(url);
  if (request?.[1] !== undefined) {
    return {kind: 'request', requestId: request[1]};
  }
  throw new ServingError('path-unknown');
}

function requireMethod(message: IncomingMessage, method: string): void {
  if (message.method !== method) {
    throw new ServingError('method-not-allowed', {
      detail: `use ${method} here`,
    });
  }
}

function writeDiscovery(
  message: IncomingMessage,
  response: ServerResponse,
  handler: CallHandler,
): void {
  const client = message.socket.remoteAddress ?? '';
  const {hosts, maximumAgeSeconds} = handler.discover(
    String(message.headers['x-caller-id'] ?? client),
  );
  const body = JSON.stringify({entryHosts: hosts});
  response.writeHead(200, {
    'content-type': 'application/json',
    'cache-control': `max-age=${maximumAgeSeconds}`,
    'content-length': Buffer.byteLength(body),
  });
  response.end(body);
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

function closeServer(server: Server): Promise<void> {
  return new Promise(resolve => {
    server.close(() => resolve());
    server.closeIdleConnections();
  });
}
