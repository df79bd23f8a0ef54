/**
 * The time until an engine begins to read the prompt of a new request, by what
 * was placed there and by the speed of the engine.
 */
import type {UpstreamWork} from './upstream_work.js';

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

/** An engine, and what is known of it. */
export interface KnownEngine {
  readonly work: Pick<UpstreamWork, 'currentPromptSince' | 'waiting'>;
  readonly millisecondsPerToken: number;
  /** Age in milliseconds of the newest report of a first token. */
  readonly lagMilliseconds: number;
  /**
   * Wait of the requests placed before `statedAt`, if another host stated it.
   */
  readonly stated?: {
    readonly statedAt: number;
    readonly waitMilliseconds: number;
  };
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
  const {currentPromptSince, waiting} = work;
  const statedMilliseconds = stated?.waitMilliseconds ?? 0;
  if (currentPromptSince === undefined && statedMilliseconds === 0) {
    return {tokens: 0, milliseconds: 0};
  }
  const knownUntil = stated?.statedAt ?? now - lagMilliseconds;
  const readingSince = currentPromptSince ?? knownUntil;
  let milliseconds = statedMilliseconds;
  let largestPart = 0;
  let time = knownUntil;
  let hasAppliedProgress = false;
  const applyProgress = (): void => {
    hasAppliedProgress = true;
    milliseconds -= Math.min(
      Math.max(0, knownUntil - readingSince),
      largestPart * MAXIMUM_READ_SHARE,
    );
  };
  for (const prompt of waiting.values()) {
    const share = prompt.priority <= priority ? 1 : LESS_URGENT_SHARE;
    const part = prompt.tokens * share * millisecondsPerToken;
    if (stated !== undefined && prompt.placedAt <= stated.statedAt) {
      continue;
    }
    if (prompt.placedAt > knownUntil) {
      if (!hasAppliedProgress) {
        applyProgress();
      }
      milliseconds = Math.max(0, milliseconds - (prompt.placedAt - time));
      time = prompt.placedAt;
    } else {
      largestPart = largestPart === 0 ? part : Math.max(largestPart, part);
    }
    milliseconds += part;
  }
  if (!hasAppliedProgress) {
    applyProgress();
  }
  const left = Math.max(0, milliseconds - (now - time));
  return {tokens: left / millisecondsPerToken, milliseconds: left};
}
