/**
 * Connections to upstreams on which a failure cannot be taken for an orderly
 * end. undici completes a body without a length when its connection is reset,
 * and libuv reports an end when a reset is polled together with data.
 */
import {Socket} from 'node:net';

import type {buildConnector} from 'undici';

/** System calls whose errors mean that the connection is lost. */
const TRANSFER_CALLS: ReadonlySet<string> = new Set(['read', 'write']);

/** Port of an origin without one. */
const DEFAULT_PORT = 80;

/** Error of a connection that was reset. */
export class ConnectionResetError extends Error {
  override readonly name = 'ConnectionResetError';

  constructor(cause: Error) {
    super('the connection was reset', {cause});
  }
}

/** Error of a connection that could not be made; no byte was sent. */
export class ConnectFailedError extends Error {
  override readonly name = 'ConnectFailedError';

  constructor(cause: Error) {
    super(cause.message, {cause});
  }
}

/**
 * A socket whose failures take effect after the data that came before them.
 * Reading is paused here and not at undici, whose parser asserts that it is not
 * paused when the connection ends: nothing that follows a pause, neither data
 * nor an end nor a failure, reaches undici before reading is resumed.
 */
export class UpstreamSocket extends Socket {
  /** Failure that takes effect as soon as all received data has been read. */
  private failure: ConnectionResetError | undefined;
  private isReadingPaused = false;

  /** Pauses reading until `resumeReading` is called. */
  pauseReading(): void {
    this.isReadingPaused = true;
  }

  /** Resumes reading with what has arrived in the meantime. */
  resumeReading(): void {
    if (this.isReadingPaused) {
      this.isReadingPaused = false;
      // undici may be in the middle of parsing.
      process.nextTick(() => this.emit('readable'));
    }
  }

  override read(size?: number): unknown {
    if (this.isReadingPaused) {
      return null;
    }
    if (this.failure !== undefined && this.readableLength === 0) {
      super.destroy(this.failure);
      return null;
    }
    return super.read(size) as unknown;
  }

  override push(chunk: unknown, encoding?: BufferEncoding): boolean {
    if (chunk !== null || !this.hasPendingReset()) {
      return super.push(chunk, encoding);
    }
    // A stream with an error reports no further data by itself.
    this.emit('readable');
    return false;
  }

  override destroy(error?: Error): this {
    if (error === undefined || !isTransferError(error)) {
      return super.destroy(error);
    }
    this.failure ??= new ConnectionResetError(error);
    return this.isReadingPaused || this.readableLength > 0
      ? this
      : super.destroy(this.failure);
  }

  /**
   * Returns whether a reset is pending at the end of the received data. A write
   * of no bytes fails on a pending reset and succeeds after an orderly end.
   */
  private hasPendingReset(): boolean {
    if (this.failure === undefined && this.writable) {
      this.write(Buffer.alloc(0));
      if (this.errored !== null) {
        this.failure = new ConnectionResetError(this.errored);
      }
    }
    return this.failure !== undefined;
  }
}

/** Receiver of what becomes of a connection that is opened. */
export interface ConnectReceiver {
  readonly onConnected: (socket: UpstreamSocket) => void;
  readonly onFailed: () => void;
}

/** Returns a connector for undici that opens an `UpstreamSocket`. */
export function createUpstreamConnector(
  timeoutMilliseconds: number,
  receiver?: ConnectReceiver,
): buildConnector.connector {
  return ({hostname, port}, callback) => {
    const socket = new UpstreamSocket();
    const timer = setTimeout(
      () => giveUpConnecting(socket),
      timeoutMilliseconds,
    );
    const onError = (error: Error): void => {
      clearTimeout(timer);
      receiver?.onFailed();
      callback(new ConnectFailedError(error), null);
    };
    socket.once('error', onError);
    socket.setNoDelay(true);
    socket.connect({host: hostname, port: Number(port) || DEFAULT_PORT}, () => {
      clearTimeout(timer);
      socket.off('error', onError);
      receiver?.onConnected(socket);
      callback(null, socket);
    });
  };
}

/**
 * Destroys a socket that is still connecting. Sockets are polled once more first:
 * after a delay of this process, a timer fires before a connection that is ready.
 */
export function giveUpConnecting(socket: Socket): void {
  setImmediate(() => {
    if (socket.connecting) {
      socket.destroy(new Error('connecting took too long'));
    }
  });
}

function isTransferError(error: Error): boolean {
  const {syscall} = error as NodeJS.ErrnoException;
  return syscall !== undefined && TRANSFER_CALLS.has(syscall);
}
