/**
 * The other entry hosts, as the tasks of a process need to know them.
 */
import {
  countSharingHosts,
  type Member,
  storeReaders,
} from '@lacewingwinch/decisions';

import type {MembershipTask} from '../../tasks/membership_task.js';

/** What this process knows of the fleet. */
export class FleetView {
  constructor(
    private readonly hostId: string,
    private readonly membership: MembershipTask,
    /** Steady clock reading at the start of the process, in milliseconds. */
    private readonly startedAt: number,
  ) {}

  /** Returns the ids of the serving hosts, including this one if it serves. */
  servingIds(): readonly string[] {
    return this.membership.serving().map(({hostId}) => hostId);
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

  /** Returns whether this host reads the store itself. */
  isStoreReader(): boolean {
    return storeReaders(this.servingIds()).includes(this.hostId);
  }

  /** Returns the number of entry hosts that share limits at `now`. */
  sharingHostCount(now: number): number {
    const knownCount = this.membership.sharingHostIds().length;
    return countSharingHosts(knownCount, now - this.startedAt);
  }
}
