/**
 * Bytes that arrive in chunks. Each byte is copied twice at most, and many small
 * chunks occupy hardly more memory than their bytes.
 */

/** Sizes of the segments: each is twice as large as the one before, up to a maximum. */
const MINIMUM_SEGMENT_BYTES = 1024;
const MAXIMUM_SEGMENT_BYTES = 65_536;

/** Collects chunks of bytes. */
export class ByteAccumulator {
  private readonly full: Buffer[] = [];
  private segment: Buffer = Buffer.alloc(0);
  /** Bytes that are used of `segment`. */
  private used = 0;
  private total = 0;

  /** Number of bytes. */
  get length(): number {
    return this.total;
  }

  /** Appends a copy of `chunk`. */
  append(chunk: Buffer): void {
    this.total += chunk.length;
    let start = 0;
    while (start < chunk.length) {
      if (this.used === this.segment.length) {
        this.addSegment();
      }
      const copied = chunk.copy(this.segment, this.used, start);
      this.used += copied;
      start += copied;
    }
  }

  /** Removes and returns all bytes. */
  take(): Buffer {
    const last = this.segment.subarray(0, this.used);
    const bytes =
      this.full.length === 0 ? last : Buffer.concat([...this.full, last]);
    this.full.length = 0;
    this.segment = Buffer.alloc(0);
    this.used = 0;
    this.total = 0;
    return bytes;
  }

  private addSegment(): void {
    const size = Math.min(
      MAXIMUM_SEGMENT_BYTES,
      Math.max(MINIMUM_SEGMENT_BYTES, 2 * this.segment.length),
    );
    if (this.used > 0) {
      this.full.push(this.segment);
    }
    this.segment = Buffer.allocUnsafeSlow(size);
    this.used = 0;
  }
}
