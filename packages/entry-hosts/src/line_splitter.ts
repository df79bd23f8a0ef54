/**
 * Splits bytes into lines. The work for a chunk does not depend on what is pending.
 */
import {ByteAccumulator} from '@lacewingwinch/decisions';

const NEWLINE = 0x0a;

/** Buffers bytes until they form complete lines. */
export class LineSplitter {
  private readonly pending = new ByteAccumulator();

  /** Number of bytes after the last complete line. */
  get pendingBytes(): number {
    return this.pending.length;
  }

  /** Adds `chunk` and returns the lines that it completes, without their ends. */
  push(chunk: Buffer): readonly Buffer[] {
    const lines: Buffer[] = [];
    let start = 0;
    for (
      let end = chunk.indexOf(NEWLINE);
      end >= 0;
      end = chunk.indexOf(NEWLINE, start)
    ) {
      this.pending.append(chunk.subarray(start, end));
      lines.push(this.pending.take());
      start = end + 1;
    }
    this.pending.append(chunk.subarray(start));
    return lines;
  }
}
