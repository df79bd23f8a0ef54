/**
 * The other entry hosts, as the tasks of a process need to know them.
 */
import {
  countSharingHosts,
  type Member,
  storeReaders,
  strongHosts,
} from '@lacewingwinch/decisions';

import type {MembershipTask} from '../../tasks/membership_task.js';

/** What this process knows of the fleet. */
export class FleetView {
  /** The strong hosts among the serving ones, as last computed. */
  private strongServing:
    | {readonly of: readonly Member[]; readonly strong: readonly Member[]}
    | undefined;

  constructor(
    private readonly hostId: string,
    private readonly membership: MembershipTask,
    /** Steady clock reading at the start of the process, in milliseconds. */
    private readonly startedAt: number,
  ) {}

  /** Returns the serving hosts, including this one if it serves. */
  servingHosts(): readonly Member[] {
    return this.membership.serving();
  }

  /** Returns the ids of the serving hosts. */
  servingIds(): readonly string[] {
    return this.servingHosts().map(({hostId}) => hostId);
  }

  /** Returns the other serving hosts. */
  otherServingHosts(): readonly Member[] {
    return this.membership
      .serving()
      .filter(({hostId}) => hostId !== this.hostId);
  }

  /** Returns the number of failure domains with serving hosts. */
  domainCount(): number {
    return new Set(
      this.membership.serving().map(({failureDomain}) => failureDomain),
    ).size;
  }

  /** Returns those of the hosts `hostIds` that are known, without this one. */
  othersOf(hostIds: readonly string[]): readonly Member[] {
    return hostIds.flatMap(hostId =>
      hostId === this.hostId ? [] : (this.membership.find(hostId) ?? []),
    );
  }

  /**
   * Returns the serving hosts that work for others: they dispatch shards, read the
   * store and hold the duties.
   */
  strongServingHosts(): readonly Member[] {
    const serving = this.membership.serving();
    if (this.strongServing?.of !== serving) {
      this.strongServing = {of: serving, strong: strongHosts(serving)};
    }
    return this.strongServing.strong;
  }

  /** Returns the ids of these hosts. */
  strongServingIds(): readonly string[] {
    return this.strongServingHosts().map(({hostId}) => hostId);
  }

  /** Returns the ids of the hosts that hold quotas in a large fleet. */
  quotaHolderCandidates(): readonly string[] {
    return strongHosts(this.membership.sharingHosts()).map(
      ({hostId}) => hostId,
    );
  }

  /**
   * Returns whether all hosts that serve, or did until lately, write the histories of
   * software versions.
   */
  areVersionHistoriesKept(): boolean {
    return this.membership
      .sharingHosts()
      .every(({keepsVersionHistories}) => keepsVersionHistories === true);
  }

  /** Returns the ids of the hosts that read the store. */
  storeReaders(): readonly string[] {
    return storeReaders(this.servingIds(), this.strongServingIds());
  }

  /** Returns whether this host reads the store itself. */
  isStoreReader(): boolean {
    return this.storeReaders().includes(this.hostId);
  }

  /** Returns the number of entry hosts that share limits at `now`. */
  sharingHostCount(now: number): number {
    const knownCount = this.membership.sharingHostIds().length;
    return countSharingHosts(knownCount, now - this.startedAt);
  }
}
