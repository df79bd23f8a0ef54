/**
 * Bytes that arrive in chunks. Each byte is copied twice at most, and many small
 * chunks occupy hardly more memory than their bytes.
 */

/** Sizes of the segments: each is twice as large as the one before, up to a maximum. */
const MINIMUM_SEGMENT_BYTES = 1024;
const MAXIMUM_SEGMENT_BYTES = 65_536;

/** Bytes of a chunk that is kept instead of copied. */
const MINIMUM_KEPT_BYTES = 4096;

const NO_BYTES = Buffer.alloc(0);

/** Collects chunks of bytes. */
export class ByteAccumulator {
  private readonly full: Buffer[] = [];
  private segment: Buffer = NO_BYTES;
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

  /** Appends `chunk`, which does not change; a large one is not copied. */
  appendOwned(chunk: Buffer): void {
    if (chunk.length < MINIMUM_KEPT_BYTES) {
      this.append(chunk);
      return;
    }
    if (this.used > 0) {
      this.full.push(this.segment.subarray(0, this.used));
    }
    this.full.push(chunk);
    this.segment = NO_BYTES;
    this.used = 0;
    this.total += chunk.length;
  }

  /** Removes and returns all bytes. */
  take(): Buffer {
    const parts = this.takeParts();
    const [first = NO_BYTES] = parts;
    return parts.length <= 1 ? first : Buffer.concat(parts);
  }

  /** Removes and returns all bytes in their parts, without copying them. */
  takeParts(): readonly Buffer[] {
    const parts = [...this.full, this.segment.subarray(0, this.used)].filter(
      part => part.length > 0,
    );
    this.full.length = 0;
    this.segment = NO_BYTES;
    this.used = 0;
    this.total = 0;
    return parts;
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
