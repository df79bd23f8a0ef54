/**
 * The prompt parts that each engine is expected to have in its cache, according
 * to the requests that were sent to it. An engine may have evicted a part in
 * the meantime, so a part that was not used for some time counts as evicted.
 */
import type {PromptPart} from './choose_engine.js';

/** Largest number of parts remembered for one engine. */
const MAXIMUM_PARTS_PER_ENGINE = 2048;

/** The prompt parts that the engines have read, as far as this host knows. */
export class PrefixMemory {
  private readonly parts = new Map<string, Map<string, number>>();

  constructor(
    /** Milliseconds after its last use for which a part counts as cached. */
    private readonly retentionMilliseconds: number,
  ) {}

  /** Records that `upstreamId` reads `parts`. */
  recordRead(
    upstreamId: string,
    parts: readonly PromptPart[],
    now: number,
  ): void {
    const partsOfEngine =
      this.parts.get(upstreamId) ?? new Map<string, number>();
    this.parts.set(upstreamId, partsOfEngine);
    for (const {partId} of parts) {
      partsOfEngine.delete(partId);
      partsOfEngine.set(partId, now);
    }
    for (const partId of partsOfEngine.keys()) {
      if (partsOfEngine.size <= MAXIMUM_PARTS_PER_ENGINE) {
        return;
      }
      partsOfEngine.delete(partId);
    }
  }

  /** Returns the tokens of the longest prefix of `parts` that is cached. */
  cachedTokens(
    upstreamId: string,
    parts: readonly PromptPart[],
    now: number,
  ): number {
    const partsOfEngine = this.parts.get(upstreamId);
    let tokens = 0;
    for (const part of parts) {
      const lastUsedAt = partsOfEngine?.get(part.partId);
      if (
        lastUsedAt === undefined ||
        now - lastUsedAt > this.retentionMilliseconds
      ) {
        return tokens;
      }
      tokens += part.tokens;
    }
    return tokens;
  }

  /** Discards the parts of an engine that left or restarted. */
  forget(upstreamId: string): void {
    this.parts.delete(upstreamId);
  }
}
