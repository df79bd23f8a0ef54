/**
 * The reachability of upstreams over this host's own links: a circuit breaker for
 * each pair of host and upstream, which connections without a request close again.
 * A failed connection says something about the pair only; the host is cut off if it
 * reaches none of several upstreams.
 *
 * Load pattern: some hosts lose their links to the upstreams while their clients,
 * the store and the other hosts still reach them.
 */

/** What one host knows of its path to one upstream. */
interface PathRecord {
  /** Time of the last connection or byte; -Infinity if there was none. */
  readonly reachedAt: number;
  /** Time of the last connection that failed or was lost. */
  readonly failedAt: number;
  /** Whether a new connection failed since the last sign of life. */
  readonly isOutOfReach: boolean;
  /** Time from which the path is tried again without a request. */
  readonly trialAt: number;
}

/** Number of upstreams that fail at once if the host itself is cut off. */
const UPSTREAMS_OF_A_CUT = 2;

/** Silence of all upstreams without which the host is not cut off. */
const CUT_SILENCE_MILLISECONDS = 100;

/** Time within which failures have the same cause if nothing arrives between. */
const COMMON_CAUSE_MILLISECONDS = 1000;

/** Time between two trials of a path that is out of reach. */
const TRIAL_PERIOD_MILLISECONDS = 1000;

/** Largest number of upstreams whose paths are remembered. */
const MAXIMUM_REMEMBERED_UPSTREAMS = 4096;

const UNKNOWN_PATH: PathRecord = {
  reachedAt: -Infinity,
  failedAt: -Infinity,
  isOutOfReach: false,
  trialAt: Infinity,
};

/** The paths from this host to the upstreams. */
export class UpstreamReach {
  /** By upstream, the longest unchanged one first. */
  private readonly records = new Map<string, PathRecord>();
  private lastReachedAt = -Infinity;

  /** Records a connection that was made, or bytes that arrived. */
  recordReached(upstreamId: string, now: number): void {
    this.lastReachedAt = now;
    this.remember(upstreamId, {...UNKNOWN_PATH, reachedAt: now});
  }

  /** Records a connection that could not be made. */
  recordUnreachable(upstreamId: string, now: number): void {
    this.remember(upstreamId, {
      reachedAt: this.find(upstreamId).reachedAt,
      failedAt: now,
      isOutOfReach: true,
      trialAt: now + TRIAL_PERIOD_MILLISECONDS,
    });
  }

  /** Records that an established connection was lost. */
  recordLost(upstreamId: string, now: number): void {
    this.remember(upstreamId, {...this.find(upstreamId), failedAt: now});
  }

  /** Returns the time of the last sign of life of an upstream. */
  reachedAt(upstreamId: string): number {
    return this.find(upstreamId).reachedAt;
  }

  /** Returns the time of the last sign of life of any upstream. */
  get anyReachedAt(): number {
    return this.lastReachedAt;
  }

  /** Returns whether this host reaches none of the upstreams. */
  isCutOff(now: number): boolean {
    return (
      now - this.lastReachedAt >= CUT_SILENCE_MILLISECONDS &&
      this.countSince(this.lastReachedAt, ({isOutOfReach}) => isOutOfReach) >=
        UPSTREAMS_OF_A_CUT
    );
  }

  /** Returns whether requests to an upstream start over this host's own link. */
  isDirect(upstreamId: string, now: number): boolean {
    return !this.find(upstreamId).isOutOfReach && !this.isCutOff(now);
  }

  /** Returns whether no connection to an upstream has failed since it was reached. */
  mayBeInReach(upstreamId: string): boolean {
    return !this.find(upstreamId).isOutOfReach;
  }

  /**
   * Returns whether the loss of a connection to an upstream may be the fault of
   * this host's links: several upstreams failed and none has answered since.
   */
  isPathSuspect(upstreamId: string, now: number): boolean {
    const since = Math.max(this.lastReachedAt, now - COMMON_CAUSE_MILLISECONDS);
    return (
      this.find(upstreamId).isOutOfReach ||
      this.countSince(since, () => true) >= UPSTREAMS_OF_A_CUT
    );
  }

  /** Whether any upstream is out of reach. */
  get hasOutOfReach(): boolean {
    return [...this.records.values()].some(({isOutOfReach}) => isOutOfReach);
  }

  /**
   * Returns at most `count` upstreams whose paths are due for a trial, and
   * postpones their next one.
   */
  takeTrials(count: number, now: number): readonly string[] {
    const due = [...this.records]
      .filter(([, {trialAt}]) => trialAt <= now)
      .slice(0, count);
    for (const [upstreamId, record] of due) {
      const trialAt = now + TRIAL_PERIOD_MILLISECONDS;
      this.remember(upstreamId, {...record, trialAt});
    }
    return due.map(([upstreamId]) => upstreamId);
  }

  /** Discards what is known of an upstream that left or started again. */
  forget(upstreamId: string): void {
    this.records.delete(upstreamId);
  }

  private countSince(
    since: number,
    isCounted: (record: PathRecord) => boolean,
  ): number {
    let count = 0;
    for (const record of this.records.values()) {
      count += record.failedAt > since && isCounted(record) ? 1 : 0;
    }
    return count;
  }

  private find(upstreamId: string): PathRecord {
    return this.records.get(upstreamId) ?? UNKNOWN_PATH;
  }

  private remember(upstreamId: string, record: PathRecord): void {
    this.records.delete(upstreamId);
    this.records.set(upstreamId, record);
    const [oldest] = this.records.keys();
    if (
      this.records.size > MAXIMUM_REMEMBERED_UPSTREAMS &&
      oldest !== undefined
    ) {
      this.records.delete(oldest);
    }
  }
}
