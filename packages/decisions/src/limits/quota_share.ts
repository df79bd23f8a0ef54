/**
 * This host's part of the quotas of workspaces. Answers one large workspace
 * that sends many times its usual load, also while hosts cannot reach each
 * other: the parts of all hosts add up to the quota whoever can be reached.
 */
import type {WorkspaceQuota} from '../routing/routing_configuration.js';

/** Share of what is left that one ask of another host may get. */
const GIVEN_SHARE = 0.6;

/** Share of the slack that is used; the rest covers requests under way. */
const USED_SLACK_SHARE = 0.5;

interface Bucket {
  /** What may still be taken; below 0 after one large request. */
  level: number;
  updated: number;
}

/** What one host may take of a quota. */
interface QuotaPart {
  readonly perMillisecond: number;
  readonly capacity: number;
}

/** Buckets of one host, by workspace. */
export class QuotaShare {
  private readonly buckets = new Map<string, Bucket>();

  constructor(
    /** What all hosts together may take beyond the quota in one window. */
    private readonly slack: number,
    /** Share of a full bucket with which this process starts. */
    private readonly firstShare: number,
  ) {}

  /** What `workspace` may still take here, at the last look. */
  levelOf(workspace: string): number {
    return this.buckets.get(workspace)?.level ?? 0;
  }

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
    const part = this.partOf(quota, hosts);
    const {perMillisecond, capacity} = part;
    const bucket = this.refill(workspace, part, now);
    const needed = Math.min(amount, capacity);
    if (bucket.level >= needed) {
      bucket.level -= amount;
      return 0;
    }
    return (needed - bucket.level) / Math.max(perMillisecond, Number.EPSILON);
  }

  /**
   * Destroys a part of what is left here, at most `amount`, and returns it for
   * another host: whatever is given can be taken in one place only.
   */
  give(
    workspace: string,
    quota: WorkspaceQuota,
    amount: number,
    hosts: number,
    now: number,
  ): number {
    const bucket = this.refill(workspace, this.partOf(quota, hosts), now);
    const given = Math.min(amount, Math.max(0, bucket.level) * GIVEN_SHARE);
    bucket.level -= given;
    return given;
  }

  /** Adds what another host gave. */
  receive(workspace: string, amount: number): void {
    this.giveBack(workspace, amount);
  }

  /** Gives back what a request took that was not run. */
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

  private refill(
    workspace: string,
    {perMillisecond, capacity}: QuotaPart,
    now: number,
  ): Bucket {
    const bucket = this.buckets.get(workspace);
    if (bucket === undefined) {
      const fresh = {level: capacity * this.firstShare, updated: now};
      this.buckets.set(workspace, fresh);
      return fresh;
    }
    const earned = Math.max(0, now - bucket.updated) * perMillisecond;
    bucket.level = Math.max(
      bucket.level,
      Math.min(capacity, bucket.level + earned),
    );
    bucket.updated = now;
    return bucket;
  }
}

/** Hosts that are assumed while the membership is not known yet. */
const ASSUMED_HOSTS = 12;

/** Milliseconds after its start in which a process learns the membership. */
const LEARNING_MILLISECONDS = 3000;

/**
 * Hosts that share a limit, of which `known` are known to a process that has
 * run for `age`. A process that has just started knows nobody; it must not take
 * the whole limit for its own part.
 */
export function sharingHosts(known: number, age: number): number {
  return age < LEARNING_MILLISECONDS
    ? Math.max(known, ASSUMED_HOSTS)
    : Math.max(1, known);
}
