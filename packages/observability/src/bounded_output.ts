/**
 * Output to a reader that may be slow: what does not fit into a bounded buffer
 * is left out and counted, and writing never blocks.
 */
import {fstatSync} from 'node:fs';
import {Socket} from 'node:net';
import {Writable} from 'node:stream';

/**
 * Bytes that wait for the reader, at most: some thousand lines, a small part of
 * the memory of an entry host.
 */
const MAXIMUM_BUFFERED_BYTES = 1024 * 1024;

/** Writes whole lines to `target` or leaves them out. */
export class BoundedOutput extends Writable {
  private leftOut = 0;

  constructor(
    private readonly target: Writable,
    private readonly maximumBytes = MAXIMUM_BUFFERED_BYTES,
  ) {
    super({decodeStrings: true});
    target.on('error', () => {
      // The reader is gone; there is nobody left to tell.
      this.leftOut += 1;
    });
  }

  /** Lines left out since the last one that was written. */
  get leftOutCount(): number {
    return this.leftOut;
  }

  override _write(
    line: Buffer,
    _encoding: BufferEncoding,
    callback: () => void,
  ): void {
    if (this.target.writableLength + line.length > this.maximumBytes) {
      this.leftOut += 1;
      callback();
      return;
    }
    if (this.leftOut > 0) {
      this.target.write(`${JSON.stringify({linesLeftOut: this.leftOut})}\n`);
      this.leftOut = 0;
    }
    this.target.write(line);
    callback();
  }
}

const STANDARD_OUTPUT = 1;

/**
 * Standard output without blocking. Node writes to a pipe synchronously through
 * `process.stdout`; a socket over the same descriptor does not.
 */
export function openStandardOutput(): BoundedOutput {
  const kind = fstatSync(STANDARD_OUTPUT);
  const isPipe = kind.isFIFO() || kind.isSocket();
  return new BoundedOutput(
    isPipe
      ? new Socket({fd: STANDARD_OUTPUT, readable: false, writable: true})
      : process.stdout,
  );
}
