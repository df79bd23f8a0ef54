/**
 * This host's part of the quotas of workspaces. Answers one large workspace
 * that sends many times its usual load, also while hosts cannot reach each
 * other: the parts of all hosts add up to the quota whoever can be reached.
 */
import type {WorkspaceQuota} from '../routing/routing_configuration.js';

interface Bucket {
  /** What may still be taken; below 0 after one large request. */
  level: number;
  updated: number;
}

/** Buckets of one host, by workspace. */
export class QuotaShare {
  private readonly buckets = new Map<string, Bucket>();

  /**
   * Takes `amount` of the quota of `workspace`, of which this host has one
   * part in `hosts`. A request larger than the whole part passes while the
   * part is full and leaves a debt. Returns the milliseconds after which to
   * come back, 0 if the request may pass.
   */
  take(
    workspace: string,
    quota: WorkspaceQuota,
    amount: number,
    hosts: number,
    now: number,
  ): number {
    const perMillisecond = quota.perSecond / hosts / 1000;
    const capacity = quota.burst / hosts;
    const bucket = this.refill(workspace, perMillisecond, capacity, now);
    const needed = Math.min(amount, capacity);
    if (bucket.level >= needed) {
      bucket.level -= amount;
      return 0;
    }
    return (needed - bucket.level) / Math.max(perMillisecond, Number.EPSILON);
  }

  /** Gives back what a request took that was not run. */
  giveBack(workspace: string, amount: number): void {
    const bucket = this.buckets.get(workspace);
    if (bucket !== undefined) {
      bucket.level += amount;
    }
  }

  private refill(
    workspace: string,
    perMillisecond: number,
    capacity: number,
    now: number,
  ): Bucket {
    const bucket = this.buckets.get(workspace);
    if (bucket === undefined) {
      const fresh = {level: capacity, updated: now};
      this.buckets.set(workspace, fresh);
      return fresh;
    }
    const earned = Math.max(0, now - bucket.updated) * perMillisecond;
    bucket.level = Math.min(capacity, bucket.level + earned);
    bucket.updated = now;
    return bucket;
  }
}
