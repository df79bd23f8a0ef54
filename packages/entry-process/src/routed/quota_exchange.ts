/**
 * This host's part of the quotas, and what other hosts give of theirs.
 */
import {
  type Member,
  QuotaShare,
  type RandomSource,
  shuffle,
  type WorkspaceQuota,
} from '@lacewingwinch/decisions';
import type {PeerCaller} from '@lacewingwinch/entry-hosts';
import type {EventLog} from '@lacewingwinch/observability';

import {messageOf} from '../util/message_of.js';

/** Other hosts that are asked for a part of a quota, at most. */
const ASKED_HOSTS = 2;

/** Milliseconds for the answer of another host; links take some milliseconds. */
const ASK_TIMEOUT_MILLISECONDS = 60;

/** Milliseconds for which nobody is asked after an ask that did not help. */
const ASK_PAUSE_MILLISECONDS = 400;

/** How much more than needed is asked, so that the next request needs no ask. */
const ASK_FACTOR = 2;

/**
 * Share of its part with which a restarted process begins: the process before
 * may have used up its own part in the same window.
 */
const RESTARTED_SHARE = 0.2;

/** What the exchange needs from others. */
export interface QuotaExchangeContext {
  readonly peers: PeerCaller;
  readonly events: EventLog;
  readonly clock: () => number;
  readonly random: RandomSource;
  readonly otherHosts: () => readonly Member[];
  readonly sharingHosts: () => number;
  /** What all hosts together may take beyond a quota in one window. */
  readonly slack: number;
  /** Whether no process of the system ran before. */
  readonly isFirstStart: boolean;
}

/** Takes from the quotas of workspaces. */
export class QuotaExchange {
  private readonly share: QuotaShare;
  private readonly askAgainAt = new Map<string, number>();

  constructor(private readonly context: QuotaExchangeContext) {
    this.share = new QuotaShare(
      context.slack,
      context.isFirstStart ? 1 : RESTARTED_SHARE,
    );
  }

  /**
   * Takes `amount`; asks other hosts if this one's part is used up. Returns
   * the milliseconds after which to come back, 0 if the request may pass.
   */
  async take(
    workspace: string,
    quota: WorkspaceQuota,
    amount: number,
  ): Promise<number> {
    const wait = this.takeHere(workspace, quota, amount);
    const now = this.context.clock();
    if (wait === 0 || now < (this.askAgainAt.get(workspace) ?? 0)) {
      return wait;
    }
    const missing = amount - Math.max(0, this.share.levelOf(workspace));
    const given = await this.askOthers(workspace, missing * ASK_FACTOR);
    this.share.receive(workspace, given);
    const waitAfter = this.takeHere(workspace, quota, amount);
    if (waitAfter > 0) {
      this.askAgainAt.set(
        workspace,
        this.context.clock() + ASK_PAUSE_MILLISECONDS,
      );
    }
    return waitAfter;
  }

  /** Gives back what a request took that did not run. */
  giveBack(workspace: string, amount: number): void {
    this.share.giveBack(workspace, amount);
  }

  /** Gives a part of what is left here to another host. */
  give(
    workspace: string,
    quota: WorkspaceQuota | undefined,
    amount: number,
  ): number {
    return quota === undefined
      ? 0
      : this.share.give(
          workspace,
          quota,
          amount,
          this.context.sharingHosts(),
          this.context.clock(),
        );
  }

  private takeHere(
    workspace: string,
    quota: WorkspaceQuota,
    amount: number,
  ): number {
    return this.share.take(
      workspace,
      quota,
      amount,
      this.context.sharingHosts(),
      this.context.clock(),
    );
  }

  private async askOthers(workspace: string, amount: number): Promise<number> {
    const {otherHosts, random} = this.context;
    const asked = shuffle(otherHosts(), random).slice(0, ASKED_HOSTS);
    const gifts = await Promise.all(
      asked.map(member => this.askOne(member, workspace, amount / ASKED_HOSTS)),
    );
    return gifts.reduce((sum, given) => sum + given, 0);
  }

  /** A host that does not answer gives nothing; what it destroyed is lost. */
  private async askOne(
    member: Member,
    workspace: string,
    amount: number,
  ): Promise<number> {
    try {
      const {given} = await this.context.peers.call(
        member.addresses.peers,
        'quota.ask',
        {workspace, amount},
        ASK_TIMEOUT_MILLISECONDS,
      );
      return given;
    } catch (error) {
      this.context.events.write(3004, {
        hostId: member.hostId,
        method: 'quota.ask',
        error: messageOf(error),
      });
      return 0;
    }
  }
}
