/**
 * A request placed at an upstream, and the choice between two of them.
 */
import type {
  AdmissionRefusal,
  EngineChoice,
  KnownReturn,
  UpstreamResult,
} from '@lacewingwinch/decisions';

/**
 * Estimated milliseconds above which a second shard is tried: a request to its
 * dispatcher takes about 10 ms, while reading a shared prompt part again takes
 * about 250 ms.
 */
const CROWDED_ESTIMATE_MILLISECONDS = 250;

/** Maximum number of shards that are tried for one request. */
export const MAXIMUM_SHARDS_TRIED = 2;

/** A request placed at an upstream. */
export interface Placement {
  readonly kind: 'placed';
  readonly choice: EngineChoice;
  /** Rank at the upstream; undefined if it is that of the request. */
  readonly promotedRank: number | undefined;
  /** How the request relates to an earlier refusal; undefined if it is new. */
  readonly returned: KnownReturn | undefined;
  /**
   * Returns whether the request may be sent now. A grant that was not used in
   * time is void.
   */
  isSendable(): boolean;
  /** Reports the first sign of a response. */
  reportStarted(): void;
  /**
   * Reports that the request is no longer at the upstream, with its result
   * there if that says something about the upstream's health.
   */
  reportEnded(result?: UpstreamResult): void;
}

/** Result of a placement; undefined if no upstream may run the request. */
export type PlacementResult =
  | Placement
  /** Every upstream has as many requests as the limit that it named allows. */
  | {readonly kind: 'limited'; readonly milliseconds: number}
  | AdmissionRefusal
  | undefined;

/** Returns whether a second shard is tried because the request would wait. */
export function isCrowded({
  mustWait,
  estimateMilliseconds,
  isCheaperWhenIdle,
}: EngineChoice): boolean {
  return (
    mustWait &&
    (isCheaperWhenIdle ?? estimateMilliseconds > CROWDED_ESTIMATE_MILLISECONDS)
  );
}

/** Returns whether the first one of two choices is kept, by its cost. */
export function isBetterChoice(
  first: EngineChoice,
  second: EngineChoice,
): boolean {
  return costOf(first) <= costOf(second);
}

function costOf({
  costMilliseconds,
  estimateMilliseconds,
}: EngineChoice): number {
  return costMilliseconds ?? estimateMilliseconds;
}

/**
 * Returns the refusal that the client receives: the one that promises a place,
 * or else the one after which it may return sooner.
 */
export function soonerOf(
  first: AdmissionRefusal | undefined,
  second: AdmissionRefusal,
): AdmissionRefusal {
  const isSooner =
    first !== undefined &&
    first.retryAfterMilliseconds <= second.retryAfterMilliseconds;
  return first?.isPlace === true || (isSooner && second.isPlace !== true)
    ? first
    : second;
}
