/**
 * How fast each engine reads prompts, learned from real requests. Answers
 * engines of one service that differ in speed or turn slow.
 */

/** Prompt tokens that an engine reads in a millisecond, until it is learned. */
const DEFAULT_SPEED = 40;

/** Fewest tokens from which a speed can be told; below it, steps dominate. */
const LEAST_TOKENS = 1000;

/** Milliseconds to the first token that do not depend on the prompt. */
const FIXED_MILLISECONDS = 20;

/** Weight of the newest measurement. */
const NEWEST_WEIGHT = 0.15;

const SLOWEST = 2;
const FASTEST = 200;

/** Learned speeds by engine. */
export class PrefillSpeeds {
  private readonly speeds = new Map<string, number>();

  /** Prompt tokens that `upstreamId` reads in a millisecond. */
  speedOf(upstreamId: string): number {
    return this.speeds.get(upstreamId) ?? DEFAULT_SPEED;
  }

  /** Learns that reading `tokens` took `elapsed` milliseconds. */
  learn(upstreamId: string, tokens: number, elapsed: number): void {
    if (tokens < LEAST_TOKENS) {
      return;
    }
    const measured = tokens / Math.max(1, elapsed - FIXED_MILLISECONDS);
    const bounded = Math.min(Math.max(measured, SLOWEST), FASTEST);
    const known = this.speedOf(upstreamId);
    this.speeds.set(upstreamId, known + (bounded - known) * NEWEST_WEIGHT);
  }

  /** Forgets an engine. */
  forget(upstreamId: string): void {
    this.speeds.delete(upstreamId);
  }
}
