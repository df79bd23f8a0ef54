/**
 * Orders of an operator to move the traffic of a service to another software
 * version.
 */

/** An order as it was published. */
export interface RolloutOrder {
  /**
   * Identity of the order. It stays the same when the store is restored from an
   * older copy that contains the order.
   */
  readonly orderId: string;
  /** Position in the store's log; of two orders, the later one is in force. */
  readonly position: number;
  readonly service: string;
  /** The new version. */
  readonly softwareVersion: string;
  /** Time within which the traffic must have moved. */
  readonly durationMilliseconds: number;
}

/** What the deployment demands of roll-outs. */
export interface RolloutBounds {
  /** Largest part of the requests of a service that a bad version may get. */
  readonly exposureFraction: number;
  /** Number of requests that it may get in addition. */
  readonly exposureSlack: number;
  /** Time after its 50th bad answer within which it must get no more. */
  readonly rollbackMilliseconds: number;
}
