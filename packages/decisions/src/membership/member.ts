/**
 * The member records that entry hosts exchange by gossip.
 */

/** Status of an entry host. */
export type MemberStatus =
  'gone' | 'joining' | 'leaving' | 'serving' | 'suspected';

/** Addresses of an entry host, such as `127.0.0.1:8000`. */
export interface MemberAddresses {
  readonly callers: string;
  readonly peers: string;
  readonly operators: string;
  /** Absent for a host that carries no attempts of other hosts. */
  readonly relay?: string;
}

/** An entry host, as another host knows it. */
export interface Member {
  readonly hostId: string;
  readonly failureDomain: string;
  readonly addresses: MemberAddresses;
  /** What the host can carry, in cores; absent if its settings do not state it. */
  readonly capacity?: number;
  /** Whether the host is short of processor time; absent if it is not. */
  readonly isBusy?: boolean;
  /**
   * Whether the host writes the histories of software versions into the store;
   * absent for one of a build that does not.
   */
  readonly keepsVersionHistories?: boolean;
  /** Increased by the host itself each time it announces its status. */
  readonly incarnation: number;
  readonly status: MemberStatus;
}

/**
 * Returns whether `update` replaces `existing`: it has a higher incarnation, or
 * the same incarnation and a more severe status. A host that is leaving or gone
 * therefore never returns to serving within the same incarnation.
 */
export function supersedes(update: Member, existing: Member): boolean {
  if (update.incarnation !== existing.incarnation) {
    return update.incarnation > existing.incarnation;
  }
  return severity(update.status) > severity(existing.status);
}

function severity(status: MemberStatus): number {
  switch (status) {
    case 'joining':
      return 0;
    case 'serving':
      return 1;
    case 'suspected':
      return 2;
    case 'leaving':
      return 3;
    case 'gone':
      return 4;
  }
}
