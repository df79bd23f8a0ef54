/**
 * The quotas that holders have lately called used up. A workspace sends many
 * times its quota, or its clients repeat refused requests at once: if each of
 * these requests were decided by several holders, the holders could not answer
 * in time, and requests within the quotas of all workspaces would be refused.
 */

/**
 * Longest time for which a host refuses requests without a call to a holder. A
 * holder's part grows meanwhile.
 */
const MAXIMUM_REFUSAL_MILLISECONDS = 200;

interface UsedUpQuota {
  /** Smallest amount that was refused. */
  readonly amount: number;
  /** Time until which a holder is not called. */
  readonly until: number;
  /** Time at which a retry can succeed. */
  readonly retryAt: number;
}

/** The quotas that are used up, by workspace. */
export class UsedUpQuotas {
  private readonly quotas = new Map<string, UsedUpQuota>();

  /** Records that a holder refused `amount` for `waitMilliseconds`. */
  record(
    workspace: string,
    amount: number,
    waitMilliseconds: number,
    now: number,
  ): void {
    this.quotas.set(workspace, {
      amount,
      until: now + Math.min(waitMilliseconds, MAXIMUM_REFUSAL_MILLISECONDS),
      retryAt: now + waitMilliseconds,
    });
  }

  /**
   * Returns the milliseconds after which a request for `amount` can succeed if it
   * is refused without a call; 0 if a holder decides.
   */
  waitFor(workspace: string, amount: number, now: number): number {
    const quota = this.quotas.get(workspace);
    if (quota !== undefined && now >= quota.until) {
      this.quotas.delete(workspace);
    }
    return this.peekWaitFor(workspace, amount, now);
  }

  /** Returns what `waitFor` would return, and forgets nothing. */
  peekWaitFor(workspace: string, amount: number, now: number): number {
    const quota = this.quotas.get(workspace);
    return quota === undefined || now >= quota.until || amount < quota.amount
      ? 0
      : Math.max(0, quota.retryAt - now);
  }

  /** Discards what is known of a quota to which an amount was given back. */
  forget(workspace: string): void {
    this.quotas.delete(workspace);
  }
}
