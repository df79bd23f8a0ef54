/**
 * Encoding of frames between entry processes: one JSON document per line.
 */
import type {Socket} from 'node:net';

import split from 'split2';

/** Maximum size of a frame, in bytes. */
export const MAXIMUM_FRAME_BYTES = 16 * 1024 * 1024;

/**
 * Calls `onFrame` with each document received on `socket`. A line that is too
 * long or not valid JSON closes the socket.
 */
export function readFrames(
  socket: Socket,
  onFrame: (frame: unknown) => void,
): void {
  const lines = socket.pipe(split({maxLength: MAXIMUM_FRAME_BYTES}));
  lines.on('data', (line: string) => {
    const frame = parseFrame(line);
    if (frame === undefined) {
      socket.destroy();
      return;
    }
    onFrame(frame);
  });
  lines.on('error', () => socket.destroy());
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

function parseFrame(line: string): unknown {
  try {
    return JSON.parse(line);
  } catch {
    return undefined;
  }
}
