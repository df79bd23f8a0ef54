/**
 * The work at one upstream, as one host knows it: requests in progress, and the
 * prompts that the upstream has still to read. While prompts wait without a
 * pause, the time from one first token to the next is that of the prompt in
 * between, however long the prompt waited.
 */
import type {WorkSample} from './work_speeds.js';

/** A prompt that an upstream has still to read. */
export interface WaitingPrompt {
  readonly tokens: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly placedAt: number;
}

/** Fewest tokens by which a reading speed is measured. */
const MINIMUM_MEASURED_TOKENS = 256;

/** Tokens by which a speed is measured although prompts are still waiting. */
const MEASURED_TOKENS_WHILE_BUSY = 20_000;

/**
 * Tokens that must have been read for each one that waits. Prompts that wait may
 * have been read in part.
 */
const MEASURED_TOKENS_PER_WAITING_TOKEN = 4;

/** Milliseconds within which a request that ends was placed but not sent. */
const UNSENT_MILLISECONDS = 40;

/** Work at one upstream. */
export class UpstreamWork {
  /** Requests in progress. */
  running = 0;
  /** By placement key, in the order in which they were placed. */
  readonly waiting = new Map<string, WaitingPrompt>();
  private waitingTokens = 0;
  /** Time of the last first token. */
  private lastBegunAt = -Infinity;
  /** Start of the measurement, and the tokens read since. */
  private measuredSince = -Infinity;
  private measuredTokens = 0;
  private isFromIdle = false;
  /** Tokens of the prompts that waited at the start of the measurement. */
  private waitingAtStart = 0;
  /** Time until which prompts may have been read without a first token. */
  private unknownUntil = -Infinity;

  /**
   * Time since which the upstream reads the current prompt; undefined if none
   * waits.
   */
  get currentPromptSince(): number | undefined {
    const [first] = this.waiting.values();
    return first === undefined
      ? undefined
      : Math.max(this.lastBegunAt, first.placedAt);
  }

  /** Counts a request; `prompt` is undefined if it is being answered already. */
  add(key: string, prompt?: WaitingPrompt): void {
    this.running += 1;
    if (prompt !== undefined) {
      this.waiting.set(key, prompt);
      this.waitingTokens += prompt.tokens;
    }
  }

  /**
   * Records the first token of a waiting request at `begunAt`; returns the work
   * that was measured by it, if any.
   */
  begin(key: string, begunAt: number): WorkSample | undefined {
    const prompt = this.waiting.get(key);
    const readingSince = this.currentPromptSince;
    if (prompt === undefined || readingSince === undefined) {
      return undefined;
    }
    const isAfterPause = readingSince > this.lastBegunAt;
    const previous = isAfterPause
      ? this.takeSample(this.lastBegunAt, this.requiredTokens(0))
      : undefined;
    if (isAfterPause) {
      this.startMeasurement(readingSince, true);
    }
    this.remove(key, prompt);
    this.measuredTokens += prompt.tokens;
    this.lastBegunAt = Math.max(this.lastBegunAt, begunAt);
    if (this.unknownUntil > this.measuredSince) {
      this.startMeasurement(this.lastBegunAt, false);
      return undefined;
    }
    return (
      previous ??
      this.takeSample(this.lastBegunAt, this.requiredTokens(this.waitingTokens))
    );
  }

  /** Removes a request that is no longer at the upstream. */
  end(key: string, now: number): void {
    this.running = Math.max(0, this.running - 1);
    const prompt = this.waiting.get(key);
    if (prompt !== undefined) {
      this.remove(key, prompt);
      // An unknown share of the prompt was read before the request ended, unless
      // it was not sent at all.
      if (now - prompt.placedAt > UNSENT_MILLISECONDS) {
        this.unknownUntil = now;
      }
    }
  }

  private requiredTokens(waitingTokens: number): number {
    return this.isFromIdle && waitingTokens === 0
      ? MINIMUM_MEASURED_TOKENS
      : Math.max(
          MEASURED_TOKENS_WHILE_BUSY,
          MEASURED_TOKENS_PER_WAITING_TOKEN *
            Math.max(waitingTokens, this.waitingAtStart),
        );
  }

  private takeSample(
    until: number,
    requiredTokens: number,
  ): WorkSample | undefined {
    const sample: WorkSample = {
      units: this.measuredTokens,
      milliseconds: until - this.measuredSince,
      isFromIdle: this.isFromIdle,
    };
    if (sample.units < requiredTokens || sample.milliseconds <= 0) {
      return undefined;
    }
    this.startMeasurement(until, false);
    return sample;
  }

  private startMeasurement(since: number, isFromIdle: boolean): void {
    this.measuredSince = since;
    this.isFromIdle = isFromIdle;
    this.waitingAtStart = isFromIdle ? 0 : this.waitingTokens;
    this.measuredTokens = 0;
  }

  private remove(key: string, {tokens}: WaitingPrompt): void {
    this.waiting.delete(key);
    this.waitingTokens =
      this.waiting.size === 0 ? 0 : this.waitingTokens - tokens;
  }
}
