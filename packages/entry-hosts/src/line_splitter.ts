/**
 * Splits bytes into lines. Each byte is searched once, and lines are not separated
 * before they are taken.
 */
import {ByteAccumulator} from '@lacewingwinch/decisions';

const NEWLINE = 0x0a;
const NO_BYTES = Buffer.alloc(0);

/** Buffers bytes until they form complete lines. */
export class LineSplitter {
  /** The start of a line. */
  private readonly pending = new ByteAccumulator();
  /** What follows it and was not searched. */
  private unsearched: Buffer = NO_BYTES;

  /** Number of bytes that were not taken. */
  get heldBytes(): number {
    return this.pending.length + this.unsearched.length;
  }

  /** Whether there may be another complete line. */
  get hasUnsearched(): boolean {
    return this.unsearched.length > 0;
  }

  /** Adds `chunk`. */
  push(chunk: Buffer): void {
    this.unsearched = this.hasUnsearched
      ? Buffer.concat([this.unsearched, chunk])
      : chunk;
  }

  /** Takes the next line without its end; undefined if none is complete. */
  take(): Buffer | undefined {
    const end = this.unsearched.indexOf(NEWLINE);
    if (end < 0) {
      this.pending.append(this.unsearched);
      this.unsearched = NO_BYTES;
      return undefined;
    }
    const line = this.unsearched.subarray(0, end);
    this.unsearched = this.unsearched.subarray(end + 1);
    if (this.pending.length === 0) {
      return line;
    }
    this.pending.append(line);
    return this.pending.take();
  }
}
