/**
 * The choice of how a stream goes on at another upstream.
 */

/** Ways to go on, cheapest first. */
export type Resumption =
  /** The key-value cache moves; nothing is computed again. */
  | {readonly kind: 'import-cache'}
  /** Prompt and tokens produced so far are prefilled again. */
  | {readonly kind: 'prefill'}
  /** Nothing was produced yet. */
  | {readonly kind: 'restart'};

/** What is known of a stream that must move. */
export interface ResumptionFacts {
  /** Tokens of the prompt. */
  readonly promptTokens: number;
  /** Tokens that the caller's answer already has. */
  readonly producedTokens: number;
  /** Whether the upstream that leaves still answers. */
  readonly sourceAnswers: boolean;
  /** Whether both ends can move the key-value cache. */
  readonly canMoveCache: boolean;
  /** Milliseconds until the upstream is gone. */
  readonly noticeLeft: number;
  /** Tokens of cache that can be moved in a millisecond. */
  readonly cacheTokensPerMillisecond: number;
}

/** Milliseconds that an export and import take besides the transfer. */
export const CACHE_MOVE_OVERHEAD_MILLISECONDS = 50;

/** Tokens below which a prefill is cheaper than moving the cache. */
export const MINIMUM_TOKENS_TO_MOVE = 64;

/** Chooses the cheapest way that fits into the notice left. */
export function chooseResumption(facts: ResumptionFacts): Resumption {
  const tokens = facts.promptTokens + facts.producedTokens;
  const transferMilliseconds =
    CACHE_MOVE_OVERHEAD_MILLISECONDS + tokens / facts.cacheTokensPerMillisecond;
  const isWorthMoving = tokens >= MINIMUM_TOKENS_TO_MOVE;
  if (
    isWorthMoving &&
    facts.canMoveCache &&
    facts.sourceAnswers &&
    transferMilliseconds <= facts.noticeLeft
  ) {
    return {kind: 'import-cache'};
  }
  return facts.producedTokens > 0 ? {kind: 'prefill'} : {kind: 'restart'};
}

/** Tokens that are computed a second time when a stream moves this way. */
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
