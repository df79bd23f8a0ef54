/**
 * Messages that compare which upstreams hosts reach.
 */
/** Which upstreams a host reaches. */
export interface ReachAnswer {
  /** Those of the upstreams to which it could connect. */
  readonly reached: readonly string[];
  /** Whether it reaches no upstream at all, so that its answer means nothing. */
  readonly isCutOff: boolean;
}

/** Parameters and result of each of these methods. */
export interface PathMethods {
  /** Requests that a host connects to upstreams that the sender does not reach. */
  readonly 'reach.query': {
    readonly params: {readonly upstreamIds: readonly string[]};
    readonly result: ReachAnswer;
  };
}
