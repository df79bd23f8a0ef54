/**
 * The time until an engine begins to read the prompt of a new request, by what
 * was placed there and by the speed of the engine.
 */
import type {UpstreamWork, WaitingPrompt} from './upstream_work.js';

/**
 * Share of the prompts of less urgent requests that is read before an urgent
 * one, because the engine finishes its current chunk and continues its batch.
 */
const LESS_URGENT_SHARE = 0.3;

/**
 * Largest share of a prompt that is taken to be read before its first token is
 * reported.
 */
const MAXIMUM_READ_SHARE = 0.9;

/** When the prompt of a request would be read. */
export interface EngineWait {
  /** Prompt tokens that are read before. */
  readonly tokens: number;
  readonly milliseconds: number;
}

const NO_WAIT: EngineWait = {tokens: 0, milliseconds: 0};

/** An engine, and what is known of it. */
export interface KnownEngine {
  readonly work: Pick<UpstreamWork, 'currentPromptSince' | 'waiting'>;
  readonly millisecondsPerToken: number;
  /** Age in milliseconds of the newest report of a first token. */
  readonly lagMilliseconds: number;
  /**
   * Wait of the requests placed before `statedAt`; undefined if no other host
   * stated it.
   */
  readonly stated:
    | {
        readonly statedAt: number;
        readonly waitMilliseconds: number;
      }
    | undefined;
}

/**
 * Returns the wait of a request at an engine. Reports of first tokens are known
 * for the time up to `lagMilliseconds` ago; since then, the engine is expected
 * to have read at its usual speed.
 */
export function waitAt(
  engine: KnownEngine,
  priority: number,
  now: number,
): EngineWait {
  const {work, millisecondsPerToken, lagMilliseconds, stated} = engine;
  if (work.waiting.size === 0 && stated === undefined) {
    return NO_WAIT;
  }
  const knownUntil = stated?.statedAt ?? now - lagMilliseconds;
  const partOf = (prompt: WaitingPrompt): number =>
    prompt.tokens *
    millisecondsPerToken *
    (prompt.priority <= priority ? 1 : LESS_URGENT_SHARE);
  let milliseconds =
    stated?.waitMilliseconds ?? waitAtTime(work, knownUntil, partOf);
  let time = knownUntil;
  for (const prompt of work.waiting.values()) {
    if (prompt.placedAt > knownUntil) {
      const elapsed = Math.max(0, prompt.placedAt - time);
      milliseconds = Math.max(0, milliseconds - elapsed) + partOf(prompt);
      time += elapsed;
    }
  }
  const left = Math.max(0, milliseconds - (now - time));
  return {tokens: left / millisecondsPerToken, milliseconds: left};
}

/** Returns the wait at `time`, up to which first tokens are known. */
function waitAtTime(
  {currentPromptSince, waiting}: KnownEngine['work'],
  time: number,
  partOf: (prompt: WaitingPrompt) => number,
): number {
  let milliseconds = 0;
  let largestPart = 0;
  for (const prompt of waiting.values()) {
    if (prompt.placedAt <= time) {
      const part = partOf(prompt);
      milliseconds += part;
      largestPart = Math.max(largestPart, part);
    }
  }
  const readingFor = Math.max(0, time - (currentPromptSince ?? time));
  return milliseconds - Math.min(readingFor, largestPart * MAXIMUM_READ_SHARE);
}
