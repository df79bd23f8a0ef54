/**
 * Messages that move shares of limits and quotas between hosts.
 */
/** Response of a host that was requested to take from its share of a quota. */
export type QuotaAnswer =
  | {readonly kind: 'taken'}
  /** The share is used up; a retry can succeed after this time. */
  | {readonly kind: 'used-up'; readonly waitMilliseconds: number}
  /** The host holds no share of this quota. */
  | {readonly kind: 'not-held'};

/** Parameters and result of each of these methods. */
export interface QuotaMethods {
  /**
   * Requests an amount of another host's share of a workspace's quota. The host
   * deducts what it gives from its share.
   */
  readonly 'quota.request': {
    readonly params: {readonly workspace: string; readonly amount: number};
    readonly result: {readonly given: number};
  };
  /** Takes an amount from another host's share of a workspace's quota. */
  readonly 'quota.take': {
    readonly params: {
      readonly workspace: string;
      readonly amount: number;
      /** Present if more urgent requests go first; 0 is the most urgent. */
      readonly rank?: number;
    };
    readonly result: QuotaAnswer;
  };
  /**
   * Returns the amount taken from that share for a request that did not run.
   */
  readonly 'quota.return': {
    readonly params: {readonly workspace: string; readonly amount: number};
    readonly result: null;
  };
  readonly 'limit.transfer': {
    readonly params: {readonly workspace: string; readonly tokens: number};
    readonly result: null;
  };
}
