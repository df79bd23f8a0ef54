/**
 * The load that one process offers to a service. Processes send it, with their
 * counts of usage, to the hosts that may order engines. The sums are cumulative
 * since the start of the process, so that a report that is lost, repeated or
 * overtaken changes nothing.
 */

/** The cumulative sums of a process for a service. */
export interface ServiceLoadSums {
  /** Requests within their quotas, refused ones included. */
  readonly requests: number;
  /** Requests that were refused for want of capacity. */
  readonly refusals: number;
  /** Requests that were placed at an upstream. */
  readonly placements: number;
  /** Prompt tokens that the placements expected in no cache. */
  readonly uncachedTokens: number;
  /** Prompt tokens that they expected in a cache. */
  readonly cachedTokens: number;
  /** Sum of the squares of the uncached tokens, in millions. */
  readonly squaredMegatokens: number;
  /** Requests whose answer began. */
  readonly starts: number;
  /** Answers that began late because of other requests. */
  readonly lateStarts: number;
  /**
   * Sum of the squares of the uncached tokens, in millions, of requests that
   * were not known to wait for others.
   */
  readonly measuredSquares: number;
  /**
   * Sum of the products of these tokens, in millions, and the milliseconds to
   * the first byte.
   */
  readonly measuredProducts: number;
  /** Milliseconds from the first byte to the end of the attempts. */
  readonly outputMilliseconds: number;
}

/** The sums of one process for one service. */
export interface ServiceLoadReport extends ServiceLoadSums {
  /** Identity of the process, new at each start. */
  readonly processId: string;
  readonly service: string;
}

/** The sums of a process that received no requests. */
export const NO_LOAD_SUMS: ServiceLoadSums = {
  requests: 0,
  refusals: 0,
  placements: 0,
  uncachedTokens: 0,
  cachedTokens: 0,
  squaredMegatokens: 0,
  starts: 0,
  lateStarts: 0,
  measuredSquares: 0,
  measuredProducts: 0,
  outputMilliseconds: 0,
};

/** Returns the sum of two sums, or `left` less `right` for a factor of -1. */
export function addLoadSums(
  left: ServiceLoadSums,
  right: ServiceLoadSums,
  factor: -1 | 1 = 1,
): ServiceLoadSums {
  return {
    requests: left.requests + factor * right.requests,
    refusals: left.refusals + factor * right.refusals,
    placements: left.placements + factor * right.placements,
    uncachedTokens: left.uncachedTokens + factor * right.uncachedTokens,
    cachedTokens: left.cachedTokens + factor * right.cachedTokens,
    squaredMegatokens:
      left.squaredMegatokens + factor * right.squaredMegatokens,
    starts: left.starts + factor * right.starts,
    lateStarts: left.lateStarts + factor * right.lateStarts,
    measuredSquares: left.measuredSquares + factor * right.measuredSquares,
    measuredProducts: left.measuredProducts + factor * right.measuredProducts,
    outputMilliseconds:
      left.outputMilliseconds + factor * right.outputMilliseconds,
  };
}
