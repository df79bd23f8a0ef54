/**
 * This host's parts of the quotas, and the exchange of quota with other hosts.
 */
import {
  countSharingHosts,
  type ExplainedQuota,
  type Member,
  quotaHolders,
  QuotaShare,
  type RandomSource,
  RESTARTED_SHARE,
  shuffle,
  SMALL_FLEET_MAXIMUM_HOSTS,
  UsedUpQuotas,
  type WorkspaceQuota,
} from '@lacewingwinch/decisions';
import type {PeerClient, QuotaAnswer} from '@lacewingwinch/entry-hosts';
import type {EventLog} from '@lacewingwinch/observability';

import {callPeer} from '../../util/call_peer.js';

/** Maximum number of other holders that are called for a transfer of quota. */
const MAXIMUM_TRANSFER_PEERS = 2;

/**
 * Milliseconds to wait for another host's response. Links take a few
 * milliseconds, and a small host that has just started answers slowly.
 */
const PEER_TIMEOUT_MILLISECONDS = 150;

/**
 * Milliseconds for which no transfer is requested for a workspace after one
 * that did not yield enough.
 */
const TRANSFER_BACKOFF_MILLISECONDS = 400;

/**
 * Factor by which a transfer request exceeds the need, so that the next request
 * can be served without one.
 */
const TRANSFER_FACTOR = 2;

/** Maximum number of holders of a quota that are tried for one request. */
const MAXIMUM_HOLDERS_TRIED = 4;

/**
 * Number of holders whose refusal is final: holders give each other what they
 * have left, so that the others have hardly more.
 */
const REFUSALS_OF_HOLDERS = 2;

/** Retry delay in milliseconds for a client while no holder responds. */
const UNREACHABLE_HOLDERS_RETRY_MILLISECONDS = 1000;

/**
 * Milliseconds for which a holder that did not respond is called after the
 * others.
 */
const HOLDER_BACKOFF_MILLISECONDS = 500;

/** Whether a request may use the quota of its workspace. */
export type QuotaVerdict =
  | {readonly kind: 'taken'; readonly giveBack: () => void}
  | {readonly kind: 'used-up'; readonly waitMilliseconds: number};

/** Dependencies of `QuotaExchange`. */
export interface QuotaExchangeDependencies {
  readonly peers: PeerClient;
  readonly events: EventLog;
  readonly clock: () => number;
  readonly random: RandomSource;
  readonly otherHosts: () => readonly Member[];
  readonly hostId: string;
  /** Steady clock reading in milliseconds at the start of this process. */
  readonly startedAt: number;
  /** Returns the ids of the hosts that share limits, including this one. */
  readonly sharingHostIds: () => readonly string[];
  /** Returns those of them that may hold quotas in a large fleet. */
  readonly holderCandidates: () => readonly string[];
  /** Amount that all hosts together may take beyond a quota in one window. */
  readonly slack: number;
  /** Whether no process of the system has run before. */
  readonly isFirstStart: boolean;
}

/** Takes amounts from the quotas of workspaces. */
export class QuotaExchange {
  private readonly share: QuotaShare;
  /** By rank; undefined for requests without one. */
  private readonly usedUp = new Map<number | undefined, UsedUpQuotas>();
  private readonly backoffUntil = new Map<string, number>();
  /** Times until which holders are called after the others, by host. */
  private readonly holderBackoffUntil = new Map<string, number>();

  constructor(private readonly dependencies: QuotaExchangeDependencies) {
    this.share = new QuotaShare(
      dependencies.slack,
      dependencies.isFirstStart ? 1 : RESTARTED_SHARE,
    );
  }

  /**
   * Takes `amount` from the part of this host or, if it holds none, from a host
   * that does. A holder whose part is used up requests transfers from the other
   * holders. Requests with a rank leave what more urgent ones were refused.
   */
  async take(
    workspace: string,
    quota: WorkspaceQuota,
    amount: number,
    rank?: number,
  ): Promise<QuotaVerdict> {
    const holders = this.holdersOf(workspace);
    if (!holders.includes(this.dependencies.hostId)) {
      return this.takeFromHolders(workspace, amount, holders, rank);
    }
    const waitMilliseconds = await this.takeAsHolder(
      workspace,
      quota,
      amount,
      holders,
      rank,
    );
    return waitMilliseconds > 0
      ? {kind: 'used-up', waitMilliseconds}
      : {kind: 'taken', giveBack: () => this.giveBack(workspace, amount)};
  }

  /** Returns what this host knows of a quota; takes and requests nothing. */
  peek(
    workspace: string,
    quota: WorkspaceQuota,
    amount: number,
    rank?: number,
  ): ExplainedQuota {
    const {hostId, clock} = this.dependencies;
    const holders = this.holdersOf(workspace);
    const otherHolders = holders.filter(holder => holder !== hostId);
    const {unit} = quota;
    const now = clock();
    if (!holders.includes(hostId)) {
      const usedUp = this.usedUp.get(rank);
      const wait = usedUp?.peekWaitFor(workspace, amount, now) ?? 0;
      return {kind: 'held-elsewhere', unit, amount, otherHolders, wait};
    }
    const parts = this.partCountOf(holders);
    return {
      kind: 'held',
      unit,
      amount,
      otherHolders,
      ...this.share.outlook(workspace, quota, amount, parts, now, rank),
    };
  }

  /** Takes `amount` on behalf of another host, if this host holds a part. */
  takeForPeer(
    workspace: string,
    quota: WorkspaceQuota | undefined,
    amount: number,
    rank?: number,
  ): QuotaAnswer {
    const holders = this.holdersOf(workspace);
    if (quota === undefined || !holders.includes(this.dependencies.hostId)) {
      return {kind: 'not-held'};
    }
    const waitMilliseconds = this.takeLocally(
      workspace,
      quota,
      amount,
      holders,
      rank,
    );
    return waitMilliseconds > 0
      ? {kind: 'used-up', waitMilliseconds}
      : {kind: 'taken'};
  }

  private holdersOf(workspace: string): readonly string[] {
    const {sharingHostIds, holderCandidates} = this.dependencies;
    return quotaHolders(workspace, sharingHostIds(), holderCandidates());
  }

  private async takeAsHolder(
    workspace: string,
    quota: WorkspaceQuota,
    amount: number,
    holders: readonly string[],
    rank: number | undefined,
  ): Promise<number> {
    const waitMilliseconds = this.takeLocally(
      workspace,
      quota,
      amount,
      holders,
      rank,
    );
    const now = this.dependencies.clock();
    const missingAmount = amount - Math.max(0, this.share.levelOf(workspace));
    if (
      waitMilliseconds === 0 ||
      missingAmount <= 0 ||
      now < (this.backoffUntil.get(workspace) ?? 0)
    ) {
      return waitMilliseconds;
    }
    const received = await this.requestTransfers(
      workspace,
      missingAmount * TRANSFER_FACTOR,
      holders,
    );
    this.share.receive(workspace, received);
    const waitAfterTransfer = this.takeLocally(
      workspace,
      quota,
      amount,
      holders,
      rank,
    );
    if (waitAfterTransfer > 0) {
      this.backoffUntil.set(
        workspace,
        this.dependencies.clock() + TRANSFER_BACKOFF_MILLISECONDS,
      );
    }
    return waitAfterTransfer;
  }

  /** Tries one holder after another until one of them has enough. */
  private async takeFromHolders(
    workspace: string,
    amount: number,
    holders: readonly string[],
    rank: number | undefined,
  ): Promise<QuotaVerdict> {
    const {peers, clock} = this.dependencies;
    // What is held back for one rank is not used up for a more urgent one.
    const usedUp = this.usedUpFor(rank);
    const knownWait = usedUp.waitFor(workspace, amount, clock());
    if (knownWait > 0) {
      return {kind: 'used-up', waitMilliseconds: knownWait};
    }
    const waits: number[] = [];
    for (const member of this.holdersToTry(holders)) {
      const address = member.addresses.peers;
      const answer = await callPeer(
        this.dependencies,
        member,
        'quota.take',
        {workspace, amount, ...(rank !== undefined && {rank})},
        PEER_TIMEOUT_MILLISECONDS,
      );
      switch (answer?.kind) {
        case 'taken':
          return {
            kind: 'taken',
            giveBack: () => {
              usedUp.forget(workspace);
              peers.notify(address, 'quota.return', {workspace, amount});
            },
          };
        case 'used-up':
          waits.push(answer.waitMilliseconds);
          break;
        case 'not-held':
          break;
        case undefined:
          // An amount taken by a holder that does not respond is lost; the next
          // holder is tried.
          this.backOff(member);
      }
      if (waits.length >= REFUSALS_OF_HOLDERS) {
        break;
      }
    }
    if (waits.length === 0) {
      return {
        kind: 'used-up',
        waitMilliseconds: UNREACHABLE_HOLDERS_RETRY_MILLISECONDS,
      };
    }
    const waitMilliseconds = Math.min(...waits);
    usedUp.record(workspace, amount, waitMilliseconds, clock());
    return {kind: 'used-up', waitMilliseconds};
  }

  /** Returns the holders to try, those that did not respond lately last. */
  private holdersToTry(holders: readonly string[]): readonly Member[] {
    const {random, clock} = this.dependencies;
    const now = clock();
    const isBackedOff = ({hostId}: Member): boolean =>
      now < (this.holderBackoffUntil.get(hostId) ?? -Infinity);
    const shuffled = shuffle(this.reachableHolders(holders), random);
    return [
      ...shuffled.filter(member => !isBackedOff(member)),
      ...shuffled.filter(isBackedOff),
    ].slice(0, MAXIMUM_HOLDERS_TRIED);
  }

  private backOff({hostId}: Member): void {
    const until = this.dependencies.clock() + HOLDER_BACKOFF_MILLISECONDS;
    this.holderBackoffUntil.set(hostId, until);
  }

  private reachableHolders(holders: readonly string[]): readonly Member[] {
    const ids = new Set(holders);
    return this.dependencies.otherHosts().filter(({hostId}) => ids.has(hostId));
  }

  /** Puts back the amount that was taken for a request that did not run. */
  giveBack(workspace: string, amount: number): void {
    this.share.giveBack(workspace, amount);
  }

  /** Transfers a part of this host's remaining quota to another host. */
  give(
    workspace: string,
    quota: WorkspaceQuota | undefined,
    amount: number,
  ): number {
    const holders = this.holdersOf(workspace);
    if (quota === undefined || !holders.includes(this.dependencies.hostId)) {
      return 0;
    }
    const partCount = this.partCountOf(holders);
    const now = this.dependencies.clock();
    return this.share.give(workspace, quota, amount, partCount, now);
  }

  private usedUpFor(rank: number | undefined): UsedUpQuotas {
    const existing = this.usedUp.get(rank);
    if (existing !== undefined) {
      return existing;
    }
    const created = new UsedUpQuotas();
    this.usedUp.set(rank, created);
    return created;
  }

  private takeLocally(
    workspace: string,
    quota: WorkspaceQuota,
    amount: number,
    holders: readonly string[],
    rank: number | undefined,
  ): number {
    return this.share.take(
      workspace,
      quota,
      amount,
      this.partCountOf(holders),
      this.dependencies.clock(),
      rank,
    );
  }

  /**
   * Returns the number of parts of a quota; a process that has just started
   * does not know all hosts yet. In a large fleet, the number of holders does not
   * depend on the number of hosts.
   */
  private partCountOf(holders: readonly string[]): number {
    const {startedAt, clock, sharingHostIds} = this.dependencies;
    return sharingHostIds().length > SMALL_FLEET_MAXIMUM_HOSTS
      ? holders.length
      : countSharingHosts(holders.length, clock() - startedAt);
  }

  private async requestTransfers(
    workspace: string,
    amount: number,
    holders: readonly string[],
  ): Promise<number> {
    const chosen = shuffle(
      this.reachableHolders(holders),
      this.dependencies.random,
    ).slice(0, MAXIMUM_TRANSFER_PEERS);
    // A host that does not respond transfers nothing; an amount that it has
    // already deducted is lost.
    const transfers = await Promise.all(
      chosen.map(member =>
        callPeer(
          this.dependencies,
          member,
          'quota.request',
          {workspace, amount: amount / MAXIMUM_TRANSFER_PEERS},
          PEER_TIMEOUT_MILLISECONDS,
        ),
      ),
    );
    return transfers.reduce((sum, transfer) => sum + (transfer?.given ?? 0), 0);
  }
}
