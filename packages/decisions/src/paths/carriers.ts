/**
 * The choice of the entry host that carries an attempt to an upstream which this
 * host does not reach.
 */
import type {Member} from '../membership/member.js';

/** What a host did with an attempt that it was requested to relay. */
export type CarrierResult =
  /** It sent the attempt to the upstream. */
  | 'carried'
  /** It did not reach the upstream either. */
  | 'out-of-reach'
  /** It does not send to the upstream for another reason. */
  | 'declined'
  /** It reaches no upstream itself. */
  | 'cut-off'
  /** It did not accept a connection. */
  | 'unreachable';

/** The attempt that has to be carried. */
export interface CarriedAttempt {
  readonly upstreamId: string;
  readonly failureDomain: string;
  /** Hosts that get no second request. */
  readonly triedHosts: ReadonlySet<string>;
}

/** Time for which a host gets no request for an upstream that it did not reach. */
const FAILED_PAIR_MILLISECONDS = 1000;

/** Time for which a host that did not accept a connection gets no request. */
const UNREACHABLE_MILLISECONDS = 1000;

/** Time for which a host counts as cut off after it said so. */
const CUT_OFF_MILLISECONDS = 2500;

interface FailedPair {
  readonly until: number;
  readonly isOutOfReach: boolean;
}

/** Largest number of failed pairs of host and upstream that are remembered. */
const MAXIMUM_FAILED_PAIRS = 1024;

/** The entry hosts as carriers, from the point of view of this host. */
export class Carriers {
  /** Times until which hosts get no request. */
  private readonly cutOffUntil = new Map<string, number>();
  private readonly unreachableUntil = new Map<string, number>();
  private readonly failedPairs = new Map<string, FailedPair>();

  /** Records what a host says of itself. */
  recordCutOff(hostId: string, isCutOff: boolean, now: number): void {
    if (isCutOff) {
      this.cutOffUntil.set(hostId, now + CUT_OFF_MILLISECONDS);
      return;
    }
    this.cutOffUntil.delete(hostId);
  }

  /** Records what became of an attempt. */
  recordResult(
    hostId: string,
    upstreamId: string,
    result: CarrierResult,
    now: number,
  ): void {
    switch (result) {
      case 'carried':
        this.failedPairs.delete(pairKey(hostId, upstreamId));
        this.cutOffUntil.delete(hostId);
        return;
      case 'out-of-reach':
      case 'declined':
        this.rememberPair(pairKey(hostId, upstreamId), {
          until: now + FAILED_PAIR_MILLISECONDS,
          isOutOfReach: result === 'out-of-reach',
        });
        return;
      case 'cut-off':
        this.recordCutOff(hostId, true, now);
        return;
      case 'unreachable':
        this.unreachableUntil.set(hostId, now + UNREACHABLE_MILLISECONDS);
    }
  }

  /** Returns whether a host has said lately that it reaches no upstream. */
  isCutOff(hostId: string, now: number): boolean {
    return now < (this.cutOffUntil.get(hostId) ?? -Infinity);
  }

  /** Returns whether one of `hosts` lately did not reach the upstream either. */
  isOutOfReachElsewhere(
    hosts: readonly Member[],
    upstreamId: string,
    now: number,
  ): boolean {
    return hosts.some(({hostId}) => {
      const pair = this.failedPairs.get(pairKey(hostId, upstreamId));
      return pair?.isOutOfReach === true && now < pair.until;
    });
  }

  /**
   * Returns one of `hosts` that probably reaches the upstream, in the failure
   * domain of the attempt if possible; undefined if there is none.
   */
  choose(
    hosts: readonly Member[],
    attempt: CarriedAttempt,
    now: number,
    random: () => number,
  ): Member | undefined {
    const usable = hosts.filter(host => this.isUsable(host, attempt, now));
    const near = usable.filter(
      ({failureDomain}) => failureDomain === attempt.failureDomain,
    );
    const candidates = near.length > 0 ? near : usable;
    return candidates[Math.floor(random() * candidates.length)];
  }

  private isUsable(
    {hostId, addresses}: Member,
    {upstreamId, triedHosts}: CarriedAttempt,
    now: number,
  ): boolean {
    const pair = this.failedPairs.get(pairKey(hostId, upstreamId));
    return (
      addresses.relay !== undefined &&
      !triedHosts.has(hostId) &&
      !this.isCutOff(hostId, now) &&
      now >= (this.unreachableUntil.get(hostId) ?? -Infinity) &&
      now >= (pair?.until ?? -Infinity)
    );
  }

  private rememberPair(key: string, pair: FailedPair): void {
    this.failedPairs.delete(key);
    this.failedPairs.set(key, pair);
    const [oldest] = this.failedPairs.keys();
    if (this.failedPairs.size > MAXIMUM_FAILED_PAIRS && oldest !== undefined) {
      this.failedPairs.delete(oldest);
    }
  }
}

function pairKey(hostId: string, upstreamId: string): string {
  return `${hostId} ${upstreamId}`;
}
