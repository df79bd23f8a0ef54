/**
 * This host's parts of the quotas of workspaces. The parts of all hosts add up
 * to the quota, so that a workspace that sends many times its usual load stays
 * limited even while hosts cannot reach each other.
 */
import type {WorkspaceQuota} from '../routing/routing_configuration.js';
import {QuotaReserve} from './quota_reserve.js';

/** Maximum share of the level that is given for one request of another host. */
const MAXIMUM_GIVEN_SHARE = 0.6;

/**
 * Share of its part with which a restarted process begins. The previous process
 * may have used up its part in the same window: if all hosts are lost at once,
 * this share of burst and slack is admitted twice, which half of the slack and
 * the rate of the time in which no host ran cover. With a smaller share, prompts
 * that are larger than a part wait until it is full, while all clients call
 * again.
 */
export const RESTARTED_SHARE = 0.5;

/** Share of the slack that is used; the rest covers requests in transit. */
const USED_SLACK_SHARE = 0.5;

interface Bucket {
  /** Amount that can still be taken; below 0 after one large request. */
  level: number;
  updatedAt: number;
  readonly reserve: QuotaReserve;
}

/** What one host's part of a quota has for a request. */
export interface QuotaOutlook {
  /** Amount that is left. */
  readonly level: number;
  readonly capacity: number;
  /** Milliseconds after which a retry can succeed; 0 if the amount is there. */
  readonly wait: number;
}

/** One host's part of a quota. */
interface QuotaPart {
  readonly perMillisecond: number;
  readonly capacity: number;
}

/** The token buckets of one host, by workspace. */
export class QuotaShare {
  private readonly buckets = new Map<string, Bucket>();

  constructor(
    /** Amount by which all hosts together may exceed the quota per window. */
    private readonly slack: number,
    /** Level of a new bucket, as a share of its capacity. */
    private readonly initialShare: number,
  ) {}

  /** Returns the level of the bucket of `workspace` at its last update. */
  levelOf(workspace: string): number {
    return this.buckets.get(workspace)?.level ?? 0;
  }

  /**
   * Takes `amount` from this host's part of the quota of `workspace`, which is
   * one of `hosts` equal parts. An amount larger than the capacity is admitted
   * when the bucket is full and leaves a negative level. Returns 0 if the
   * amount was taken, otherwise the milliseconds after which to retry. A request
   * with a rank leaves what a larger one that is as urgent was refused.
   */
  take(
    workspace: string,
    quota: WorkspaceQuota,
    amount: number,
    hosts: number,
    now: number,
    rank?: number,
  ): number {
    const part = this.partOf(quota, hosts);
    const {wait} = this.outlook(workspace, quota, amount, hosts, now, rank);
    const bucket = this.refill(workspace, part, now);
    const {reserve} = bucket;
    if (wait > 0) {
      if (rank !== undefined) {
        reserve.recordRefusal(amount, rank, now);
      }
      return wait;
    }
    bucket.level -= amount;
    if (rank !== undefined) {
      reserve.recordTaken(amount, rank);
    }
    return 0;
  }

  /** Returns what `take` would find and return; takes and records nothing. */
  outlook(
    workspace: string,
    quota: WorkspaceQuota,
    amount: number,
    hosts: number,
    now: number,
    rank?: number,
  ): QuotaOutlook {
    const part = this.partOf(quota, hosts);
    const {perMillisecond, capacity} = part;
    const reserve = this.buckets.get(workspace)?.reserve;
    const neededLevel =
      rank === undefined || reserve === undefined
        ? amount
        : reserve.neededBy(amount, rank, now);
    const needed = Math.min(neededLevel, capacity);
    const level = this.levelAt(workspace, part, now);
    const missing = Math.max(0, needed - level);
    return {
      level,
      capacity,
      wait: missing / Math.max(perMillisecond, Number.EPSILON),
    };
  }

  /**
   * Removes at most `amount` from the level and returns what was removed, to
   * be sent to another host. It is removed first so that it cannot be taken on
   * two hosts.
   */
  give(
    workspace: string,
    quota: WorkspaceQuota,
    amount: number,
    hosts: number,
    now: number,
  ): number {
    const bucket = this.refill(workspace, this.partOf(quota, hosts), now);
    const given = Math.min(
      amount,
      Math.max(0, bucket.level) * MAXIMUM_GIVEN_SHARE,
    );
    bucket.level -= given;
    return given;
  }

  /** Adds an amount that another host gave, even beyond the capacity. */
  receive(workspace: string, amount: number): void {
    this.giveBack(workspace, amount);
  }

  /** Adds back an amount that was taken for a request that did not run. */
  giveBack(workspace: string, amount: number): void {
    const bucket = this.buckets.get(workspace);
    if (bucket !== undefined) {
      bucket.level += amount;
    }
  }

  private partOf(quota: WorkspaceQuota, hosts: number): QuotaPart {
    return {
      perMillisecond: quota.perSecond / hosts / 1000,
      capacity: (quota.burst + this.slack * USED_SLACK_SHARE) / hosts,
    };
  }

  private refill(workspace: string, part: QuotaPart, now: number): Bucket {
    const level = this.levelAt(workspace, part, now);
    const bucket = this.buckets.get(workspace);
    if (bucket === undefined) {
      const newBucket = {level, updatedAt: now, reserve: new QuotaReserve()};
      this.buckets.set(workspace, newBucket);
      return newBucket;
    }
    bucket.level = level;
    bucket.updatedAt = now;
    return bucket;
  }

  private levelAt(
    workspace: string,
    {perMillisecond, capacity}: QuotaPart,
    now: number,
  ): number {
    const bucket = this.buckets.get(workspace);
    if (bucket === undefined) {
      return capacity * this.initialShare;
    }
    const accrued = Math.max(0, now - bucket.updatedAt) * perMillisecond;
    return Math.max(bucket.level, Math.min(capacity, bucket.level + accrued));
  }
}

/** Number of hosts that a process assumes until it knows the membership. */
const ASSUMED_HOST_COUNT = 12;

/** Time after its start that a process needs to learn the membership. */
const MEMBERSHIP_LEARNING_MILLISECONDS = 3000;

/**
 * Returns the number of hosts that share a limit, as seen by a process that
 * knows `knownHosts`. A process that has just started doesn't know the others
 * yet and must not treat the entire limit as its own part.
 */
export function countSharingHosts(
  knownHosts: number,
  processAgeMilliseconds: number,
): number {
  return processAgeMilliseconds < MEMBERSHIP_LEARNING_MILLISECONDS
    ? Math.max(knownHosts, ASSUMED_HOST_COUNT)
    : Math.max(1, knownHosts);
}
