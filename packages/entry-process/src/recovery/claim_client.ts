/**
 * Claims of the right to execute, through the few hosts that append them.
 */
import {
  type Claim,
  type Member,
  rendezvousOrder,
  ServingError,
} from '@lacewingwinch/decisions';
import type {ClaimVerdict, PeerCaller} from '@lacewingwinch/entry-hosts';

import {
  CLAIM_TIMEOUT_MILLISECONDS,
  type ClaimTask,
} from '../tasks/claim_task.js';

/** Entry hosts that append claims. */
export const CLAIM_APPENDERS = 3;

/** Milliseconds for which an answer may be late. */
const ANSWER_MARGIN_MILLISECONDS = 500;

/** What the client needs from others. */
export interface ClaimClientContext {
  readonly hostId: string;
  readonly peers: PeerCaller;
  readonly claimTask: ClaimTask;
  readonly servingHosts: () => readonly Member[];
}

/** Gets the verdict of the log on claims. */
export class ClaimClient {
  constructor(private readonly context: ClaimClientContext) {}

  /** The verdict on `claim`; fails with `log-unavailable`. */
  async decide(claim: Claim): Promise<ClaimVerdict> {
    const appender = this.appenderOf(claim.key);
    if (appender === undefined || appender.hostId === this.context.hostId) {
      return this.context.claimTask.decide(claim);
    }
    try {
      return await this.context.peers.call(
        appender.addresses.peers,
        'claim.decide',
        claim,
        CLAIM_TIMEOUT_MILLISECONDS + ANSWER_MARGIN_MILLISECONDS,
      );
    } catch {
      return this.decideAtAnother(claim, appender);
    }
  }

  /** States that a right was destroyed unused. */
  release(key: string, rightId: string): void {
    this.context.claimTask.release(key, rightId);
  }

  private async decideAtAnother(
    claim: Claim,
    failed: Member,
  ): Promise<ClaimVerdict> {
    const next = this.appenders(claim.key).find(
      ({hostId}) => hostId !== failed.hostId,
    );
    if (next === undefined || next.hostId === this.context.hostId) {
      return this.context.claimTask.decide(claim);
    }
    try {
      return await this.context.peers.call(
        next.addresses.peers,
        'claim.decide',
        claim,
        CLAIM_TIMEOUT_MILLISECONDS + ANSWER_MARGIN_MILLISECONDS,
      );
    } catch (error) {
      throw new ServingError('log-unavailable', {cause: error});
    }
  }

  private appenderOf(key: string): Member | undefined {
    return this.appenders(key)[0];
  }

  /** The hosts that append claims, the one for `key` first. */
  private appenders(key: string): readonly Member[] {
    const serving = new Map(
      this.context.servingHosts().map(member => [member.hostId, member]),
    );
    const few = rendezvousOrder(
      'claim-appender',
      [...serving.keys()],
      CLAIM_APPENDERS,
    );
    return rendezvousOrder(key, few).flatMap(id => serving.get(id) ?? []);
  }
}
