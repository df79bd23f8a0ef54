/**
 * A request of a client, from its head until its response was taken, and the memory
 * that it takes in between.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';

import {
  ByteAccumulator,
  type MemoryHolding,
  ServingError,
} from '@lacewingwinch/decisions';

import {
  ClientConnection,
  type ConnectionContext,
  type ConnectionRequest,
} from './client_connection.js';

/**
 * Bytes that a request takes besides its body and its headers, and a response that is
 * not taken.
 */
const REQUEST_BYTES = 16 * 1024;

/** Bytes of each name and each value of a header: short ones take far more than text. */
const HEADER_STRING_BYTES = 64;

/**
 * Milliseconds for which the rest of a refused request is read and discarded.
 * The response reaches the client within a round trip, about 10 ms.
 */
const DISCARD_MILLISECONDS = 500;

/** Limits of a body. */
export interface BodyLimits {
  readonly maximumBytes: number;
  /**
   * Returns the error of a request that will be refused whatever its body is. It is
   * called once for a body that does not arrive at once.
   */
  readonly screen?: () => ServingError | undefined;
}

/** Bytes of a body that are read before its request is screened. */
const UNSCREENED_BYTES = 64 * 1024;

/** The body of a request, its error, or `broken` if its client left. */
export type ReadBody = Buffer | ServingError | 'broken';

/** One request of a client. */
export class ClientRequest implements ConnectionRequest {
  private readonly connection: ClientConnection;
  private readonly holding: MemoryHolding;
  private readonly disconnection = new AbortController();
  /** Bytes that the request takes besides its body. */
  private readonly headBytes: number;
  private giveUpReading: (error: ServingError) => void = () => undefined;
  private onClosed: () => void = () => undefined;
  private isServed = false;
  private isClosed = false;

  constructor(
    readonly message: IncomingMessage,
    readonly response: ServerResponse,
    private readonly context: ConnectionContext,
  ) {
    this.connection = ClientConnection.of(message.socket);
    this.headBytes =
      REQUEST_BYTES + HEADER_STRING_BYTES * message.rawHeaders.length;
    this.holding = context.memory.open(() => this.giveUp());
    this.take('unfinished-request', 0);
    this.connection.beginRequest(this, message);
    message.once('end', () => this.connection.completeRequest());
    response.once('close', () => this.recordClosed());
  }

  /** Calls `listener` when the response was taken or the connection has closed. */
  onceClosed(listener: () => void): void {
    this.onClosed = listener;
  }

  /** Aborts if the client disconnects before its response is complete. */
  get clientDisconnected(): AbortSignal {
    return this.disconnection.signal;
  }

  /** Reads the body. A body that is given up leaves its connection unread. */
  readBody({maximumBytes, screen}: BodyLimits): Promise<ReadBody> {
    const {message} = this;
    const announcedBytes = Number(message.headers['content-length'] ?? 0);
    if (announcedBytes > maximumBytes) {
      return Promise.resolve(new ServingError('request-too-large'));
    }
    return new Promise(resolve => {
      const body = new ByteAccumulator();
      const reading = {isScreened: screen === undefined, isSettled: false};
      const settle = (result: ReadBody): void => {
        reading.isSettled = true;
        body.take();
        resolve(result);
      };
      this.giveUpReading = settle;
      const check = (bytes: number): void => {
        if (bytes > maximumBytes) {
          settle(new ServingError('request-too-large'));
          return;
        }
        if (reading.isScreened || bytes <= UNSCREENED_BYTES) {
          return;
        }
        reading.isScreened = true;
        const error = screen?.();
        if (error !== undefined) {
          settle(error);
        }
      };
      check(announcedBytes);
      message.on('data', (chunk: Buffer) => {
        this.connection.countChunk();
        if (!reading.isSettled) {
          check(body.length + chunk.length);
        }
        if (!reading.isSettled) {
          body.appendOwned(chunk);
          this.take('unfinished-request', body.length);
        }
      });
      message.on('end', () => {
        if (!reading.isSettled) {
          settle(this.complete(body.take()));
        }
      });
      message.on('error', () => settle('broken'));
      message.on('close', () => settle('broken'));
    });
  }

  /**
   * Reads and discards the rest of a refused request for a short time, then calls
   * `finish`: closing a connection with unread bytes resets it, possibly before the
   * client has received the response.
   */
  discardRest(finish: () => void): void {
    const {message} = this;
    // The message lives as long as the rest of it is read.
    message.rawHeaders = [];
    message.headers = {};
    if (message.readableEnded || message.destroyed) {
      finish();
      return;
    }
    let isFinished = false;
    const finishOnce = (): void => {
      if (!isFinished) {
        isFinished = true;
        clearTimeout(timer);
        finish();
      }
    };
    const timer = setTimeout(finishOnce, DISCARD_MILLISECONDS);
    message.once('end', finishOnce);
    message.once('close', finishOnce);
    message.on('data', () => this.connection.countChunk());
  }

  /** Records that nothing further is written as the response. */
  recordServed(): void {
    this.isServed = true;
    this.countResponse();
    if (this.isClosed) {
      this.holding.release();
    }
  }

  /** Records that the connection closed before the response was taken. */
  onConnectionClosed(): void {
    this.recordClosed();
  }

  /** Returns the body, or the refusal of a complete request that has no room. */
  private complete(body: Buffer): Buffer | ServingError {
    const {memory, onRefused} = this.context;
    const bytes = this.headBytes + body.length;
    if (!memory.hasRoomForRequest(bytes, this.connection.hasEarlier(this))) {
      onRefused('request-refused');
      return new ServingError('host-full');
    }
    this.take('request', body.length);
    return body;
  }

  private take(kind: 'request' | 'unfinished-request', bytes: number): void {
    this.holding.set(kind, this.headBytes + bytes, this.context.clock());
  }

  private countResponse(): void {
    this.holding.set(
      'untaken-response',
      this.headBytes + this.response.writableLength,
      this.context.clock(),
    );
  }

  private giveUp(): void {
    if (this.isServed) {
      this.context.onRefused('response-untaken');
      this.connection.stream.resetAndDestroy();
      return;
    }
    this.context.onRefused('request-unfinished');
    this.giveUpReading(new ServingError('host-full'));
  }

  private recordClosed(): void {
    if (this.isClosed) {
      return;
    }
    this.isClosed = true;
    if (!this.response.writableFinished) {
      this.disconnection.abort();
    }
    if (this.isServed) {
      this.holding.release();
    }
    this.connection.endRequest(this);
    this.onClosed();
  }
}
