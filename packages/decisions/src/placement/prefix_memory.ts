/**
 * Which prompt parts each engine has read, by the requests that this host sent
 * there. An engine may have dropped a part meanwhile; a part that was not used
 * for a while counts as dropped.
 */
import type {PromptPart} from './choose_engine.js';

/** Parts remembered for one engine. */
const MAXIMUM_PARTS = 2048;

/** What this host believes the engines have cached. */
export class PrefixMemory {
  private readonly parts = new Map<string, Map<string, number>>();

  constructor(
    /** Milliseconds after which a part that was not used counts as dropped. */
    private readonly keptMilliseconds: number,
  ) {}

  /** Notes that `upstreamId` has read `parts`. */
  note(upstreamId: string, parts: readonly PromptPart[], now: number): void {
    const known = this.parts.get(upstreamId) ?? new Map<string, number>();
    this.parts.set(upstreamId, known);
    for (const {partId} of parts) {
      known.delete(partId);
      known.set(partId, now);
    }
    for (const partId of known.keys()) {
      if (known.size <= MAXIMUM_PARTS) {
        return;
      }
      known.delete(partId);
    }
  }

  /** Tokens at the start of `parts` that `upstreamId` has read. */
  cachedTokens(
    upstreamId: string,
    parts: readonly PromptPart[],
    now: number,
  ): number {
    const known = this.parts.get(upstreamId);
    let tokens = 0;
    for (const part of parts) {
      const used = known?.get(part.partId);
      if (used === undefined || now - used > this.keptMilliseconds) {
        return tokens;
      }
      tokens += part.tokens;
    }
    return tokens;
  }

  /** Forgets what `upstreamId` had read: it left or started again. */
  forget(upstreamId: string): void {
    this.parts.delete(upstreamId);
  }
}
