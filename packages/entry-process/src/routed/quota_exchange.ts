/**
 * This host's part of the quotas, and what other hosts give of theirs.
 */
import {
  type Member,
  quotaHolders,
  QuotaShare,
  type RandomSource,
  sharingHosts,
  shuffle,
  type WorkspaceQuota,
} from '@lacewingwinch/decisions';
import type {PeerCaller, QuotaAnswer} from '@lacewingwinch/entry-hosts';
import type {EventLog} from '@lacewingwinch/observability';

import {askPeer} from './ask_peer.js';

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

/** Holders of a quota that are asked for one request, at most. */
const ASKED_HOLDERS = 4;

/** Milliseconds after which to come back while no holder answers. */
const HOLDERS_AWAY_MILLISECONDS = 1000;

/** Whether a request may use its workspace's quota. */
export type QuotaVerdict =
  | {readonly kind: 'taken'; readonly giveBack: () => void}
  | {readonly kind: 'used-up'; readonly waitMilliseconds: number};

/** What the exchange needs from others. */
export interface QuotaExchangeContext {
  readonly peers: PeerCaller;
  readonly events: EventLog;
  readonly clock: () => number;
  readonly random: RandomSource;
  readonly otherHosts: () => readonly Member[];
  readonly hostId: string;
  /** Steady milliseconds at which this process started. */
  readonly startedAt: number;
  /** Ids of the hosts that share limits, this one included. */
  readonly sharing: () => readonly string[];
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
   * Takes `amount` from the part of this host, or of hosts that hold one. A
   * holder whose part is used up asks the other holders.
   */
  async take(
    workspace: string,
    quota: WorkspaceQuota,
    amount: number,
  ): Promise<QuotaVerdict> {
    const holders = this.holdersOf(workspace);
    if (!holders.includes(this.context.hostId)) {
      return this.takeFromHolders(workspace, amount, holders);
    }
    const wait = await this.takeAsHolder(workspace, quota, amount, holders);
    return wait > 0
      ? {kind: 'used-up', waitMilliseconds: wait}
      : {kind: 'taken', giveBack: () => this.giveBack(workspace, amount)};
  }

  /** Takes `amount` for another host, if this one holds a part. */
  takeForOther(
    workspace: string,
    quota: WorkspaceQuota | undefined,
    amount: number,
  ): QuotaAnswer {
    const holders = this.holdersOf(workspace);
    if (quota === undefined || !holders.includes(this.context.hostId)) {
      return {kind: 'not-held'};
    }
    const wait = this.takeHere(workspace, quota, amount, holders);
    return wait > 0
      ? {kind: 'used-up', waitMilliseconds: wait}
      : {kind: 'taken'};
  }

  private holdersOf(workspace: string): readonly string[] {
    return quotaHolders(workspace, this.context.sharing());
  }

  private async takeAsHolder(
    workspace: string,
    quota: WorkspaceQuota,
    amount: number,
    holders: readonly string[],
  ): Promise<number> {
    const wait = this.takeHere(workspace, quota, amount, holders);
    const now = this.context.clock();
    if (wait === 0 || now < (this.askAgainAt.get(workspace) ?? 0)) {
      return wait;
    }
    const missing = amount - Math.max(0, this.share.levelOf(workspace));
    const given = await this.askOthers(
      workspace,
      missing * ASK_FACTOR,
      holders,
    );
    this.share.receive(workspace, given);
    const waitAfter = this.takeHere(workspace, quota, amount, holders);
    if (waitAfter > 0) {
      this.askAgainAt.set(
        workspace,
        this.context.clock() + ASK_PAUSE_MILLISECONDS,
      );
    }
    return waitAfter;
  }

  /** Asks holders one after the other until one of them has enough. */
  private async takeFromHolders(
    workspace: string,
    amount: number,
    holders: readonly string[],
  ): Promise<QuotaVerdict> {
    const {peers, random} = this.context;
    const waits: number[] = [];
    for (const member of shuffle(this.reachable(holders), random).slice(
      0,
      ASKED_HOLDERS,
    )) {
      const address = member.addresses.peers;
      const answer = await askPeer(
        this.context,
        member,
        'quota.take',
        {workspace, amount},
        ASK_TIMEOUT_MILLISECONDS,
      );
      switch (answer?.kind) {
        case 'taken':
          return {
            kind: 'taken',
            giveBack: () =>
              peers.notify(address, 'quota.return', {workspace, amount}),
          };
        case 'used-up':
          waits.push(answer.waitMilliseconds);
          break;
        case 'not-held':
        case undefined:
          // What a silent holder took is lost there; the next one is asked.
          break;
      }
    }
    const waitMilliseconds =
      waits.length === 0 ? HOLDERS_AWAY_MILLISECONDS : Math.min(...waits);
    return {kind: 'used-up', waitMilliseconds};
  }

  private reachable(holders: readonly string[]): readonly Member[] {
    const ids = new Set(holders);
    return this.context.otherHosts().filter(({hostId}) => ids.has(hostId));
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
    const holders = this.holdersOf(workspace);
    if (quota === undefined || !holders.includes(this.context.hostId)) {
      return 0;
    }
    const parts = this.partsOf(holders);
    const now = this.context.clock();
    return this.share.give(workspace, quota, amount, parts, now);
  }

  private takeHere(
    workspace: string,
    quota: WorkspaceQuota,
    amount: number,
    holders: readonly string[],
  ): number {
    return this.share.take(
      workspace,
      quota,
      amount,
      this.partsOf(holders),
      this.context.clock(),
    );
  }

  /** Parts of a quota: a process that just started does not know them all. */
  private partsOf(holders: readonly string[]): number {
    const {startedAt, clock} = this.context;
    return sharingHosts(holders.length, clock() - startedAt);
  }

  private async askOthers(
    workspace: string,
    amount: number,
    holders: readonly string[],
  ): Promise<number> {
    const asked = shuffle(this.reachable(holders), this.context.random).slice(
      0,
      ASKED_HOSTS,
    );
    // A host that does not answer gives nothing; what it destroyed is lost.
    const gifts = await Promise.all(
      asked.map(member =>
        askPeer(
          this.context,
          member,
          'quota.ask',
          {workspace, amount: amount / ASKED_HOSTS},
          ASK_TIMEOUT_MILLISECONDS,
        ),
      ),
    );
    return gifts.reduce((sum, gift) => sum + (gift?.given ?? 0), 0);
  }
}
