/**
 * A simulated model engine in virtual time: continuous batching, in which each
 * stream slows down the steps of all, and a limited prefix cache.
 */
import type {Upstream} from '@lacewingwinch/decisions';

/** Milliseconds of a decoding step with an empty batch. */
const STEP_BASE_MILLISECONDS = 14;

/** Milliseconds that each stream in the batch adds to a step. */
const STEP_MILLISECONDS_PER_STREAM = 1.1;

/** Milliseconds of prefill per token. */
const PREFILL_MILLISECONDS_PER_TOKEN = 0.06;

/** Prefix blocks that the cache of an engine can hold. */
const CACHE_CAPACITY_BLOCKS = 400;

/** Tokens per prefix block. */
export const TOKENS_PER_BLOCK = 64;

/** A request of the workload. */
export interface WorkloadRequest {
  readonly id: string;
  readonly workspace: string;
  /** Virtual time in milliseconds. */
  readonly arrivalTime: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Ids of the prefix blocks of the prompt, in order. */
  readonly prefixes: readonly string[];
  readonly priority: number;
}

/** A stream that an engine runs. */
export interface RunningStream {
  readonly request: WorkloadRequest;
  /** Virtual time of the first token, in milliseconds. */
  readonly firstTokenTime: number;
  /** Tokens of the request that other engines produced before. */
  readonly producedBefore: number;
  /** Progress of the engine, in steps, at which the stream ends. */
  readonly endProgress: number;
  /** Progress of the engine, in steps, at which the prefill has ended. */
  readonly startProgress: number;
}

/** Returns the milliseconds of a step with `streams` in the batch. */
export function stepMilliseconds(streams: number): number {
  return STEP_BASE_MILLISECONDS + STEP_MILLISECONDS_PER_STREAM * streams;
}

/** Returns the milliseconds of the prefill of `tokens`. */
export function prefillMilliseconds(tokens: number): number {
  return tokens * PREFILL_MILLISECONDS_PER_TOKEN;
}

/** A simulated engine. */
export class EngineModel {
  readonly streams: RunningStream[] = [];
  /** Cost so far: hourly price times the hours with at least one stream. */
  cost = 0;
  prefixHitBlocks = 0;
  prefixBlocks = 0;
  isGone = false;
  /** Running and queued requests at the last load report. */
  reportedLoad = 0;
  /** Decoding steps since the start; a fraction within a step. */
  private progress = 0;
  private lastAdvanceTime = 0;
  /** Cached prefix blocks, least recently used first. */
  private readonly cache = new Map<string, true>();

  constructor(readonly upstream: Upstream) {}

  /** Advances the engine to `now`. */
  advance(now: number): void {
    const elapsed = now - this.lastAdvanceTime;
    this.lastAdvanceTime = now;
    if (this.streams.length > 0) {
      this.progress += elapsed / stepMilliseconds(this.streams.length);
      this.cost += (elapsed * this.upstream.pricePerHour) / 3_600_000;
    }
  }

  /**
   * Starts a stream at `now`. With an imported cache it needs no prefill.
   */
  start(
    request: WorkloadRequest,
    producedBefore: number,
    hasImportedCache: boolean,
    now: number,
  ): RunningStream {
    const uncachedTokenCount = hasImportedCache
      ? 0
      : this.cachePrompt(request) + producedBefore;
    const prefillTime = prefillMilliseconds(uncachedTokenCount);
    const currentStepMilliseconds = stepMilliseconds(this.streams.length + 1);
    const remainingTokens = request.outputTokens - producedBefore;
    const stream: RunningStream = {
      request,
      producedBefore,
      firstTokenTime: now + prefillTime + currentStepMilliseconds,
      startProgress: this.progress + prefillTime / currentStepMilliseconds,
      endProgress:
        this.progress + prefillTime / currentStepMilliseconds + remainingTokens,
    };
    this.streams.push(stream);
    return stream;
  }

  /**
   * Returns the time at which the next stream ends if the batch does not
   * change; infinity without streams.
   */
  nextEndTime(): number {
    const [first] = [...this.streams].sort(
      (left, right) => left.endProgress - right.endProgress,
    );
    return first === undefined
      ? Infinity
      : this.lastAdvanceTime +
          Math.max(0, first.endProgress - this.progress) *
            stepMilliseconds(this.streams.length);
  }

  /** Removes and returns the streams that have ended. */
  takeEnded(): readonly RunningStream[] {
    const ended = this.streams.filter(
      ({endProgress}) => endProgress <= this.progress + 1e-6,
    );
    for (const stream of ended) {
      this.streams.splice(this.streams.indexOf(stream), 1);
    }
    return ended;
  }

  /**
   * Returns the number of tokens that `stream` produced on this and earlier
   * engines.
   */
  producedTokensOf(stream: RunningStream): number {
    const producedOnThisEngine = Math.max(
      0,
      this.progress - stream.startProgress,
    );
    return Math.floor(stream.producedBefore + producedOnThisEngine);
  }

  /**
   * Adds the prefix blocks of a prompt to the cache and returns the number of
   * its tokens that were not cached.
   */
  private cachePrompt(request: WorkloadRequest): number {
    const firstMissing = request.prefixes.findIndex(
      prefix => !this.cache.has(prefix),
    );
    const hitBlocks =
      firstMissing === -1 ? request.prefixes.length : firstMissing;
    this.prefixHitBlocks += hitBlocks;
    this.prefixBlocks += request.prefixes.length;
    for (const prefix of request.prefixes) {
      this.cache.delete(prefix);
      this.cache.set(prefix, true);
    }
    for (const prefix of this.cache.keys()) {
      if (this.cache.size <= CACHE_CAPACITY_BLOCKS) {
        break;
      }
      this.cache.delete(prefix);
    }
    return request.promptTokens - hitBlocks * TOKENS_PER_BLOCK;
  }
}
