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

/** Receiver of the frames of a connection. */
export interface FrameReceiver {
  readonly onFrame: (frame: object) => void;
  /** Called with the bytes of the frame that is not complete. */
  readonly onPending?: (bytes: number) => void;
}

/**
 * Passes on each object or list received on `socket`. A line that is too large or not
 * valid JSON closes the socket.
 */
export function readFrames(
  socket: Socket,
  {onFrame, onPending}: FrameReceiver,
): void {
  const splitter = new LineSplitter();
  socket.on('data', (chunk: Buffer) => {
    for (const line of splitter.push(chunk)) {
      const frame = parseFrame(line);
      if (frame === undefined) {
        socket.destroy();
        return;
      }
      onFrame(frame);
    }
    if (splitter.pendingBytes > MAXIMUM_FRAME_BYTES) {
      socket.destroy();
      return;
    }
    onPending?.(splitter.pendingBytes);
  });
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
