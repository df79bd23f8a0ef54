/**
 * What entry hosts tell one another about each other.
 */

/** Status of an entry host. */
export type MemberStatus =
  'gone' | 'joining' | 'leaving' | 'serving' | 'suspected';

/** Addresses of an entry host, as `127.0.0.1:8000`. */
export interface MemberAddresses {
  readonly callers: string;
  readonly peers: string;
  readonly operators: string;
}

/** One entry host, as another host knows it. */
export interface Member {
  readonly hostId: string;
  readonly failureDomain: string;
  readonly addresses: MemberAddresses;
  /** Raised by the host itself each time it states its status. */
  readonly incarnation: number;
  readonly status: MemberStatus;
}

/**
 * Whether `next` replaces `known`. A higher incarnation does; at the same one
 * the graver status does. A host that left or is gone stays so for that
 * incarnation.
 */
export function supersedes(next: Member, known: Member): boolean {
  if (next.incarnation !== known.incarnation) {
    return next.incarnation > known.incarnation;
  }
  return gravity(next.status) > gravity(known.status);
}

function gravity(status: MemberStatus): number {
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
