/**
 * Weighted fair shares of the workspaces of one rank, in prompt tokens. While
 * more is requested than can be read, a workspace that gets more than its share
 * waits and is refused before the others.
 *
 * It answers the burst of one workspace within its quota. Only admitted work
 * counts against a share, because refused requests take nothing from others; the
 * size of the shares depends on what is offered, because capacity that a
 * workspace does not need is divided among the others.
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

/** Prompt tokens that a workspace offers with one request. */
export interface WorkspaceOffer {
  readonly workspace: string;
  /** Undefined if the workspace states none. */
  readonly weight: number | undefined;
  readonly tokens: number;
}

/** The level to which the capacity is divided. */
export interface ShareLevel {
  /** Tokens per millisecond that a weight of 1 may use. */
  readonly rate: number;
  /** Weight of a workspace that states none. */
  readonly meanWeight: number;
  readonly at: number;
}

/** What a workspace gets, and the level on which that rests. */
export interface AssessedShare {
  readonly usedShare: number;
  readonly level: ShareLevel;
}

interface OfferedRate {
  readonly rate: number;
  readonly weight: number | undefined;
  readonly seenAt: number;
}

/** The prompt tokens that workspaces offer and get at one rank. */
export class WorkspaceShares {
  /** By workspace, the one seen longest ago first. */
  private readonly workspaces = new Map<string, WorkspaceRecord>();
  private level: ShareLevel = {rate: Infinity, meanWeight: 1, at: -Infinity};

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
    const {usedShare, level} = this.assess(workspace, capacity, now);
    this.keepLevel(level);
    return usedShare;
  }

  /**
   * Returns what `usedShareOf` would return as if `uncounted` had been recorded
   * now, and the level on which that rests; keeps neither.
   */
  assess(
    workspace: string,
    capacity: number,
    now: number,
    uncounted?: WorkspaceOffer,
  ): AssessedShare {
    const record = this.workspaces.get(workspace);
    if (record === undefined && uncounted === undefined) {
      return {usedShare: 0, level: this.level};
    }
    const isOld = now >= this.level.at + SHARES_LIFETIME_MILLISECONDS;
    const level = isOld ? this.levelOf(capacity, now, uncounted) : this.level;
    const weight = uncounted === undefined ? record?.weight : uncounted.weight;
    const fairRate = level.rate * (weight ?? level.meanWeight);
    const admittedRate = record?.admitted.perMillisecond(now) ?? 0;
    return {usedShare: admittedRate / fairRate, level};
  }

  /** Keeps a level, so that it need not be computed for each request. */
  keepLevel(level: ShareLevel): void {
    this.level = level;
  }

  /**
   * Divides the capacity: those that offer less than their share get what they
   * offer, and the rest is divided by weight.
   */
  private levelOf(
    capacity: number,
    now: number,
    uncounted: WorkspaceOffer | undefined,
  ): ShareLevel {
    const offered = this.offersWith(uncounted, now);
    const meanWeight = meanOf(offered.flatMap(({weight}) => weight ?? []));
    const offers = offered
      .filter(({seenAt}) => now - seenAt <= IDLE_MILLISECONDS)
      .map(({rate, weight = meanWeight}) => {
        return {rate, weight, level: rate / weight};
      })
      .sort((left, right) => left.level - right.level);
    let capacityLeft = capacity;
    let weightLeft = offers.reduce((sum, {weight}) => sum + weight, 0);
    for (const {rate, weight, level} of offers) {
      if (level * weightLeft > capacityLeft) {
        return {rate: capacityLeft / weightLeft, meanWeight, at: now};
      }
      capacityLeft -= rate;
      weightLeft -= weight;
    }
    return {rate: Infinity, meanWeight, at: now};
  }

  private offersWith(
    uncounted: WorkspaceOffer | undefined,
    now: number,
  ): readonly OfferedRate[] {
    const offers = [...this.workspaces].map(
      ([workspace, {offered, weight, seenAt}]): OfferedRate =>
        workspace === uncounted?.workspace
          ? offerOf(uncounted, offered, now)
          : {rate: offered.perMillisecond(now), weight, seenAt},
    );
    return uncounted === undefined || this.workspaces.has(uncounted.workspace)
      ? offers
      : [...offers, offerOf(uncounted, new DecayingRate(now), now)];
  }
}

function offerOf(
  {weight, tokens}: WorkspaceOffer,
  offered: DecayingRate,
  now: number,
): OfferedRate {
  return {rate: offered.perMillisecond(now, tokens), weight, seenAt: now};
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
