/**
 * Output to a reader that may be slow. Writing never blocks: lines that do not
 * fit into a bounded buffer are dropped and counted.
 */
import {fstatSync} from 'node:fs';
import {Socket} from 'node:net';
import {Writable} from 'node:stream';

/**
 * Maximum number of bytes buffered for the reader: room for several thousand
 * lines, and a small part of the memory of an entry host.
 */
const MAXIMUM_BUFFERED_BYTES = 1024 * 1024;

/** Writes each line to `target` completely, or drops it. */
export class BoundedOutput extends Writable {
  private droppedLines = 0;

  constructor(
    private readonly target: Writable,
    private readonly maximumBytes = MAXIMUM_BUFFERED_BYTES,
  ) {
    super({decodeStrings: true});
    target.on('error', () => {
      // The reader is gone, so the error cannot be reported to it.
      this.droppedLines += 1;
    });
  }

  /** Number of lines dropped since the last line that was written. */
  get droppedLineCount(): number {
    return this.droppedLines;
  }

  override _write(
    line: Buffer,
    _encoding: BufferEncoding,
    callback: () => void,
  ): void {
    if (this.target.writableLength + line.length > this.maximumBytes) {
      this.droppedLines += 1;
      callback();
      return;
    }
    if (this.droppedLines > 0) {
      this.target.write(
        `${JSON.stringify({linesLeftOut: this.droppedLines})}\n`,
      );
      this.droppedLines = 0;
    }
    this.target.write(line);
    callback();
  }
}

/** File descriptor of standard output. */
const STANDARD_OUTPUT = 1;

/**
 * Opens standard output for writing without blocking. Node.js writes to a pipe
 * synchronously through `process.stdout`, but asynchronously through a socket
 * that uses the same file descriptor.
 */
export function openStandardOutput(): BoundedOutput {
  const stats = fstatSync(STANDARD_OUTPUT);
  const isPipe = stats.isFIFO() || stats.isSocket();
  return new BoundedOutput(
    isPipe
      ? new Socket({fd: STANDARD_OUTPUT, readable: false, writable: true})
      : process.stdout,
  );
}
