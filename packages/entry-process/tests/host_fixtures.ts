/** Fixtures of entry hosts for tests. */
import type {Member} from '@lacewingwinch/decisions';

/** Returns a serving host whose peer address is its id. */
export function servingMember(hostId: string): Member {
  return {
    hostId,
    failureDomain: 'north',
    addresses: {callers: '', peers: hostId, operators: ''},
    incarnation: 1,
    status: 'serving',
  };
}
