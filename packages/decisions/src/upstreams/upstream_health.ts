/**
 * Outlier ejection by the results of real requests, because upstreams can fail,
 * hang or refuse requests while their health checks pass. An upstream gets no
 * requests for some time after consecutive failures or at a high share of
 * failures. The time doubles with each ejection until a request is answered.
 * After an ejection, the upstream is judged by real requests again.
 */

interface HealthRecord {
  /** Share of recent requests that failed, 0 to 1. */
  failureShare: number;
  consecutiveFailures: number;
  ejections: number;
  ejectedUntil: number;
}

/** Weight of the newest result in the moving share of failures. */
const NEWEST_RESULT_WEIGHT = 0.2;

/** Consecutive failures after which an upstream is ejected. */
const FAILURES_BEFORE_EJECTION = 3;

/** Share of failures above which an upstream is ejected. */
const MAXIMUM_FAILURE_SHARE = 0.5;

/** Duration of the first ejection of an upstream. */
const FIRST_EJECTION_MILLISECONDS = 1000;

/** Longest duration of an ejection. */
const MAXIMUM_EJECTION_MILLISECONDS = 8000;

/**
 * Consecutive error answers after which an upstream is ejected. Healthy
 * services answer up to 15 in 100 requests with an error of their own; four
 * consecutive ones then occur once in 2,000 requests.
 */
const ERRORS_BEFORE_EJECTION = 4;

/** The end of a request at an upstream, with regard to its health. */
export type UpstreamResult =
  | 'answered'
  /** The upstream turned the request away without running it. */
  | 'refused'
  /** The upstream answered with an error status. */
  | 'errored'
  /** The answer was invalid or missing. */
  | 'failed'
  /** The connection was lost; the upstream or the link may be at fault. */
  | 'disconnected'
  /** Several hosts could not connect, or the only one. */
  | 'unreachable';

/** The health of upstreams according to the results of requests. */
export class UpstreamHealth {
  private readonly records = new Map<string, HealthRecord>();

  /**
   * Records the result of a request. Returns the milliseconds for which the
   * upstream is ejected because of it; undefined if it is not.
   */
  recordResult(
    upstreamId: string,
    result: UpstreamResult,
    now: number,
  ): number | undefined {
    const record = this.findOrCreateRecord(upstreamId);
    switch (result) {
      case 'answered':
        record.consecutiveFailures = 0;
        record.ejections = 0;
        record.failureShare *= 1 - NEWEST_RESULT_WEIGHT;
        return undefined;
      case 'refused':
        return undefined;
      case 'errored':
      case 'failed':
      case 'disconnected':
      case 'unreachable': {
        record.consecutiveFailures += 1;
        record.failureShare += (1 - record.failureShare) * NEWEST_RESULT_WEIGHT;
        const shouldEject =
          result === 'unreachable' ||
          record.consecutiveFailures >=
            (result === 'errored'
              ? ERRORS_BEFORE_EJECTION
              : FAILURES_BEFORE_EJECTION) ||
          record.failureShare > MAXIMUM_FAILURE_SHARE;
        return shouldEject && now >= record.ejectedUntil
          ? eject(record, now)
          : undefined;
      }
    }
  }

  /** Returns whether `upstreamId` is ejected at `now`. */
  isEjected(upstreamId: string, now: number): boolean {
    const record = this.records.get(upstreamId);
    return record !== undefined && now < record.ejectedUntil;
  }

  /** Discards the record of an upstream that is gone. */
  forget(upstreamId: string): void {
    this.records.delete(upstreamId);
  }

  private findOrCreateRecord(upstreamId: string): HealthRecord {
    const existing = this.records.get(upstreamId);
    if (existing !== undefined) {
      return existing;
    }
    const created: HealthRecord = {
      failureShare: 0,
      consecutiveFailures: 0,
      ejections: 0,
      ejectedUntil: 0,
    };
    this.records.set(upstreamId, created);
    return created;
  }
}

/** Ejects an upstream; returns the duration in milliseconds. */
function eject(record: HealthRecord, now: number): number {
  const duration = Math.min(
    FIRST_EJECTION_MILLISECONDS * 2 ** record.ejections,
    MAXIMUM_EJECTION_MILLISECONDS,
  );
  record.ejections += 1;
  record.ejectedUntil = now + duration;
  return duration;
}
