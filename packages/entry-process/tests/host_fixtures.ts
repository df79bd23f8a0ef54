/** Hosts as tests of tasks need them. */
import type {Member} from '@lacewingwinch/decisions';

/** A serving host that peers reach at its id. */
export function servingMember(hostId: string): Member {
  return {
    hostId,
    failureDomain: 'north',
    addresses: {callers: '', peers: hostId, operators: ''},
    incarnation: 1,
    status: 'serving',
  };
}
