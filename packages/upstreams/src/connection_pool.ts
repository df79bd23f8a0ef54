/**
 * Connections to upstreams, one request at a time on each, with the exact
 * moment of the first byte known.
 */
import type {Socket} from 'node:net';

import {buildConnector, Client, type Dispatcher} from 'undici';

/** Milliseconds to wait for a connection: links take some milliseconds. */
const CONNECT_TIMEOUT_MILLISECONDS = 300;

/** Idle milliseconds that count when an upstream names no timeout. */
const DEFAULT_IDLE_MILLISECONDS = 4000;

/** Milliseconds by which a connection is given up before its upstream does. */
const IDLE_MARGIN_MILLISECONDS = 1000;

/** A request to an upstream. */
export interface PooledRequest {
  /** IP number and port. */
  readonly address: string;
  readonly method: string;
  readonly path: string;
  /** Names and values by turns. */
  readonly headers: readonly string[];
  readonly body: Buffer | undefined;
  /** A kept connection is used only if it was idle for less. */
  readonly maximumIdleMilliseconds: number;
  /** Connections that this host may have to the upstream. */
  readonly maximumConnections: number;
}

/** The head of an answer. */
export interface AnswerHead {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  /** Names and values by turns, as the upstream wrote them. */
  readonly rawHeaders: readonly string[];
}

/** Receives what becomes of a request; `onEnd` or `onError` comes last, once. */
export interface PooledReceiver {
  /** Asked just before the first byte is written; false cancels the request. */
  onSend(): boolean;
  onHead(head: AnswerHead): void;
  onData(chunk: Buffer): void;
  onEnd(): void;
  onError(error: Error, wasSent: boolean): void;
}

/** A request under way. */
export interface PooledExchange {
  /** Closes its connection; nothing is received any more. */
  cancel(): void;
  /** Stops reading until `resume`. */
  pause(): void;
  resume(): void;
}

interface Connection {
  readonly client: Client;
  idleSince: number;
  /** Whether the socket failed: a body that ends with it is not whole. */
  hasFailed: boolean;
  /** Whether the body under way has no length and ends with the connection. */
  isUnframed: boolean;
  isClosed: boolean;
}

interface Upstream {
  readonly idle: Connection[];
  readonly open: Set<Connection>;
}

/** Kept connections to every upstream. */
export class ConnectionPool {
  private readonly upstreams = new Map<string, Upstream>();

  constructor(private readonly clock: () => number) {}

  /** Sends a request; undefined if every connection allowed is in use. */
  send(
    request: PooledRequest,
    receiver: PooledReceiver,
  ): PooledExchange | undefined {
    const connection = this.take(request);
    if (connection === undefined) {
      return undefined;
    }
    return startExchange(connection, request, receiver, isReusable => {
      if (isReusable && !connection.isClosed) {
        connection.idleSince = this.clock();
        this.upstreamOf(request.address).idle.push(connection);
        return;
      }
      void connection.client.destroy();
    });
  }

  /** Closes the idle connections to `address`: its upstream is gone. */
  forget(address: string): void {
    for (const {client} of this.upstreams.get(address)?.idle ?? []) {
      void client.destroy();
    }
  }

  /**
   * Whether every connection that is open to `address` now has ended by the
   * time the function that is returned is called: an upstream that crashes ends
   * them all, a single connection that is lost leaves the others.
   */
  watchConnections(address: string): () => boolean {
    const open = [...(this.upstreams.get(address)?.open ?? [])];
    return () => open.every(({isClosed}) => isClosed);
  }

  /** Closes idle connections. */
  close(): void {
    for (const address of this.upstreams.keys()) {
      this.forget(address);
    }
  }

  private take(request: PooledRequest): Connection | undefined {
    const {address, maximumConnections, maximumIdleMilliseconds} = request;
    const upstream = this.upstreamOf(address);
    const now = this.clock();
    for (;;) {
      const connection = upstream.idle.pop();
      if (connection === undefined) {
        break;
      }
      if (
        !connection.isClosed &&
        now - connection.idleSince < maximumIdleMilliseconds
      ) {
        return connection;
      }
      void connection.client.destroy();
    }
    return upstream.open.size >= maximumConnections
      ? undefined
      : this.open(address, upstream);
  }

  private open(address: string, upstream: Upstream): Connection {
    const connector = buildConnector({timeout: CONNECT_TIMEOUT_MILLISECONDS});
    const client = new Client(`http://${address}`, {
      connect: (options, callback) => {
        connector(options, (...result) => {
          const [, socket] = result;
          // Registered before undici's own listener, which takes a reset for
          // the end of a body without a length.
          socket?.prependListener('error', () => {
            connection.hasFailed = true;
          });
          socket?.prependListener('end', () =>
            probeForReset(connection, socket),
          );
          callback(...result);
        });
      },
      headersTimeout: 0,
      bodyTimeout: 0,
      pipelining: 1,
      keepAliveTimeout: DEFAULT_IDLE_MILLISECONDS,
      keepAliveTimeoutThreshold: IDLE_MARGIN_MILLISECONDS,
    });
    const connection: Connection = {
      client,
      idleSince: this.clock(),
      hasFailed: false,
      isUnframed: false,
      isClosed: false,
    };
    upstream.open.add(connection);
    const onClosed = (): void => {
      if (connection.isClosed) {
        return;
      }
      connection.isClosed = true;
      upstream.open.delete(connection);
      const index = upstream.idle.indexOf(connection);
      if (index >= 0) {
        upstream.idle.splice(index, 1);
      }
      void client.destroy();
    };
    client.on('disconnect', onClosed);
    client.on('connectionError', onClosed);
    return connection;
  }

  private upstreamOf(address: string): Upstream {
    const known = this.upstreams.get(address);
    if (known !== undefined) {
      return known;
    }
    const fresh: Upstream = {idle: [], open: new Set()};
    this.upstreams.set(address, fresh);
    return fresh;
  }
}

/**
 * Where data and a reset arrive together, libuv reports an end and leaves the
 * reset pending. A write of nothing meets it, and succeeds after a real end.
 */
function probeForReset(connection: Connection, socket: Socket): void {
  if (!connection.isUnframed) {
    return;
  }
  socket.write(Buffer.alloc(0));
  connection.hasFailed ||= socket.errored !== null;
}

function hasFraming(headers: AnswerHead['headers']): boolean {
  return (
    headers['content-length'] !== undefined ||
    headers['transfer-encoding'] !== undefined
  );
}

function startExchange(
  connection: Connection,
  request: PooledRequest,
  receiver: PooledReceiver,
  release: (isReusable: boolean) => void,
): PooledExchange {
  let controller: Dispatcher.DispatchController | undefined;
  let wasSent = false;
  let isOver = false;
  const finish = (isReusable: boolean, tell: () => void): void => {
    if (isOver) {
      return;
    }
    isOver = true;
    release(isReusable);
    tell();
  };
  const fail = (error: Error): void =>
    finish(false, () => receiver.onError(error, wasSent));
  connection.client.dispatch(
    {
      method: request.method,
      path: request.path,
      headers: [...request.headers],
      body: request.body ?? null,
    },
    {
      onRequestStart: started => {
        controller = started;
        // A second start would send the request again on a new connection.
        if (isOver || wasSent || !receiver.onSend()) {
          started.abort(new Error('the request may not be sent'));
          return;
        }
        wasSent = true;
      },
      onResponseStart: (started, status, headers) => {
        if (isOver || status < 200) {
          return;
        }
        connection.isUnframed = !hasFraming(headers);
        receiver.onHead({status, headers, rawHeaders: rawOf(started)});
      },
      onResponseData: (_controller, chunk) => {
        if (!isOver) {
          receiver.onData(chunk);
        }
      },
      onResponseEnd: () => {
        if (connection.hasFailed) {
          fail(new Error('the connection was reset'));
          return;
        }
        finish(true, () => receiver.onEnd());
      },
      onResponseError: (_controller, error) => fail(error),
    },
  );
  return {
    cancel: () => {
      if (isOver) {
        return;
      }
      isOver = true;
      controller?.abort(new Error('cancelled'));
      release(false);
    },
    pause: () => controller?.pause(),
    resume: () => controller?.resume(),
  };
}

function rawOf(controller: Dispatcher.DispatchController): readonly string[] {
  const raw = controller.rawHeaders;
  return Array.isArray(raw)
    ? raw.map(part =>
        typeof part === 'string' ? part : part.toString('latin1'),
      )
    : [];
}
