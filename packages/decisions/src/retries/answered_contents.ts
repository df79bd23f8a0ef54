/**
 * Contents that ran to their end a short time ago: whoever sends the same again
 * does not crash its upstreams, whatever happened to some of them.
 */

/** Milliseconds of one generation; an answer counts for one to two of them. */
const GENERATION_MILLISECONDS = 30_000;

/** Contents that a generation remembers: 10 s of 800 requests a second. */
const MAXIMUM_CONTENTS = 8192;

/** Answered contents of one host, in two generations. */
export class AnsweredContents {
  private current = new Set<string>();
  private previous = new Set<string>();
  private since = 0;

  /** Notes that `fingerprint` ran to its end. */
  note(fingerprint: string, now: number): void {
    this.turn(now);
    if (this.current.size < MAXIMUM_CONTENTS) {
      this.current.add(fingerprint);
    }
  }

  /** Whether `fingerprint` ran to its end a short time before `now`. */
  has(fingerprint: string, now: number): boolean {
    this.turn(now);
    return this.current.has(fingerprint) || this.previous.has(fingerprint);
  }

  private turn(now: number): void {
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
