/**
 * A pool of connections to upstreams. Each connection carries one request at a
 * time, and the receiver learns exactly when its first byte is written.
 */
import {Client} from 'undici';

import {CarriedAttempts} from './carried_attempts.js';
import {
  type CheckState,
  checkStateOf,
  startCheckedExchange,
} from './checked_exchange.js';
import type {
  PooledConnection,
  PooledExchange,
  PooledReceiver,
  PooledRequest,
} from './pooled_exchange.js';
import {endIfExcessive, ResponseWatch} from './response_watch.js';
import {createUpstreamConnector} from './upstream_socket.js';

/** Milliseconds allowed to connect; links have a delay of some milliseconds. */
const CONNECT_TIMEOUT_MILLISECONDS = 300;

/** Idle milliseconds until a connection closes if the upstream sets no limit. */
const DEFAULT_IDLE_TIMEOUT_MILLISECONDS = 4000;

/** Milliseconds by which a connection closes before its upstream closes it. */
const IDLE_MARGIN_MILLISECONDS = 1000;

interface Upstream {
  readonly idle: PooledConnection[];
  readonly open: Set<PooledConnection>;
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

  private openCount = 0;

  constructor(
    private readonly clock: () => number,
    /** Maximum number of open connections to all upstreams together. */
    private readonly maximumOpen = Infinity,
    /** Readings that include the time for which the host was suspended. */
    private readonly ageClock: () => number = clock,
  ) {
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
    const now = this.clock();
    const dueAt = now + request.maximumMilliseconds;
    if (request.attemptId !== undefined) {
      connection.carriedAttempts.add(request.attemptId, dueAt, now);
    }
    const upstream = this.getOrCreateUpstream(request.address);
    const context = {
      connection,
      watch: this.watch,
      dueAt,
      sendUnchecked: () => this.send({...request, check: undefined}, receiver),
    };
    return startCheckedExchange(context, request, receiver, isReusable => {
      if (isReusable && !connection.isClosed) {
        connection.idleSince = this.clock();
        upstream.idle.push(connection);
        return;
      }
      endConnection(connection);
    });
  }

  /** Closes the idle connections to `address`. */
  closeIdle(address: string): void {
    [...(this.upstreams.get(address)?.idle ?? [])].forEach(endConnection);
  }

  /**
   * Returns a function that returns whether all connections to `address` that are
   * open now have closed by the time it is called. A crash of the upstream
   * closes all of them, whereas the loss of one connection leaves the others
   * open.
   */
  watchConnections(address: string): () => boolean {
    const openConnections = [...(this.upstreams.get(address)?.open ?? [])];
    return () => openConnections.every(({isClosed}) => isClosed);
  }

  /** Returns whether a connection to `address` is open. */
  hasOpenConnection(address: string): boolean {
    return [...(this.upstreams.get(address)?.open ?? [])].some(
      ({socket, isClosed}) => socket !== undefined && !isClosed,
    );
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

  private takeConnection(request: PooledRequest): PooledConnection | undefined {
    const {address, maximumConnections} = request;
    const upstream = this.getOrCreateUpstream(address);
    const now = this.clock();
    for (;;) {
      const newest = upstream.idle.at(-1);
      if (newest === undefined || isUsable(newest, request, now)) {
        break;
      }
      upstream.idle.pop();
      endConnection(newest);
    }
    const isCandidate = (connection: PooledConnection): boolean =>
      isUsable(connection, request, now) &&
      !hasCarried(connection, request.attemptId);
    const index = bestIndexOf(
      upstream.idle.map(connection =>
        isCandidate(connection)
          ? checkStateOf(connection, request.check)
          : 'failed',
      ),
    );
    if (index >= 0) {
      return upstream.idle.splice(index, 1)[0];
    }
    const hasRoom =
      upstream.open.size < maximumConnections &&
      this.openCount < this.maximumOpen;
    if (hasRoom) {
      return this.openConnection(request, upstream);
    }
    const replaced =
      upstream.open.size < maximumConnections
        ? this.takeLongestIdle()
        : upstream.idle.shift();
    if (replaced === undefined) {
      return undefined;
    }
    endConnection(replaced);
    return this.openConnection(request, upstream);
  }

  /** Removes and returns the connection that has been idle for longest. */
  private takeLongestIdle(): PooledConnection | undefined {
    const [longest] = [...this.upstreams.values()]
      .filter(({idle}) => idle.length > 0)
      .sort((left, right) => idleSinceOf(left) - idleSinceOf(right));
    return longest?.idle.shift();
  }

  private openConnection(
    {
      address,
      connectMilliseconds = CONNECT_TIMEOUT_MILLISECONDS,
    }: PooledRequest,
    upstream: Upstream,
  ): PooledConnection {
    const client = new Client(`http://${address}`, {
      connect: createUpstreamConnector(connectMilliseconds, {
        onConnected: socket => {
          connection.socket = socket;
          connection.openedAt = this.ageClock();
          socket.on('readable', () => checkReceivedBytes(connection));
          socket.once('close', () => onClosed());
        },
        onFailed: () => {
          // undici reports no failure of a client that was destroyed before.
          if (connection.isEndedHere) {
            onClosed();
          }
        },
      }),
      headersTimeout: 0,
      bodyTimeout: 0,
      pipelining: 1,
      keepAliveTimeout: DEFAULT_IDLE_TIMEOUT_MILLISECONDS,
      keepAliveTimeoutThreshold: IDLE_MARGIN_MILLISECONDS,
    });
    const connection: PooledConnection = {
      client,
      socket: undefined,
      idleSince: this.clock(),
      openedAt: this.ageClock(),
      isChecked: false,
      reportedStart: undefined,
      hasCarriedRequest: false,
      carriedAttempts: new CarriedAttempts(),
      response: undefined,
      isClosed: false,
      isEndedHere: false,
    };
    upstream.open.add(connection);
    this.openCount += 1;
    const onClosed = (): void => {
      if (connection.isClosed) {
        return;
      }
      connection.isClosed = true;
      upstream.open.delete(connection);
      this.openCount -= 1;
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

/** Returns since when the first idle connection of an upstream has been idle. */
function idleSinceOf({idle}: Upstream): number {
  return idle[0]?.idleSince ?? Infinity;
}

function isUsable(
  {isClosed, idleSince}: PooledConnection,
  {maximumIdleMilliseconds}: PooledRequest,
  now: number,
): boolean {
  return !isClosed && now - idleSince < maximumIdleMilliseconds;
}

/** Returns the last index of a connection that may be used, one with a check first. */
function bestIndexOf(states: readonly CheckState[]): number {
  const met = states.lastIndexOf('met');
  return met >= 0 ? met : states.lastIndexOf('open');
}

function hasCarried(
  {carriedAttempts}: PooledConnection,
  attemptId: string | undefined,
): boolean {
  return attemptId !== undefined && carriedAttempts.has(attemptId);
}

function endConnection(connection: PooledConnection): void {
  connection.isEndedHere = true;
  void connection.client.destroy();
}

/**
 * Ends a response without end, and closes an idle connection that receives
 * bytes, which belong to no request.
 */
function checkReceivedBytes(connection: PooledConnection): void {
  const {response, socket} = connection;
  if (response !== undefined) {
    endIfExcessive(response);
    return;
  }
  if (socket !== undefined && socket.readableLength > 0) {
    endConnection(connection);
  }
}
