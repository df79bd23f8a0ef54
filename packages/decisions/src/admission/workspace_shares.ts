/**
 * Weighted fair shares of the workspaces of one rank, in prompt tokens. While
 * more is requested than can be read, a workspace that gets more than its share
 * waits and is refused before the others.
 *
 * It answers the burst of one workspace within its quota. Only admitted work
 * counts against a share, because refused requests take nothing from others; the
 * size of the shares depends on what is offered, because capacity that a
 * workspace does not ask for is divided among the others.
 */
import type {WorkspaceQuota} from '../routing/routing_configuration.js';
import type {AdmissionTerms} from './admission_terms.js';
import {DecayingRate} from './decaying_rate.js';

/** Milliseconds for which the computed shares are used. */
const SHARES_LIFETIME_MILLISECONDS = 50;

/** Time after which a workspace without requests has no share. */
const IDLE_MILLISECONDS = 5000;

/** Most workspaces of one rank, about 300 bytes each. */
const MAXIMUM_WORKSPACES = 500;

interface WorkspaceRecord {
  readonly offered: DecayingRate;
  readonly admitted: DecayingRate;
  /** Undefined if the workspace states none. */
  weight: number | undefined;
  seenAt: number;
}

/** The prompt tokens that workspaces offer and get at one rank. */
export class WorkspaceShares {
  /** By workspace, the one seen longest ago first. */
  private readonly workspaces = new Map<string, WorkspaceRecord>();
  /** Tokens per millisecond that a weight of 1 may use. */
  private level = Infinity;
  private levelAt = -Infinity;
  /** Weight of a workspace that states none. */
  private meanWeight = 1;

  /** Counts a request, whether it is admitted or not. */
  recordOffered(
    workspace: string,
    weight: number | undefined,
    tokens: number,
    now: number,
  ): void {
    const record = this.workspaces.get(workspace) ?? {
      offered: new DecayingRate(now),
      admitted: new DecayingRate(now),
      weight,
      seenAt: now,
    };
    record.weight = weight;
    record.seenAt = now;
    record.offered.add(tokens, now);
    this.workspaces.delete(workspace);
    this.workspaces.set(workspace, record);
    if (this.workspaces.size > MAXIMUM_WORKSPACES) {
      const [oldest = workspace] = this.workspaces.keys();
      this.workspaces.delete(oldest);
    }
  }

  /** Counts the work of an admitted request. */
  recordAdmitted(workspace: string, tokens: number, now: number): void {
    this.workspaces.get(workspace)?.admitted.add(tokens, now);
  }

  /**
   * Returns what a workspace gets as a multiple of its fair share of `capacity`,
   * in tokens per millisecond; 0 if all that is offered fits.
   */
  usedShareOf(workspace: string, capacity: number, now: number): number {
    const record = this.workspaces.get(workspace);
    if (record === undefined) {
      return 0;
    }
    if (now >= this.levelAt + SHARES_LIFETIME_MILLISECONDS) {
      this.updateLevel(capacity, now);
    }
    const fairRate = this.level * (record.weight ?? this.meanWeight);
    return record.admitted.perMillisecond(now) / fairRate;
  }

  /**
   * Divides the capacity: those that offer less than their share get what they
   * offer, and the rest is divided by weight.
   */
  private updateLevel(capacity: number, now: number): void {
    const meanWeight = meanOf(
      [...this.workspaces.values()].flatMap(({weight}) => weight ?? []),
    );
    const offers = [...this.workspaces.values()]
      .filter(({seenAt}) => now - seenAt <= IDLE_MILLISECONDS)
      .map(({offered, weight = meanWeight}) => {
        const rate = offered.perMillisecond(now);
        return {rate, weight, level: rate / weight};
      })
      .sort((left, right) => left.level - right.level);
    let capacityLeft = capacity;
    let weightLeft = offers.reduce((sum, {weight}) => sum + weight, 0);
    this.levelAt = now;
    this.level = Infinity;
    this.meanWeight = meanWeight;
    for (const {rate, weight, level} of offers) {
      if (level * weightLeft > capacityLeft) {
        this.level = capacityLeft / weightLeft;
        return;
      }
      capacityLeft -= rate;
      weightLeft -= weight;
    }
  }
}

/** Returns the mean of `weights`; 1 if there are none. */
function meanOf(weights: readonly number[]): number {
  return weights.length === 0
    ? 1
    : weights.reduce((sum, weight) => sum + weight, 0) / weights.length;
}

/**
 * Returns the terms' field for the weight of a workspace: what its quota allows,
 * because an operator states there how the service is divided.
 */
export function shareWeightField(
  quota: WorkspaceQuota | undefined,
): Pick<AdmissionTerms, 'workspaceWeight'> {
  return quota?.unit === 'tokens' && quota.perSecond > 0
    ? {workspaceWeight: quota.perSecond}
    : {};
}
