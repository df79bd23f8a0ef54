/**
 * A connection of a client as the HTTP parser sees it. The parser emits every request
 * and every chunk of what it is given before anything else runs; so it is given small
 * slices, and nothing while earlier requests wait for their answers.
 */
import type {Socket} from 'node:net';
import {Duplex} from 'node:stream';

import type {ConnectionProbes} from './connection_probes.js';
import type {ParsingTurn, ParsingTurns} from './parsing_turns.js';

/** What the parser expects next on a connection. */
export type ExpectedInput =
  | {readonly kind: 'request'}
  /** A body of which this many bytes are missing. */
  | {readonly kind: 'body'; readonly bytes: number}
  | {readonly kind: 'chunks'};

/** Decides what the parser is given. */
export interface ClientStreamPacing {
  /** Returns whether the parser may be given more. */
  readonly mayContinue: () => boolean;
  readonly expectedInput: () => ExpectedInput;
  /** Called with the number of bytes that have arrived from the client. */
  readonly onReceived: (bytes: number) => void;
  /** Called with the size of each slice that the parser was given. */
  readonly onParsed: (bytes: number) => void;
  /** Called when the parser has what it may have for now. */
  readonly onFed: () => void;
}

/** Bytes of a slice of a head, and how heads end. */
const HEAD_SLICE_BYTES = 1024;
const END_OF_HEAD = '\r\n\r\n';

/**
 * Bytes of a slice of a chunked body, at first and at most; it grows while its chunks are
 * large.
 */
const MINIMUM_CHUNKS_SLICE_BYTES = 2048;
const MAXIMUM_CHUNKS_SLICE_BYTES = 16_384;

/** Chunks of a slice up to which the next slice may be larger. */
const FEW_CHUNKS = 8;

/** How chunked bodies end. */
const END_OF_CHUNKS = '\r\n0\r\n\r\n';

/**
 * Work of the parser, in chunks of a body, after which a connection waits for its next
 * turn.
 */
const WORK_PER_TURN = 256;

/** Work that a request causes, in chunks of a body. */
const REQUEST_WORK = 64;

/** Work that each name and each value of a header causes. */
const HEADER_STRING_WORK = 0.5;

/** Work that a slice of a head causes. */
const HEAD_SLICE_WORK = 8;

const NOTHING = Buffer.alloc(0);

/** The stream over one connection. */
export class ClientStream extends Duplex {
  /** Bytes that were received and not given to the parser. */
  private held: Buffer = NOTHING;
  private hasEnded = false;
  private isEndPushed = false;
  private isFeeding = false;
  /** Whether the stream has requested a slice since the last one. */
  private isWanted = false;
  private work = 0;
  private chunksSliceBytes = MINIMUM_CHUNKS_SLICE_BYTES;
  private mustReset = false;
  private readonly takeTurn: ParsingTurn = () => {
    this.work = 0;
    this.feed();
  };

  constructor(
    private readonly connection: Socket,
    private readonly pacing: ClientStreamPacing,
    private readonly turns: ParsingTurns,
    private readonly probes: ConnectionProbes,
  ) {
    super({allowHalfOpen: true});
    connection.on('data', (chunk: Buffer) => {
      this.held =
        this.held.length === 0 ? chunk : Buffer.concat([this.held, chunk]);
      pacing.onReceived(chunk.length);
      this.feed();
    });
    connection.on('end', () => {
      this.hasEnded = true;
      this.feed();
    });
    connection.on('timeout', () => this.emit('timeout'));
    connection.on('error', error => this.destroy(error));
    connection.on('close', () => this.destroy());
    this.on('resume', () => this.feed());
  }

  /** IP address of the client. */
  get remoteAddress(): string | undefined {
    return this.connection.remoteAddress;
  }

  /** Number of bytes that were received and not given to the parser. */
  get heldBytes(): number {
    return this.held.length;
  }

  /** Records that the parser has emitted a request with names and values of headers. */
  countRequest(headerStrings: number): void {
    this.countWork(REQUEST_WORK + HEADER_STRING_WORK * headerStrings);
  }

  /** Records that the parser has emitted a chunk of a body. */
  countChunk(): void {
    this.countWork(1);
  }

  /** Gives the parser what it may have by now. */
  feed(): void {
    if (this.isFeeding) {
      return;
    }
    this.isFeeding = true;
    while (this.canFeed()) {
      this.pushSlice();
    }
    this.isFeeding = false;
    if (this.held.length === 0) {
      this.work = 0;
    }
    this.pauseOrResume();
    this.pacing.onFed();
  }

  /** Emits `timeout` when nothing has moved for `milliseconds`; 0 turns it off. */
  setTimeout(milliseconds: number, listener?: () => void): this {
    this.connection.setTimeout(milliseconds);
    if (listener !== undefined) {
      this.once('timeout', listener);
    }
    return this;
  }

  /** Closes the connection after what was written has been sent. */
  destroySoon(): void {
    this.end();
    if (this.writableFinished) {
      this.destroy();
    } else {
      this.once('finish', () => this.destroy());
    }
  }

  /** Resets the connection, so that its end does not look orderly to the client. */
  resetAndDestroy(): void {
    this.mustReset = true;
    this.destroy();
  }

  override _read(): void {
    this.isWanted = true;
    this.feed();
  }

  override _write(
    chunk: Buffer,
    encoding: BufferEncoding,
    callback: (error?: Error | null) => void,
  ): void {
    this.connection.write(chunk, encoding, callback);
  }

  override _writev(
    chunks: readonly {
      readonly chunk: Buffer;
      readonly encoding: BufferEncoding;
    }[],
    callback: (error?: Error | null) => void,
  ): void {
    this.connection.cork();
    chunks.forEach(({chunk, encoding}, index) => {
      const isLast = index === chunks.length - 1;
      this.connection.write(chunk, encoding, isLast ? callback : undefined);
    });
    this.connection.uncork();
  }

  override _final(callback: () => void): void {
    this.connection.end(callback);
  }

  override _destroy(
    error: Error | null,
    callback: (error?: Error | null) => void,
  ): void {
    this.held = NOTHING;
    this.turns.remove(this.takeTurn);
    this.probes.remove(this.connection);
    if (this.mustReset) {
      this.connection.resetAndDestroy();
    } else {
      this.connection.destroy();
    }
    callback(error);
  }

  private canFeed(): boolean {
    const isRead =
      this.readableFlowing === true &&
      (this.isWanted || this.readableLength === 0) &&
      !this.destroyed;
    if (!isRead || !this.pacing.mayContinue()) {
      return false;
    }
    if (this.held.length === 0) {
      return this.hasEnded && !this.isEndPushed;
    }
    if (this.work >= WORK_PER_TURN || this.turns.isSpent) {
      this.turns.add(this.takeTurn);
      return false;
    }
    return true;
  }

  private pushSlice(): void {
    this.isWanted = false;
    if (this.held.length === 0) {
      this.isEndPushed = true;
      this.push(null);
      return;
    }
    const slice = this.held.subarray(0, this.nextSliceBytes());
    this.held =
      slice.length === this.held.length
        ? NOTHING
        : this.held.subarray(slice.length);
    if (this.pacing.expectedInput().kind === 'request') {
      this.countWork(HEAD_SLICE_WORK);
    }
    const workBefore = this.work;
    this.push(slice);
    this.chunksSliceBytes =
      this.work - workBefore <= FEW_CHUNKS
        ? Math.min(MAXIMUM_CHUNKS_SLICE_BYTES, 2 * this.chunksSliceBytes)
        : MINIMUM_CHUNKS_SLICE_BYTES;
    this.pacing.onParsed(slice.length);
  }

  private countWork(work: number): void {
    this.work += work;
    this.turns.record(work);
  }

  private nextSliceBytes(): number {
    const expected = this.pacing.expectedInput();
    switch (expected.kind) {
      case 'request':
        return endWithin(this.held, HEAD_SLICE_BYTES, END_OF_HEAD);
      case 'body':
        return Math.max(1, expected.bytes);
      case 'chunks':
        return endWithin(this.held, this.chunksSliceBytes, END_OF_CHUNKS);
    }
  }

  private pauseOrResume(): void {
    const mustWait = this.held.length > 0;
    if (mustWait !== this.connection.isPaused()) {
      if (mustWait) {
        this.connection.pause();
        this.probes.add(this.connection);
      } else {
        this.connection.resume();
        this.probes.remove(this.connection);
      }
    }
  }
}

/**
 * Returns the size of a slice that ends with `end`, so that the parser gets no part of
 * what follows, or `maximumBytes`.
 */
function endWithin(bytes: Buffer, maximumBytes: number, end: string): number {
  const index = bytes.subarray(0, maximumBytes).indexOf(end, 0, 'latin1');
  return index < 0 ? maximumBytes : index + end.length;
}
