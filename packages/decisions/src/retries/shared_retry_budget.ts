/**
 * This host's part of a budget of further attempts that all hosts share.
 * Answers a wave of failures: the attempts it causes stay within a share of
 * the requests plus a fixed number, whichever hosts can reach each other.
 */

/** The budget of one service over all hosts. */
export interface RetryBudgetBounds {
  /** Further attempts for each request. */
  readonly ratio: number;
  /** Further attempts beyond that, over all hosts. */
  readonly slack: number;
  readonly windowMilliseconds: number;
}

/** Part of the budget that is used; the rest covers clocks and late arrivals. */
const USED_SHARE = 0.8;

/** Requests and further attempts of one service at this host. */
export class SharedRetryBudget {
  private readonly requests: number[] = [];
  private readonly furtherAttempts: number[] = [];

  constructor(private readonly bounds: RetryBudgetBounds) {}

  /** Counts a request. */
  addRequest(now: number): void {
    this.requests.push(now);
    this.forget(now);
  }

  /** Takes one further attempt; false if this host's part is used up. */
  take(hosts: number, now: number): boolean {
    this.forget(now);
    const {ratio, slack} = this.bounds;
    const allowed =
      USED_SHARE * (ratio * this.requests.length + slack / Math.max(1, hosts));
    if (this.furtherAttempts.length + 1 > allowed) {
      return false;
    }
    this.furtherAttempts.push(now);
    return true;
  }

  private forget(now: number): void {
    const oldest = now - this.bounds.windowMilliseconds;
    dropBefore(this.requests, oldest);
    dropBefore(this.furtherAttempts, oldest);
  }
}

function dropBefore(times: number[], oldest: number): void {
  const kept = times.findIndex(time => time >= oldest);
  times.splice(0, kept < 0 ? times.length : kept);
}
