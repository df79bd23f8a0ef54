/**
 * Bytes that arrive in chunks. Each byte is copied a bounded number of times, and
 * many small chunks occupy no more memory than a few large ones.
 */

/** Bytes for which room is made at first. */
const MINIMUM_CAPACITY_BYTES = 1024;

/** Collects chunks of bytes. */
export class ByteAccumulator {
  private buffer: Buffer = Buffer.alloc(0);
  private used = 0;

  /** Number of bytes. */
  get length(): number {
    return this.used;
  }

  /** Appends a copy of `chunk`. */
  append(chunk: Buffer): void {
    const needed = this.used + chunk.length;
    if (needed > this.buffer.length) {
      this.grow(needed);
    }
    chunk.copy(this.buffer, this.used);
    this.used = needed;
  }

  /** Removes and returns all bytes. */
  take(): Buffer {
    const bytes = this.buffer.subarray(0, this.used);
    this.buffer = Buffer.alloc(0);
    this.used = 0;
    return bytes;
  }

  private grow(needed: number): void {
    const capacity = Math.max(
      MINIMUM_CAPACITY_BYTES,
      needed,
      2 * this.buffer.length,
    );
    const grown = Buffer.allocUnsafeSlow(capacity);
    this.buffer.copy(grown, 0, 0, this.used);
    this.buffer = grown;
  }
}
