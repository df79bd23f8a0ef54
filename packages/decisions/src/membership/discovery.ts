/**
 * The order in which clients use the entry hosts, and the choice of the host
 * that backs up a request.
 */
import {rendezvousOrder} from '../util/rendezvous_hash.js';
import type {Member} from './member.js';

/** Seconds for which a client may cache the list. */
export const DISCOVERY_MAXIMUM_AGE_SECONDS = 10;

/** Largest number of entry hosts in an answer. */
export const DISCOVERY_MAXIMUM_HOSTS = 16;

/** An entry host, as reported to clients. */
export interface DiscoveredHost {
  readonly hostId: string;
  readonly address: string;
  readonly failureDomain: string;
}

/**
 * Returns the serving hosts in order of preference. The order differs between
 * clients, so that they spread over the hosts. Consecutive hosts are in
 * different failure domains where possible.
 */
export function discoverHosts(
  serving: readonly Member[],
  client: string,
): readonly DiscoveredHost[] {
  const membersById = new Map(serving.map(member => [member.hostId, member]));
  const order = rendezvousOrder(`caller/${client}`, [...membersById.keys()]);
  const members = order.flatMap(hostId => membersById.get(hostId) ?? []);
  return spreadOverDomains(members)
    .slice(0, DISCOVERY_MAXIMUM_HOSTS)
    .map(({hostId, addresses, failureDomain}) => ({
      hostId,
      address: addresses.callers,
      failureDomain,
    }));
}

/** Share of the fleet above which hosts that are cut off are named as well. */
const MAXIMUM_OMITTED_SHARE = 0.5;

/**
 * Returns the hosts that are named to clients: those that reach upstreams over
 * their own links, unless too few do so.
 */
export function withoutCutOff(
  serving: readonly Member[],
  isCutOff: (member: Member) => boolean,
): readonly Member[] {
  const sound = serving.filter(member => !isCutOff(member));
  const omitted = serving.length - sound.length;
  return omitted < serving.length * MAXIMUM_OMITTED_SHARE ? sound : serving;
}

/**
 * Returns the host that keeps the backup copy of `requestId`. It is in another
 * failure domain than `front`; undefined if there is no such host.
 */
export function chooseBackup(
  requestId: string,
  front: Member,
  serving: readonly Member[],
): Member | undefined {
  const otherDomainMembers = serving.filter(
    ({failureDomain}) => failureDomain !== front.failureDomain,
  );
  const membersById = new Map(
    otherDomainMembers.map(member => [member.hostId, member]),
  );
  const [backupId] = rendezvousOrder(
    `backup/${requestId}`,
    [...membersById.keys()],
    1,
  );
  return backupId === undefined ? undefined : membersById.get(backupId);
}

function spreadOverDomains(members: readonly Member[]): readonly Member[] {
  const membersByDomain = new Map<string, Member[]>();
  for (const member of members) {
    const queue = membersByDomain.get(member.failureDomain) ?? [];
    queue.push(member);
    membersByDomain.set(member.failureDomain, queue);
  }
  const spread: Member[] = [];
  while (spread.length < members.length) {
    for (const queue of membersByDomain.values()) {
      const next = queue.shift();
      if (next !== undefined) {
        spread.push(next);
      }
    }
  }
  return spread;
}
