/**
 * The part of one host in a retry budget that all hosts share. During a wave of
 * failures, the retries of all hosts together stay within a share of the
 * requests plus a fixed number, even if the hosts cannot reach each other.
 */

/** The retry budget of a service across all hosts. */
export interface RetryBudgetBounds {
  /** Retries allowed for each request. */
  readonly ratio: number;
  /** Additional retries allowed in a window, across all hosts. */
  readonly slack: number;
  readonly windowMilliseconds: number;
}

/**
 * When a host may spend its whole part. A process that ended may have spent the part of
 * its host, and its retries count for a window.
 */
export interface RetryBudgetStart {
  /** Steady clock reading at the start of this process. */
  readonly startedAt: number;
  /** Whether no process can have run before this one. */
  readonly isFirstStart: boolean;
}

/**
 * Share of the budget that is spent. The rest is a reserve for clocks that
 * differ, for retries that arrive late and for processes that have just started.
 */
const USABLE_SHARE = 0.8;

/**
 * Share of the retries in proportion to requests that a process spends in the first
 * window after its start: the part that `USABLE_SHARE` leaves. The process before it may
 * have spent the usable share at once, for requests of an earlier window.
 */
const SHARE_AFTER_START = 0.2;

/** The recent requests and retries of a service at this host. */
export class SharedRetryBudget {
  /** Times of the requests within the window. */
  private readonly requests: number[] = [];
  /** Times of the retries within the window. */
  private readonly retries: number[] = [];

  /** Time from which no retry of a process before this one counts. */
  private readonly wholeFrom: number;

  constructor(
    private readonly bounds: RetryBudgetBounds,
    {startedAt, isFirstStart}: RetryBudgetStart,
  ) {
    this.wholeFrom = isFirstStart
      ? -Infinity
      : startedAt + bounds.windowMilliseconds;
  }

  /** Counts a request. */
  addRequest(now: number): void {
    this.requests.push(now);
    this.forget(now);
  }

  /**
   * Takes one retry and returns whether this host's part had one left. `hosts`
   * is the number of hosts that share the budget.
   */
  take(hosts: number, now: number): boolean {
    this.forget(now);
    const {ratio, slack} = this.bounds;
    const inProportion = ratio * this.requests.length;
    const allowedRetries =
      now < this.wholeFrom
        ? SHARE_AFTER_START * inProportion
        : USABLE_SHARE * (inProportion + slack / Math.max(1, hosts));
    if (this.retries.length + 1 > allowedRetries) {
      return false;
    }
    this.retries.push(now);
    return true;
  }

  private forget(now: number): void {
    const oldest = now - this.bounds.windowMilliseconds;
    dropBefore(this.requests, oldest);
    dropBefore(this.retries, oldest);
  }
}

function dropBefore(times: number[], oldest: number): void {
  const firstKeptIndex = times.findIndex(time => time >= oldest);
  times.splice(0, firstKeptIndex < 0 ? times.length : firstKeptIndex);
}
