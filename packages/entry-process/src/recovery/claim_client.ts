/**
 * The client for claims, which a few entry hosts append to the log for all.
 */
import {
  type Claim,
  type Member,
  rendezvousOrder,
  ServingError,
} from '@lacewingwinch/decisions';
import type {ClaimVerdict, PeerClient} from '@lacewingwinch/entry-hosts';

import {
  CLAIM_TIMEOUT_MILLISECONDS,
  type ClaimTask,
} from '../tasks/claim_task.js';

/** Number of entry hosts that append claims. */
export const CLAIM_APPENDER_COUNT = 3;

/** Milliseconds added to the claim timeout when a peer appends the claim. */
const RESPONSE_MARGIN_MILLISECONDS = 500;

/** Dependencies of `ClaimClient`. */
export interface ClaimClientDependencies {
  readonly hostId: string;
  readonly peers: PeerClient;
  readonly claimTask: ClaimTask;
  readonly servingHosts: () => readonly Member[];
}

/** Requests the verdict of the log on claims. */
export class ClaimClient {
  constructor(private readonly dependencies: ClaimClientDependencies) {}

  /**
   * Returns the verdict on `claim`. Rejects with `log-unavailable` if neither
   * the preferred appender nor a fallback returns one.
   */
  async decide(claim: Claim): Promise<ClaimVerdict> {
    const appender = this.appenderOf(claim.key);
    if (
      appender === undefined ||
      appender.hostId === this.dependencies.hostId
    ) {
      return this.dependencies.claimTask.decide(claim);
    }
    try {
      return await this.dependencies.peers.call(
        appender.addresses.peers,
        'claim.decide',
        claim,
        CLAIM_TIMEOUT_MILLISECONDS + RESPONSE_MARGIN_MILLISECONDS,
      );
    } catch {
      return this.decideAtFallback(claim, appender);
    }
  }

  /** Reports that an execution right was destroyed unused. */
  release(key: string, rightId: string): void {
    this.dependencies.claimTask.release(key, rightId);
  }

  private async decideAtFallback(
    claim: Claim,
    failed: Member,
  ): Promise<ClaimVerdict> {
    const fallback = this.appenders(claim.key).find(
      ({hostId}) => hostId !== failed.hostId,
    );
    if (
      fallback === undefined ||
      fallback.hostId === this.dependencies.hostId
    ) {
      return this.dependencies.claimTask.decide(claim);
    }
    try {
      return await this.dependencies.peers.call(
        fallback.addresses.peers,
        'claim.decide',
        claim,
        CLAIM_TIMEOUT_MILLISECONDS + RESPONSE_MARGIN_MILLISECONDS,
      );
    } catch (error) {
      throw new ServingError('log-unavailable', {cause: error});
    }
  }

  private appenderOf(key: string): Member | undefined {
    return this.appenders(key)[0];
  }

  /**
   * Returns the hosts that append claims, the preferred one for `key` first.
   */
  private appenders(key: string): readonly Member[] {
    const servingById = new Map(
      this.dependencies.servingHosts().map(member => [member.hostId, member]),
    );
    const appenderIds = rendezvousOrder(
      'claim-appender',
      [...servingById.keys()],
      CLAIM_APPENDER_COUNT,
    );
    return rendezvousOrder(key, appenderIds).flatMap(
      id => servingById.get(id) ?? [],
    );
  }
}
