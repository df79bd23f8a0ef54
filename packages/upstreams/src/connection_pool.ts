/**
 * A pool of connections to upstreams. Each connection carries one request at a
 * time, and the receiver learns exactly when its first byte is written.
 */
import {type BodyFraming, bodyFramingOf} from '@lacewingwinch/decisions';
import {Client, type Dispatcher} from 'undici';

import {
  endIfExcessive,
  ResponseWatch,
  type WatchedResponse,
} from './response_watch.js';
import {
  createUpstreamConnector,
  type UpstreamSocket,
} from './upstream_socket.js';

/** Milliseconds allowed to connect; links have a delay of some milliseconds. */
const CONNECT_TIMEOUT_MILLISECONDS = 300;

/** Idle milliseconds until a connection closes if the upstream sets no limit. */
const DEFAULT_IDLE_TIMEOUT_MILLISECONDS = 4000;

/** Milliseconds by which a connection closes before its upstream closes it. */
const IDLE_MARGIN_MILLISECONDS = 1000;

/** A request to send over a pooled connection. */
export interface PooledRequest {
  /** IP address and port of the upstream. */
  readonly address: string;
  readonly method: string;
  readonly path: string;
  /** Alternating names and values. */
  readonly headers: readonly string[];
  readonly body: Buffer | undefined;
  /** Connections that were idle for this long or longer are not reused. */
  readonly maximumIdleMilliseconds: number;
  /** Maximum number of open connections of this host to the upstream. */
  readonly maximumConnections: number;
  /** Milliseconds after which an incomplete response is ended. */
  readonly maximumMilliseconds: number;
  /** Milliseconds allowed to connect; a default applies if absent. */
  readonly connectMilliseconds?: number;
}

/** Status and headers of an answer. */
export interface AnswerHead {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  /** Alternating names and values, as sent by the upstream. */
  readonly rawHeaders: readonly string[];
  readonly framing: BodyFraming;
}

/**
 * Receiver of the progress of a request. The last call is a single `onEnd` or
 * `onError`.
 */
export interface PooledReceiver {
  /**
   * Called just before the first byte is sent; false cancels the request.
   * `isNewConnection` says whether it is the first one on its connection.
   */
  onSend(isNewConnection: boolean): boolean;
  onHead(head: AnswerHead): void;
  onData(chunk: Buffer): void;
  onEnd(): void;
  onError(error: Error, wasSent: boolean): void;
}

/** A request in progress. */
export interface PooledExchange {
  /** Closes the connection; the receiver gets no further calls. */
  cancel(): void;
  /** Pauses reading until `resume` is called. */
  pause(): void;
  resume(): void;
}

interface Connection {
  readonly client: Client;
  socket: UpstreamSocket | undefined;
  idleSince: number;
  hasCarriedRequest: boolean;
  /** The response in progress; undefined while the connection is idle. */
  response: WatchedResponse | undefined;
  isClosed: boolean;
}

interface Upstream {
  readonly idle: Connection[];
  readonly open: Set<Connection>;
}

/** Sends requests to upstreams. */
export interface ExchangeSender {
  /** Sends a request; undefined if no connection may be used for it. */
  send(
    request: PooledRequest,
    receiver: PooledReceiver,
  ): PooledExchange | undefined;
}

/** Pool of persistent connections, kept per upstream address. */
export class ConnectionPool implements ExchangeSender {
  private readonly upstreams = new Map<string, Upstream>();
  private readonly watch: ResponseWatch;

  constructor(private readonly clock: () => number) {
    this.watch = new ResponseWatch(clock);
  }

  /**
   * Sends a request. Returns undefined if all connections that are allowed to
   * the upstream are in use.
   */
  send(
    request: PooledRequest,
    receiver: PooledReceiver,
  ): PooledExchange | undefined {
    const connection = this.takeConnection(request);
    if (connection === undefined) {
      return undefined;
    }
    const dueAt = this.clock() + request.maximumMilliseconds;
    const context = {connection, watch: this.watch, dueAt};
    return startExchange(context, request, receiver, isReusable => {
      if (isReusable && !connection.isClosed) {
        connection.idleSince = this.clock();
        this.getOrCreateUpstream(request.address).idle.push(connection);
        return;
      }
      void connection.client.destroy();
    });
  }

  /** Closes the idle connections to `address`. */
  closeIdle(address: string): void {
    for (const {client} of this.upstreams.get(address)?.idle ?? []) {
      void client.destroy();
    }
  }

  /**
   * Returns a function that tells whether all connections to `address` that are
   * open now have closed by the time it is called. A crash of the upstream
   * closes all of them, whereas the loss of one connection leaves the others
   * open.
   */
  watchConnections(address: string): () => boolean {
    const openConnections = [...(this.upstreams.get(address)?.open ?? [])];
    return () => openConnections.every(({isClosed}) => isClosed);
  }

  /** Closes the idle connections to all upstreams. */
  closeAllIdle(): void {
    for (const address of this.upstreams.keys()) {
      this.closeIdle(address);
    }
  }

  /** Closes the idle connections and ends the pool. */
  close(): void {
    this.closeAllIdle();
    this.watch.close();
  }

  private takeConnection(request: PooledRequest): Connection | undefined {
    const {address, maximumConnections, maximumIdleMilliseconds} = request;
    const upstream = this.getOrCreateUpstream(address);
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
      : this.openConnection(request, upstream);
  }

  private openConnection(
    {
      address,
      connectMilliseconds = CONNECT_TIMEOUT_MILLISECONDS,
    }: PooledRequest,
    upstream: Upstream,
  ): Connection {
    const client = new Client(`http://${address}`, {
      connect: createUpstreamConnector(connectMilliseconds, socket => {
        connection.socket = socket;
        socket.on('readable', () => checkReceivedBytes(connection));
      }),
      headersTimeout: 0,
      bodyTimeout: 0,
      pipelining: 1,
      keepAliveTimeout: DEFAULT_IDLE_TIMEOUT_MILLISECONDS,
      keepAliveTimeoutThreshold: IDLE_MARGIN_MILLISECONDS,
    });
    const connection: Connection = {
      client,
      socket: undefined,
      idleSince: this.clock(),
      hasCarriedRequest: false,
      response: undefined,
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

  private getOrCreateUpstream(address: string): Upstream {
    const existing = this.upstreams.get(address);
    if (existing !== undefined) {
      return existing;
    }
    const created: Upstream = {idle: [], open: new Set()};
    this.upstreams.set(address, created);
    return created;
  }
}

/**
 * Ends a response without end, and closes an idle connection that receives
 * bytes, which belong to no request.
 */
function checkReceivedBytes({response, socket, client}: Connection): void {
  if (response !== undefined) {
    endIfExcessive(response);
    return;
  }
  if (socket !== undefined && socket.readableLength > 0) {
    void client.destroy();
  }
}

/** Returns the bytes that the HTTP parser has taken from a connection. */
function parsedBytesOf({socket}: Connection): number {
  return socket === undefined ? 0 : socket.bytesRead - socket.readableLength;
}

interface ExchangeContext {
  readonly connection: Connection;
  readonly watch: ResponseWatch;
  /** Time by which the response must be complete. */
  readonly dueAt: number;
}

function startExchange(
  {connection, watch, dueAt}: ExchangeContext,
  request: PooledRequest,
  receiver: PooledReceiver,
  release: (isReusable: boolean) => void,
): PooledExchange {
  let controller: Dispatcher.DispatchController | undefined;
  let wasSent = false;
  let isFinished = false;
  let isReusable = false;
  let bodyBytes = 0;
  let parsedBytesBefore = 0;
  const watched: WatchedResponse = {
    dueAt,
    parsedBytes: () => parsedBytesOf(connection) - parsedBytesBefore,
    bodyBytes: () => bodyBytes,
    fail: (reason: string) => {
      controller?.abort(new Error(reason));
      fail(new Error(reason));
    },
  };
  const stopWatching = (): void => {
    watch.remove(watched);
    connection.response = undefined;
  };
  const finish = (canReuse: boolean, notifyReceiver: () => void): void => {
    if (isFinished) {
      return;
    }
    isFinished = true;
    stopWatching();
    connection.socket?.resumeReading();
    release(canReuse);
    notifyReceiver();
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
        // undici may start a request a second time, which would send it again
        // on a new connection.
        if (
          isFinished ||
          wasSent ||
          !receiver.onSend(!connection.hasCarriedRequest)
        ) {
          started.abort(new Error('the request may not be sent'));
          return;
        }
        wasSent = true;
        connection.hasCarriedRequest = true;
        parsedBytesBefore = parsedBytesOf(connection);
        connection.response = watched;
        watch.add(watched);
      },
      onResponseStart: (started, status, headers) => {
        if (isFinished || status < 200) {
          return;
        }
        const framing = bodyFramingOf(headers);
        isReusable = framing !== 'connection' && !saysClose(headers);
        const rawHeaders = rawHeadersOf(started);
        receiver.onHead({status, headers, rawHeaders, framing});
      },
      onResponseData: (_controller, chunk) => {
        if (!isFinished) {
          bodyBytes += chunk.length;
          receiver.onData(chunk);
        }
      },
      onResponseEnd: () => finish(isReusable, () => receiver.onEnd()),
      onResponseError: (_controller, error) => fail(error),
    },
  );
  return {
    cancel: () => {
      if (isFinished) {
        return;
      }
      isFinished = true;
      stopWatching();
      controller?.abort(new Error('cancelled'));
      release(false);
    },
    pause: () => {
      if (!isFinished) {
        connection.socket?.pauseReading();
      }
    },
    resume: () => {
      if (!isFinished) {
        connection.socket?.resumeReading();
      }
    },
  };
}

/** Returns whether a response with `headers` closes its connection. */
function saysClose({connection}: AnswerHead['headers']): boolean {
  const options = [connection ?? []].flat().join(',');
  return options
    .split(',')
    .some(option => option.trim().toLowerCase() === 'close');
}

function rawHeadersOf(
  controller: Dispatcher.DispatchController,
): readonly string[] {
  const raw = controller.rawHeaders;
  return Array.isArray(raw)
    ? raw.map(part =>
        typeof part === 'string' ? part : part.toString('latin1'),
      )
    : [];
}
