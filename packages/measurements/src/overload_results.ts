/**
 * What a run of the overload model showed, by kind or by workspace.
 */

/** The requests that arrived while a pattern applied. */
export interface OverloadCounts {
  offered: number;
  onTime: number;
  late: number;
  refused: number;
  /** Requests whose clients left while they waited. */
  left: number;
  /** Clients that returned after a refusal. */
  returned: number;
  /** Of these, the ones whose first return was served. */
  servedAtReturn: number;
  /** Returns at the time that a refusal promised. */
  returnedToPlace: number;
  /** Of these, the ones that were served. */
  servedAtPlace: number;
}

/** Counts by kind or workspace. */
export class OverloadResults {
  private readonly counts = new Map<string, OverloadCounts>();

  /** Returns the counts of `key`, which may be changed. */
  of(key: string): OverloadCounts {
    const existing = this.counts.get(key);
    if (existing !== undefined) {
      return existing;
    }
    const created: OverloadCounts = {
      offered: 0,
      onTime: 0,
      late: 0,
      refused: 0,
      left: 0,
      returned: 0,
      servedAtReturn: 0,
      returnedToPlace: 0,
      servedAtPlace: 0,
    };
    this.counts.set(key, created);
    return created;
  }

  /** Returns the share of the offered requests that were answered on time. */
  onTimeShare(key: string): number {
    const {onTime, offered} = this.of(key);
    return onTime / Math.max(1, offered);
  }
}
