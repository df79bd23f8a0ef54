/**
 * The results of the software versions of a service at one process, while a
 * roll-out of the service is in progress. Processes send them, with their counts
 * of usage, to the hosts that may decide on the roll-out. The counts are
 * cumulative since the process learned of the order.
 */

/** Results on one route, at one engine of the new version or at all others. */
export interface VersionResultCounts {
  /** Name of the rule that the requests matched. */
  readonly route: string;
  /** Engine of the new version; absent for all engines of other versions. */
  readonly upstreamId?: string;
  readonly answered: number;
  /** Answers that failed, broke off or were spoilt, and lost connections. */
  readonly failed: number;
  /** Times to the beginning of the answer, by `timeBin`. */
  readonly starts: readonly number[];
  /** Times between two events of an answer, by `timeBin`. */
  readonly gaps: readonly number[];
}

/** What one process reports on one roll-out. */
export interface VersionResultReport {
  /** Identity of the process, new at each start. */
  readonly processId: string;
  readonly hostId: string;
  readonly service: string;
  /** Identity of the order, so that results of an earlier one do not count. */
  readonly orderId: string;
  /** Sequence of the newest record that the process follows; 0 without one. */
  readonly sequence: number;
  /** Requests in progress at other versions than the new one. */
  readonly runningElsewhere: number;
  /** Requests that reached the service. */
  readonly requests: number;
  /** Those of them that were assigned to the new version. */
  readonly assigned: number;
  readonly results: readonly VersionResultCounts[];
}
