/**
 * Small fakes of model engines on virtual time: continuous batching with a
 * service-time curve, and a limited prefix cache.
 */
import type {Upstream} from '@lacewingwinch/decisions';

/** Milliseconds of a decoding step with an empty batch. */
const STEP_BASE = 14;

/** Milliseconds that each further stream adds to a step. */
const STEP_SLOPE = 1.1;

/** Milliseconds of prefill for one token. */
const PREFILL_PER_TOKEN = 0.06;

/** Prefix blocks that an engine keeps. */
const CACHE_BLOCKS = 400;

/** Tokens of a prefix block. */
export const BLOCK_TOKENS = 64;

/** A request of the workload. */
export interface WorkloadRequest {
  readonly id: string;
  readonly workspace: string;
  /** Virtual milliseconds. */
  readonly arrival: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly prefixes: readonly string[];
  readonly priority: number;
}

/** A stream that an engine runs. */
export interface RunningStream {
  readonly request: WorkloadRequest;
  /** When the first token comes. */
  readonly firstToken: number;
  /** Tokens that earlier engines produced. */
  readonly producedBefore: number;
  /** Progress of the engine at which the stream ends. */
  readonly endProgress: number;
  readonly startProgress: number;
}

/** Milliseconds of a step with `streams` in the batch. */
export function stepMilliseconds(streams: number): number {
  return STEP_BASE + STEP_SLOPE * streams;
}

/** Milliseconds of the prefill of `tokens`. */
export function prefillMilliseconds(tokens: number): number {
  return tokens * PREFILL_PER_TOKEN;
}

/** An engine. */
export class EngineModel {
  readonly streams: RunningStream[] = [];
  /** Cost so far: price times the time with any stream. */
  cost = 0;
  prefixHits = 0;
  prefixBlocks = 0;
  isGone = false;
  /** Streams at the last load report. */
  reportedLoad = 0;
  private progress = 0;
  private updated = 0;
  private readonly cache = new Map<string, true>();

  constructor(readonly upstream: Upstream) {}

  /** Moves the engine on to `now`. */
  advance(now: number): void {
    const elapsed = now - this.updated;
    this.updated = now;
    if (this.streams.length > 0) {
      this.progress += elapsed / stepMilliseconds(this.streams.length);
      this.cost += (elapsed * this.upstream.pricePerHour) / 3_600_000;
    }
  }

  /**
   * Starts a stream at `now`; with `isImported` its cache came along and no
   * prefill is needed.
   */
  start(
    request: WorkloadRequest,
    producedBefore: number,
    isImported: boolean,
    now: number,
  ): RunningStream {
    const missing = isImported
      ? 0
      : this.missingTokens(request) + producedBefore;
    const prefill = prefillMilliseconds(missing);
    const step = stepMilliseconds(this.streams.length + 1);
    const left = request.outputTokens - producedBefore;
    const stream: RunningStream = {
      request,
      producedBefore,
      firstToken: now + prefill + step,
      startProgress: this.progress + prefill / step,
      endProgress: this.progress + prefill / step + left,
    };
    this.streams.push(stream);
    return stream;
  }

  /** When the next stream ends, if nothing changes. */
  nextEnd(): number {
    const [first] = [...this.streams].sort(
      (left, right) => left.endProgress - right.endProgress,
    );
    return first === undefined
      ? Infinity
      : this.updated +
          Math.max(0, first.endProgress - this.progress) *
            stepMilliseconds(this.streams.length);
  }

  /** Takes out the streams that have ended. */
  takeEnded(): readonly RunningStream[] {
    const ended = this.streams.filter(
      ({endProgress}) => endProgress <= this.progress + 1e-6,
    );
    for (const stream of ended) {
      this.streams.splice(this.streams.indexOf(stream), 1);
    }
    return ended;
  }

  /** Tokens that `stream` has produced on this and earlier engines. */
  producedBy(stream: RunningStream): number {
    const here = Math.max(0, this.progress - stream.startProgress);
    return Math.floor(stream.producedBefore + here);
  }

  private missingTokens(request: WorkloadRequest): number {
    const firstMissing = request.prefixes.findIndex(
      prefix => !this.cache.has(prefix),
    );
    const hits = firstMissing === -1 ? request.prefixes.length : firstMissing;
    this.prefixHits += hits;
    this.prefixBlocks += request.prefixes.length;
    for (const prefix of request.prefixes) {
      this.cache.delete(prefix);
      this.cache.set(prefix, true);
    }
    for (const prefix of this.cache.keys()) {
      if (this.cache.size <= CACHE_BLOCKS) {
        break;
      }
      this.cache.delete(prefix);
    }
    return request.promptTokens - hits * BLOCK_TOKENS;
  }
}
