/**
 * The health of upstreams by the results of all entry hosts. A lost connection is
 * the fault of the upstream only if several hosts lose theirs; a host whose links
 * fail must not take an upstream from the others.
 */
import {UpstreamHealth, type UpstreamResult} from './upstream_health.js';

/** A result of a request, and the host that it comes from. */
export interface ReportedResult {
  readonly upstreamId: string;
  readonly front: string;
  readonly result: UpstreamResult;
}

/** Time within which lost connections of two hosts have the same cause. */
const CORROBORATION_MILLISECONDS = 5000;

/** The health of upstreams according to several hosts. */
export class FleetHealth {
  private readonly health = new UpstreamHealth();
  /** Times of lost connections since the last answer, by upstream and host. */
  private readonly losses = new Map<string, Map<string, number>>();

  /**
   * Records a result. Returns the milliseconds for which the upstream is ejected
   * because of it; undefined if it is not.
   */
  recordResult(
    {upstreamId, front, result}: ReportedResult,
    now: number,
  ): number | undefined {
    if (result === 'answered') {
      this.losses.delete(upstreamId);
    }
    if (
      result === 'disconnected' &&
      !this.isCorroborated(upstreamId, front, now)
    ) {
      return undefined;
    }
    return this.health.recordResult(upstreamId, result, now);
  }

  /** Returns whether `upstreamId` is ejected at `now`. */
  isEjected(upstreamId: string, now: number): boolean {
    return this.health.isEjected(upstreamId, now);
  }

  /** Discards the record of an upstream that is gone. */
  forget(upstreamId: string): void {
    this.health.forget(upstreamId);
    this.losses.delete(upstreamId);
  }

  private isCorroborated(
    upstreamId: string,
    front: string,
    now: number,
  ): boolean {
    const byFront = this.losses.get(upstreamId) ?? new Map<string, number>();
    byFront.set(front, now);
    this.losses.set(upstreamId, byFront);
    return [...byFront].some(
      ([other, lostAt]) =>
        other !== front && now - lostAt < CORROBORATION_MILLISECONDS,
    );
  }
}
