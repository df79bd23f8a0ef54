/**
 * Stand-in for a crowd of clients that send what they like over TCP: bodies that stay
 * open, requests ahead of their answers, nothing at all.
 */
import {connect, type Socket} from 'node:net';

import {delay} from './http_stand_in.js';

/** How each client of a crowd behaves. */
export interface CrowdBehavior {
  /** Number of connections that are open at the same time. */
  readonly connections: number;
  /**
   * Returns what is sent over a connection, which stays open afterwards. `index` is
   * the number of connections that were opened before it.
   */
  readonly send: (index: number) => Iterable<Buffer>;
  /** Whether it reads what it receives; it leaves it unread by default. */
  readonly reads?: boolean;
  /** Number of closed connections that are opened again; none by default. */
  readonly reopenings?: number;
}

/** Milliseconds without any progress after which a crowd has settled. */
const QUIET_MILLISECONDS = 1000;

/** Milliseconds between two checks whether a crowd has settled. */
const POLL_MILLISECONDS = 50;

/** Milliseconds after which a crowd that never rests counts as settled. */
const MAXIMUM_UNREST_MILLISECONDS = 30_000;

/** Characters of the received text that a crowd keeps. */
const MAXIMUM_KEPT_CHARACTERS = 1_000_000;

/** A crowd of clients. */
export class CrowdStandIn {
  private readonly sockets = new Set<Socket>();
  private opened = 0;
  private reopeningsLeft: number;
  private progress = 0;
  private isClosing = false;
  private received = '';

  private constructor(
    private readonly address: string,
    private readonly behavior: CrowdBehavior,
  ) {
    this.reopeningsLeft = behavior.reopenings ?? 0;
  }

  /** Opens the connections of a crowd to `address`. */
  static open(address: string, behavior: CrowdBehavior): CrowdStandIn {
    const crowd = new CrowdStandIn(address, behavior);
    for (let count = 0; count < behavior.connections; count += 1) {
      crowd.openConnection();
    }
    return crowd;
  }

  /** Number of connections that are open. */
  get openCount(): number {
    return this.sockets.size;
  }

  /** The start of what the connections received, if they read it. */
  get receivedText(): string {
    return this.received;
  }

  /** Resolves when nothing is sent, received, opened or closed any more. */
  async settled(): Promise<void> {
    const until = Date.now() + MAXIMUM_UNREST_MILLISECONDS;
    let quietSince = Date.now();
    let lastProgress = this.progress;
    while (Date.now() < until && Date.now() - quietSince < QUIET_MILLISECONDS) {
      await delay(POLL_MILLISECONDS);
      if (this.progress !== lastProgress) {
        lastProgress = this.progress;
        quietSince = Date.now();
      }
    }
  }

  /** Resets all connections. */
  close(): void {
    this.isClosing = true;
    for (const socket of this.sockets) {
      if (socket.connecting) {
        socket.destroy();
      } else {
        socket.resetAndDestroy();
      }
    }
    this.sockets.clear();
  }

  private openConnection(): void {
    const [host, port] = this.address.split(':');
    const socket = connect({host: host ?? '', port: Number(port)});
    const pieces = this.behavior.send(this.opened)[Symbol.iterator]();
    this.opened += 1;
    this.sockets.add(socket);
    if (this.behavior.reads === true) {
      socket.on('data', (chunk: Buffer) => this.receive(chunk));
    } else {
      socket.pause();
    }
    socket.on('error', () => undefined);
    socket.on('connect', () => this.sendNext(socket, pieces));
    socket.on('close', () => {
      this.sockets.delete(socket);
      this.progress += 1;
      if (!this.isClosing && this.reopeningsLeft > 0) {
        this.reopeningsLeft -= 1;
        this.openConnection();
      }
    });
  }

  private sendNext(socket: Socket, pieces: Iterator<Buffer>): void {
    this.progress += 1;
    const next = pieces.next();
    if (next.done !== true && !socket.destroyed) {
      socket.write(next.value, error => {
        if (error === null || error === undefined) {
          this.sendNext(socket, pieces);
        }
      });
    }
  }

  private receive(chunk: Buffer): void {
    this.progress += 1;
    if (this.received.length < MAXIMUM_KEPT_CHARACTERS) {
      this.received += chunk.toString('latin1');
    }
  }
}

/** Returns `count` copies of `text` in pieces of about `pieceBytes`. */
export function* repeated(
  text: string,
  count: number,
  pieceBytes = 65_536,
): Generator<Buffer> {
  const perPiece = Math.max(1, Math.floor(pieceBytes / text.length));
  const piece = Buffer.from(text.repeat(Math.min(perPiece, count)));
  let left = count;
  for (; left >= perPiece; left -= perPiece) {
    yield piece;
  }
  yield piece.subarray(0, left * text.length);
}

/** Returns the chunks of a chunked body of `bytes`, without its last chunk. */
export function* chunkedContent(
  bytes: number,
  chunkBytes: number,
  extension = '',
): Generator<Buffer> {
  const head = `${chunkBytes.toString(16)}${extension}\r\n`;
  const chunk = `${head}${'x'.repeat(chunkBytes)}\r\n`;
  yield* repeated(chunk, Math.floor(bytes / chunkBytes));
}

/** End of a chunked body. */
export const LAST_CHUNK = Buffer.from('0\r\n\r\n');
