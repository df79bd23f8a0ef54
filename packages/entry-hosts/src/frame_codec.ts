/**
 * Encoding of frames between entry processes: one JSON document per line.
 */
import type {Socket} from 'node:net';

import {LineSplitter} from './line_splitter.js';

/** Maximum size of a frame, in bytes. */
const MAXIMUM_FRAME_BYTES = 16 * 1024 * 1024;

/** Bytes of a frame that may contain as many values as fit. */
const UNCOUNTED_FRAME_BYTES = 256 * 1024;

/**
 * Maximum number of values of a frame. Empty lists take ten times as much memory as
 * their text; the list of 12,000 upstreams has a fifth of as many values.
 */
const MAXIMUM_FRAME_VALUES = 1_000_000;

/** Bytes that each begin a value: a comma, and the start of a list or an object. */
const VALUE_STARTS: ReadonlySet<number> = new Set([0x2c, 0x5b, 0x7b]);

/** Work of a frame, beside what its bytes cause. */
const FRAME_WORK = 16;

/** Bytes of a frame that cause one unit of work. */
const BYTES_PER_WORK = 64;

/** Bounds the frames that are read in an iteration of the event loop. */
export interface FrameTurns {
  /** Whether further frames have to wait. */
  readonly isSpent: boolean;
  /** Records work that frames cause. */
  record(work: number): void;
  /** Calls `turn` in a later iteration. */
  add(turn: () => void): void;
  /** Removes a turn that is not needed any more. */
  remove(turn: () => void): void;
}

/** Receiver of the frames of a connection. */
export interface FrameReceiver {
  readonly onFrame: (frame: object) => void;
  /** Called with the bytes that were received and not passed on. */
  readonly onPending?: (bytes: number) => void;
  /** If absent, frames are passed on as they arrive. */
  readonly turns?: FrameTurns;
}

/**
 * Passes on each object or list received over a connection. A line that is too large or
 * not valid JSON closes it.
 */
export class FrameReader {
  private readonly splitter = new LineSplitter();
  private isHeld = false;
  private readonly takeTurn = (): void => this.read();

  constructor(
    private readonly socket: Socket,
    private readonly receiver: FrameReceiver,
  ) {
    socket.on('data', (chunk: Buffer) => {
      this.splitter.push(chunk);
      this.read();
    });
    socket.on('close', () => receiver.turns?.remove(this.takeTurn));
  }

  /** Passes on no frame until `release` is called. */
  hold(): void {
    this.isHeld = true;
    this.socket.pause();
  }

  /** Passes on frames again. */
  release(): void {
    if (this.isHeld) {
      this.isHeld = false;
      this.read();
    }
  }

  private read(): void {
    const {socket, receiver, splitter} = this;
    while (splitter.hasUnsearched && this.mayPass()) {
      const line = splitter.take();
      if (line !== undefined) {
        this.pass(line);
      }
    }
    if (splitter.heldBytes > MAXIMUM_FRAME_BYTES) {
      socket.destroy();
    }
    if (socket.destroyed) {
      return;
    }
    receiver.onPending?.(splitter.heldBytes);
    if (this.isHeld || splitter.hasUnsearched) {
      socket.pause();
    } else if (socket.isPaused()) {
      socket.resume();
    }
  }

  private mayPass(): boolean {
    const {turns} = this.receiver;
    if (this.socket.destroyed || this.isHeld) {
      return false;
    }
    if (turns?.isSpent === true) {
      turns.add(this.takeTurn);
      return false;
    }
    return true;
  }

  private pass(line: Buffer): void {
    this.receiver.turns?.record(FRAME_WORK + line.length / BYTES_PER_WORK);
    const frame = parseFrame(line);
    if (frame === undefined) {
      this.socket.destroy();
      return;
    }
    this.receiver.onFrame(frame);
  }
}

/**
 * Writes `frame` to `socket`. The frames written in one turn of the event loop
 * share a system call.
 */
export function writeFrame(socket: Socket, frame: unknown): void {
  if (socket.writableCorked === 0) {
    socket.cork();
    setImmediate(() => socket.uncork());
  }
  socket.write(`${JSON.stringify(frame)}\n`);
}

function parseFrame(line: Buffer): object | undefined {
  if (hasTooManyValues(line)) {
    return undefined;
  }
  try {
    const frame: unknown = JSON.parse(line.toString());
    return typeof frame === 'object' && frame !== null ? frame : undefined;
  } catch {
    return undefined;
  }
}

function hasTooManyValues(line: Buffer): boolean {
  if (line.length <= UNCOUNTED_FRAME_BYTES) {
    return false;
  }
  let count = 0;
  for (const byte of line) {
    count += VALUE_STARTS.has(byte) ? 1 : 0;
  }
  return count > MAXIMUM_FRAME_VALUES;
}
