/**
 * The HTTP server for callers whose requests are routed by host and path.
 */
import {
  createServer,
  type IncomingHttpHeaders,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';

import {ServingError} from '@lacewingwinch/decisions';

/** A call whose body has arrived. */
export interface RoutedCall {
  readonly method: string;
  /** Path and query. */
  readonly target: string;
  readonly path: string;
  readonly host: string;
  readonly headers: IncomingHttpHeaders;
  /** Names and values by turns, as the caller wrote them. */
  readonly rawHeaders: readonly string[];
  readonly body: Buffer;
  /** Aborts when the caller leaves before its answer is complete. */
  readonly callerLeft: AbortSignal;
}

/** Writes the answer to one call. */
export interface RoutedResponder {
  /** Whether a part of the answer has been written. */
  readonly hasBegun: boolean;
  /** Writes a whole answer; `headers` are names and values by turns. */
  sendWhole(status: number, headers: readonly string[], body: Buffer): void;
  /** Begins a streamed answer. */
  begin(status: number, headers: readonly string[]): void;
  /** Writes a part; false asks to wait for `onDrain`. */
  write(chunk: Buffer): boolean;
  onDrain(listener: () => void): void;
  /** Ends a streamed answer as complete. */
  end(): void;
  /** Breaks a streamed answer off, so that it does not look complete. */
  breakOff(): void;
}

/** Serves calls. */
export interface RoutedCallHandler {
  serve(call: RoutedCall, responder: RoutedResponder): Promise<void>;
  /** Answers a call that cannot be read. */
  refuse(headers: IncomingHttpHeaders, error: ServingError): RefusalAnswer;
  /** Bytes that a body may have. */
  maximumBodyBytes(): number;
  /** Bytes that the headers may have. */
  maximumHeaderBytes(): number;
}

/** A whole answer of our own. */
export interface RefusalAnswer {
  readonly status: number;
  readonly headers: readonly string[];
  readonly body: Buffer;
}

/** A listening server for routed calls. */
export interface RoutedServer {
  /** Idle milliseconds after which a caller's connection is closed. */
  setIdleTimeout(milliseconds: number): void;
  /** Milliseconds in which the headers of a request must arrive. */
  setHeaderTimeout(milliseconds: number): void;
  /** Asks callers, with each answer from now on, to connect elsewhere. */
  startLeaving(): void;
  /** Closes idle connections and stops. */
  close(): void;
}

/** Bytes of headers that the parser takes; the configuration allows fewer. */
const PARSER_HEADER_BYTES = 64 * 1024;

/** Milliseconds in which a whole request must arrive. */
const REQUEST_TIMEOUT_MILLISECONDS = 30_000;

/**
 * Milliseconds for which the rest of a refused request is read and dropped; a
 * caller has its answer after a round trip, some ten milliseconds.
 */
const DROP_MILLISECONDS = 500;

/** Listens for callers at `address`. */
export async function listenForRoutedCalls(
  address: string,
  handler: RoutedCallHandler,
  onUnexpected: (error: unknown) => void,
): Promise<RoutedServer> {
  const state = {isLeaving: false};
  const server = createServer(
    {
      maxHeaderSize: PARSER_HEADER_BYTES,
      requestTimeout: REQUEST_TIMEOUT_MILLISECONDS,
      noDelay: true,
    },
    (message, response) => {
      response.sendDate = false;
      response.shouldKeepAlive &&= !state.isLeaving;
      answerMessage(message, response, handler, () => state.isLeaving).catch(
        (error: unknown) => {
          onUnexpected(error);
          response.destroy();
        },
      );
    },
  );
  await listenAt(server, address);
  return {
    setIdleTimeout: milliseconds => {
      server.keepAliveTimeout = milliseconds;
    },
    setHeaderTimeout: milliseconds => {
      server.headersTimeout = milliseconds;
    },
    startLeaving: () => {
      state.isLeaving = true;
    },
    close: () => {
      server.close();
      server.closeIdleConnections();
    },
  };
}

/** Makes `server` listen at an IP number and port. */
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

async function answerMessage(
  message: IncomingMessage,
  response: ServerResponse,
  handler: RoutedCallHandler,
  isLeaving: () => boolean,
): Promise<void> {
  const responder = new ResponseWriter(response, isLeaving);
  const headerBytes = message.rawHeaders.reduce(
    (sum, part) => sum + part.length + 2,
    0,
  );
  const body =
    headerBytes > handler.maximumHeaderBytes()
      ? new ServingError('headers-too-large')
      : await readBody(message, handler.maximumBodyBytes());
  if (body === 'broken') {
    return;
  }
  if (body instanceof ServingError) {
    const answer = handler.refuse(message.headers, body);
    responder.refuseUnread(answer, message);
    return;
  }
  const left = new AbortController();
  response.once('close', () => {
    if (!response.writableFinished) {
      left.abort();
    }
  });
  if (response.destroyed) {
    return;
  }
  const target = message.url ?? '/';
  await handler.serve(
    {
      method: message.method ?? 'GET',
      target,
      path: target.split('?', 1)[0] ?? '/',
      host: (message.headers.host ?? '').toLowerCase().replace(/:\d+$/, ''),
      headers: message.headers,
      rawHeaders: message.rawHeaders,
      body,
      callerLeft: left.signal,
    },
    responder,
  );
}

function readBody(
  message: IncomingMessage,
  maximumBytes: number,
): Promise<Buffer | ServingError | 'broken'> {
  return new Promise(resolve => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    message.on('data', (chunk: Buffer) => {
      bytes += chunk.length;
      if (bytes > maximumBytes) {
        chunks.length = 0;
        resolve(new ServingError('request-too-large'));
        return;
      }
      chunks.push(chunk);
    });
    message.on('end', () => {
      const [first] = chunks;
      resolve(
        chunks.length === 1 && first !== undefined
          ? first
          : Buffer.concat(chunks),
      );
    });
    message.on('error', () => resolve('broken'));
    message.on('close', () => resolve('broken'));
  });
}

class ResponseWriter implements RoutedResponder {
  constructor(
    private readonly response: ServerResponse,
    private readonly isLeaving: () => boolean,
  ) {}

  get hasBegun(): boolean {
    return this.response.headersSent;
  }

  sendWhole(status: number, headers: readonly string[], body: Buffer): void {
    this.writeHead(status, [...headers, 'content-length', String(body.length)]);
    this.response.end(body);
  }

  /**
   * Answers a request that is not read to its end, and closes its connection.
   * What is still on its way is read and dropped for a while: closing with
   * unread bytes would reset the connection before the caller has the answer.
   */
  refuseUnread(answer: RefusalAnswer, message: IncomingMessage): void {
    const {response} = this;
    const {status, headers, body} = answer;
    response.shouldKeepAlive = false;
    this.writeHead(status, [...headers, 'content-length', String(body.length)]);
    response.write(body);
    const finish = (): void => {
      clearTimeout(timer);
      response.end();
    };
    const timer = setTimeout(finish, DROP_MILLISECONDS);
    if (message.readableEnded) {
      finish();
      return;
    }
    message.once('end', finish);
    message.once('close', finish);
    message.resume();
  }

  begin(status: number, headers: readonly string[]): void {
    this.writeHead(status, headers);
    this.response.flushHeaders();
  }

  write(chunk: Buffer): boolean {
    return this.response.write(chunk);
  }

  onDrain(listener: () => void): void {
    this.response.once('drain', listener);
  }

  end(): void {
    this.response.end();
  }

  breakOff(): void {
    const {socket} = this.response;
    if (socket === null) {
      this.response.destroy();
      return;
    }
    socket.resetAndDestroy();
  }

  private writeHead(status: number, headers: readonly string[]): void {
    if (this.isLeaving()) {
      this.response.shouldKeepAlive = false;
    }
    this.response.writeHead(status, [...headers]);
  }
}
