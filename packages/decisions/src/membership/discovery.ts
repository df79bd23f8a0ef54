/**
 * The order in which callers are told to use the entry hosts.
 */
import {rendezvousOrder} from '../util/rendezvous_hash.js';
import type {Member} from './member.js';

/** Seconds for which a caller may keep the list. */
export const DISCOVERY_MAXIMUM_AGE_SECONDS = 10;

/** Entry hosts in one answer, at most. */
export const DISCOVERY_MAXIMUM_HOSTS = 16;

/** An entry host, as callers are told. */
export interface DiscoveredHost {
  readonly hostId: string;
  readonly address: string;
  readonly failureDomain: string;
}

/**
 * Serving hosts in order of preference: each caller gets an order of its own,
 * so that callers spread over the hosts, and neighbours in the order are of
 * different failure domains where possible.
 */
export function discoverHosts(
  serving: readonly Member[],
  caller: string,
): readonly DiscoveredHost[] {
  const byId = new Map(serving.map(member => [member.hostId, member]));
  const order = rendezvousOrder(`caller/${caller}`, [...byId.keys()]);
  const members = order.flatMap(hostId => byId.get(hostId) ?? []);
  return spreadOverDomains(members)
    .slice(0, DISCOVERY_MAXIMUM_HOSTS)
    .map(({hostId, addresses, failureDomain}) => ({
      hostId,
      address: addresses.callers,
      failureDomain,
    }));
}

/**
 * The host that keeps the backup copy of `requestId`: of another failure
 * domain than `front`, if there is one.
 */
export function chooseBackup(
  requestId: string,
  front: Member,
  serving: readonly Member[],
): Member | undefined {
  const elsewhere = serving.filter(
    ({failureDomain}) => failureDomain !== front.failureDomain,
  );
  const byId = new Map(elsewhere.map(member => [member.hostId, member]));
  const [first] = rendezvousOrder(`backup/${requestId}`, [...byId.keys()], 1);
  return first === undefined ? undefined : byId.get(first);
}

function spreadOverDomains(members: readonly Member[]): readonly Member[] {
  const queues = new Map<string, Member[]>();
  for (const member of members) {
    const queue = queues.get(member.failureDomain) ?? [];
    queue.push(member);
    queues.set(member.failureDomain, queue);
  }
  const spread: Member[] = [];
  while (spread.length < members.length) {
    for (const queue of queues.values()) {
      const next = queue.shift();
      if (next !== undefined) {
        spread.push(next);
      }
    }
  }
  return spread;
}
