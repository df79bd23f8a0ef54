/**
 * The prefix cache of a simulated engine: prompt parts that yield to others in
 * the order of their last use.
 */
import type {PromptPart} from '@lacewingwinch/decisions';

/** Cached prompt parts. */
export class PrefixCacheModel {
  /** Tokens by part, least recently used first. */
  private readonly parts = new Map<string, number>();
  private tokens = 0;

  /** Tokens of all cached parts. */
  get usedTokens(): number {
    return this.tokens;
  }

  /** Returns the tokens of the longest cached prefix of `parts`. */
  cachedTokens(parts: readonly PromptPart[]): number {
    let tokens = 0;
    for (const {partId} of parts) {
      const cached = this.parts.get(partId);
      if (cached === undefined) {
        break;
      }
      tokens += cached;
    }
    return tokens;
  }

  /** Adds `parts` as the most recently used ones. */
  add(parts: readonly PromptPart[]): void {
    for (const {partId, tokens} of parts) {
      this.remove(partId);
      this.parts.set(partId, tokens);
      this.tokens += tokens;
    }
  }

  /** Removes the least recently used parts beyond `capacityTokens`. */
  shrink(capacityTokens: number): void {
    for (const partId of this.parts.keys()) {
      if (this.tokens <= capacityTokens) {
        return;
      }
      this.remove(partId);
    }
  }

  private remove(partId: string): void {
    this.tokens -= this.parts.get(partId) ?? 0;
    this.parts.delete(partId);
  }
}
