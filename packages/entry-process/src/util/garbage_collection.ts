/**
 * Collection of the memory outside the heap that clients fill. V8 weighs it little and
 * would let tens of megabytes wait for a collection.
 */

/** Collects garbage: all of it, or only what was allocated lately. */
export type Collector = (options: {readonly type: 'major' | 'minor'}) => void;

/** Bytes that are read before what they left behind is collected. */
const MAXIMUM_READ_BYTES = 4 * 1024 * 1024;

/** Bytes that are given up before they are collected. */
const MAXIMUM_GIVEN_UP_BYTES = 8 * 1024 * 1024;

/** Counts what is to be collected, and collects it. */
export class GarbageCollection {
  private readBytes = 0;
  private givenUpBytes = 0;

  constructor(private readonly collect: Collector) {}

  /** Records that `bytes` were read, whose buffers soon serve no purpose. */
  recordRead(bytes: number): void {
    this.readBytes += bytes;
    if (this.readBytes > MAXIMUM_READ_BYTES) {
      this.readBytes = 0;
      this.collect({type: 'minor'});
    }
  }

  /** Records that `bytes` which were kept for some time were given up. */
  recordGivenUp(bytes: number): void {
    this.givenUpBytes += bytes;
    if (this.givenUpBytes > MAXIMUM_GIVEN_UP_BYTES) {
      this.givenUpBytes = 0;
      this.readBytes = 0;
      this.collect({type: 'major'});
    }
  }
}
