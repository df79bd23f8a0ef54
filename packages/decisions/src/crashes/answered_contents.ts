/**
 * Request content that was answered completely a short time ago. Such content
 * does not crash the upstreams that run it, so if some of them crashed, there
 * was another cause.
 */

/** Duration of a generation; an entry is kept for one to two of them. */
const GENERATION_MILLISECONDS = 30_000;

/** Largest size of a generation: 10 s of traffic at 800 requests a second. */
const MAXIMUM_CONTENTS_PER_GENERATION = 8192;

/** Fingerprints of the content that one host answered, in two generations. */
export class AnsweredContents {
  private current = new Set<string>();
  private previous = new Set<string>();
  /** Time at which the current generation began. */
  private since = 0;

  /** Records that the content with this fingerprint was answered completely. */
  add(fingerprint: string, now: number): void {
    this.rotateGenerations(now);
    if (this.current.size < MAXIMUM_CONTENTS_PER_GENERATION) {
      this.current.add(fingerprint);
    }
  }

  /** Returns whether the content was answered shortly before `now`. */
  has(fingerprint: string, now: number): boolean {
    this.rotateGenerations(now);
    return this.current.has(fingerprint) || this.previous.has(fingerprint);
  }

  private rotateGenerations(now: number): void {
    const age = now - this.since;
    if (age < GENERATION_MILLISECONDS) {
      return;
    }
    this.previous =
      age < 2 * GENERATION_MILLISECONDS ? this.current : new Set<string>();
    this.current = new Set<string>();
    this.since = now;
  }
}
