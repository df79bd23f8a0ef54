/**
 * The choice of how a stream is resumed at another upstream.
 */

/** The ways to resume a stream, cheapest first. */
export type Resumption =
  /** The key-value cache is moved, so that nothing is recomputed. */
  | {readonly kind: 'import-cache'}
  /** The prompt and the tokens produced so far are prefilled again. */
  | {readonly kind: 'prefill'}
  /** No tokens were produced yet, so the request starts again. */
  | {readonly kind: 'restart'};

/** The properties of a stream that decide how it is moved. */
export interface ResumptionFacts {
  /** Number of tokens in the prompt. */
  readonly promptTokens: number;
  /** Number of tokens that the answer to the client already has. */
  readonly producedTokens: number;
  /** Whether the leaving upstream still answers. */
  readonly isSourceReachable: boolean;
  /** Whether both upstreams support moving the key-value cache. */
  readonly canMoveCache: boolean;
  /** Milliseconds until the leaving upstream is shut down. */
  readonly noticeMillisecondsLeft: number;
  /** Number of cached tokens that can be transferred per millisecond. */
  readonly cacheTokensPerMillisecond: number;
}

/** Fixed cost of exporting and importing a cache, without the transfer. */
export const CACHE_MOVE_OVERHEAD_MILLISECONDS = 50;

/** Number of tokens below which a prefill is cheaper than moving the cache. */
export const MINIMUM_TOKENS_TO_MOVE = 64;

/**
 * Chooses the cheapest way to resume a stream that completes before the
 * leaving upstream is shut down.
 */
export function chooseResumption(facts: ResumptionFacts): Resumption {
  const tokens = facts.promptTokens + facts.producedTokens;
  const transferMilliseconds =
    CACHE_MOVE_OVERHEAD_MILLISECONDS + tokens / facts.cacheTokensPerMillisecond;
  const isWorthMoving = tokens >= MINIMUM_TOKENS_TO_MOVE;
  if (
    isWorthMoving &&
    facts.canMoveCache &&
    facts.isSourceReachable &&
    transferMilliseconds <= facts.noticeMillisecondsLeft
  ) {
    return {kind: 'import-cache'};
  }
  return facts.producedTokens > 0 ? {kind: 'prefill'} : {kind: 'restart'};
}

/** Returns the number of tokens that this resumption computes again. */
export function recomputedTokens(
  resumption: Resumption,
  facts: Pick<ResumptionFacts, 'producedTokens' | 'promptTokens'>,
): number {
  switch (resumption.kind) {
    case 'import-cache':
      return 0;
    case 'prefill':
      return facts.promptTokens + facts.producedTokens;
    case 'restart':
      return facts.promptTokens;
  }
}
