/**
 * The results of the software versions of a service at one process, while a
 * roll-out of the service is in progress. Processes send them, with their counts
 * of usage, to the hosts that may decide on the roll-out. The sums are
 * cumulative since the start of the process.
 */

/** Cumulative results of one version on one route. */
export interface VersionResultReport {
  /** Identity of the process, new at each start. */
  readonly processId: string;
  /** Identity of the order, so that results of an earlier one do not count. */
  readonly orderId: string;
  readonly service: string;
  readonly softwareVersion: string;
  /** Name of the rule that the requests matched. */
  readonly route: string;
  /** Requests that were sent to the version. */
  readonly sent: number;
  readonly answered: number;
  /** Answers that failed, broke off or were spoilt. */
  readonly failed: number;
  /** Answers that began or went on several times slower than expected. */
  readonly slow: number;
}
