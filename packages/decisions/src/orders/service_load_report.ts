/**
 * The load that one process offers to a service. Processes send it, with their
 * counts of usage, to the hosts that may order engines. The sums are cumulative
 * since the start of the process, so that a report that is lost, repeated or
 * overtaken changes nothing.
 */

/** Cumulative sums of the requests of one process for one service. */
export interface ServiceLoadReport {
  /** Identity of the process, new at each start. */
  readonly processId: string;
  readonly service: string;
  /** Requests within their quotas, refused ones included. */
  readonly requests: number;
  /** Prompt tokens of these requests. */
  readonly promptTokens: number;
  /** Prompt tokens that the placements of them expected in no cache. */
  readonly uncachedTokens: number;
  /** Output tokens of answers that ended. */
  readonly outputTokens: number;
  /** Requests that were refused for want of capacity. */
  readonly refusals: number;
}
