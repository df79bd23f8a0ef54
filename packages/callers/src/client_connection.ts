/**
 * A connection that a server has accepted: what it may send next, and what it takes
 * while it sends.
 */
import type {IncomingHttpHeaders} from 'node:http';
import type {Socket} from 'node:net';

import type {
  ClientMemory,
  ConnectionTable,
  MemoryHolding,
  TabledConnection,
} from '@lacewingwinch/decisions';

import {ClientStream, type ExpectedInput} from './client_stream.js';
import type {ConnectionProbes} from './connection_probes.js';
import type {ParsingTurns} from './parsing_turns.js';

/** Why a client was refused or its connection closed. */
export type ClientRefusal =
  /** Another connection needed its place. */
  | 'connection-closed'
  /** Every connection of the server was served. */
  | 'connection-refused'
  /** Requests that it sent ahead took too much memory. */
  | 'requests-ahead'
  /** All complete requests together took too much memory. */
  | 'request-refused'
  /** It took its response too slowly. */
  | 'response-untaken'
  /** The missing bytes of its request did not arrive in time for their memory. */
  | 'request-unfinished';

/** What the connections of a server share. */
export interface ConnectionContext {
  readonly table: ConnectionTable<ClientConnection>;
  readonly memory: ClientMemory;
  readonly turns: ParsingTurns;
  readonly probes: ConnectionProbes;
  /** Returns steady clock readings in milliseconds. */
  readonly clock: () => number;
  /** Called with the number of bytes that were read from a client. */
  readonly onRead: (bytes: number) => void;
  readonly onRefused: (refusal: ClientRefusal) => void;
}

/** The headers of a request. */
export interface RequestHead {
  readonly headers: IncomingHttpHeaders;
  readonly rawHeaders: readonly string[];
}

/** A request on a connection. */
export interface ConnectionRequest {
  /** Called once when the connection has closed before the response was taken. */
  onConnectionClosed(): void;
}

/** Requests of a connection that are parsed before the first of them is answered. */
const MAXIMUM_UNANSWERED_REQUESTS = 8;

/**
 * Bytes that the runtime and the operating system hold of a connection that is not
 * read, besides those that the stream holds.
 */
const UNREAD_BYTES = 128 * 1024;

/** Bytes of memory for each byte of a head that is not complete. */
const BYTES_PER_HEAD_BYTE = 4;

/** Bytes of a head that are not counted, because every connection has room for them. */
const FREE_HEAD_BYTES = 1024;

const connections = new WeakMap<object, ClientConnection>();

/** One accepted connection. */
export class ClientConnection implements TabledConnection {
  readonly stream: ClientStream;
  private readonly requests = new Set<ConnectionRequest>();
  private readonly holding: MemoryHolding;
  private expected: ExpectedInput = {kind: 'request'};
  /** Bytes of a head that is not complete. */
  private headBytes = 0;
  private hasRequestInSlice = false;
  private isCounted = false;

  constructor(
    socket: Socket,
    private readonly context: ConnectionContext,
  ) {
    const {memory, table, turns, probes, clock} = context;
    this.holding = memory.open(() => this.close('requests-ahead'));
    const pacing = {
      mayContinue: () => this.mayContinue(),
      expectedInput: () => this.expected,
      onReceived: (bytes: number) => {
        table.recordProgress(this, clock());
        context.onRead(bytes);
      },
      onParsed: (bytes: number) => this.recordParsed(bytes),
      onFed: () => this.count(),
    };
    this.stream = new ClientStream(socket, pacing, turns, probes);
    connections.set(this.stream, this);
    table.add(this, clock());
    this.stream.on('close', () => this.recordClosed());
  }

  /** Returns the connection whose stream is `socket`. */
  static of(socket: object): ClientConnection {
    const connection = connections.get(socket);
    if (connection === undefined) {
      throw new Error('the connection was not accepted by a client gate');
    }
    return connection;
  }

  /** Whether a request of the connection is not answered yet. */
  get hasUnanswered(): boolean {
    return this.requests.size > 0;
  }

  /** Returns whether a request that arrived before `request` is not answered yet. */
  hasEarlier(request: ConnectionRequest): boolean {
    const [first] = this.requests;
    return first !== undefined && first !== request;
  }

  makeRoom(): void {
    this.close('connection-closed');
  }

  /** Records a request whose head is complete. */
  beginRequest(
    request: ConnectionRequest,
    {headers, rawHeaders}: RequestHead,
  ): void {
    this.requests.add(request);
    this.stream.countRequest(rawHeaders.length);
    this.hasRequestInSlice = true;
    this.expected = bodyOf(headers);
  }

  /** Records that a chunk of a body was parsed. */
  countChunk(): void {
    this.stream.countChunk();
  }

  /** Records that the request that arrived last is complete. */
  completeRequest(): void {
    const {table, clock} = this.context;
    this.expected = {kind: 'request'};
    if (this.hasUnanswered) {
      table.setPhase(this, 'serving', clock());
    }
    this.stream.feed();
  }

  /** Records that a request is answered. */
  endRequest(request: ConnectionRequest): void {
    if (!this.requests.delete(request)) {
      return;
    }
    const {table, clock} = this.context;
    if (!this.hasUnanswered) {
      table.setPhase(this, 'waiting', clock());
    }
    this.stream.feed();
  }

  private mayContinue(): boolean {
    return (
      this.expected.kind !== 'request' ||
      this.requests.size < MAXIMUM_UNANSWERED_REQUESTS
    );
  }

  private recordParsed(bytes: number): void {
    if (this.hasRequestInSlice) {
      this.hasRequestInSlice = false;
      this.headBytes = 0;
      return;
    }
    switch (this.expected.kind) {
      case 'request':
        this.headBytes += bytes;
        return;
      case 'body': {
        const left = this.expected.bytes - bytes;
        this.expected = {kind: 'body', bytes: left};
        return;
      }
      case 'chunks':
    }
  }

  /** Counts what the connection holds besides its requests. */
  private count(): void {
    const {heldBytes} = this.stream;
    const isUnread = heldBytes > 0 && this.stream.readableFlowing !== null;
    const head = this.headBytes > FREE_HEAD_BYTES ? this.headBytes : 0;
    if (head === 0 && !isUnread && !this.isCounted) {
      return;
    }
    const bytes =
      head * BYTES_PER_HEAD_BYTE + (isUnread ? heldBytes + UNREAD_BYTES : 0);
    this.isCounted = bytes > 0;
    const kind = isUnread ? 'unread-requests' : 'unfinished-request';
    this.holding.set(kind, bytes, this.context.clock());
  }

  private close(refusal: ClientRefusal): void {
    this.context.onRefused(refusal);
    this.stream.resetAndDestroy();
  }

  private recordClosed(): void {
    this.context.table.remove(this);
    this.holding.release();
    for (const request of this.requests) {
      request.onConnectionClosed();
    }
    this.requests.clear();
  }
}

/** Returns what follows a head with `headers`. */
function bodyOf(headers: IncomingHttpHeaders): ExpectedInput {
  if (headers['transfer-encoding'] !== undefined) {
    return {kind: 'chunks'};
  }
  const bytes = Number(headers['content-length'] ?? 0);
  return bytes > 0 ? {kind: 'body', bytes} : {kind: 'request'};
}
