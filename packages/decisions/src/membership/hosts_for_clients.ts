/**
 * The hosts that are named to clients. A client selects one of them
 * at random for each connection, so that each host gets the same share.
 */
import type {Member} from './member.js';
import {strongHosts} from './strong_hosts.js';

/** Share of busy hosts from which the spares are named as well. */
const MAXIMUM_BUSY_SHARE = 0.5;

/**
 * Returns at most `maximumHosts` of the hosts that serve: the strong ones, and
 * the others too while half of the strong ones are busy. Those in the client's
 * failure domain come first.
 */
export function selectHostsForClients(
  serving: readonly Member[],
  clientDomain: string,
  maximumHosts: number,
): readonly Member[] {
  const strong = strongHosts(serving);
  if (strong.length === serving.length) {
    return serving.slice(0, maximumHosts);
  }
  const busyCount = strong.filter(({isBusy}) => isBusy === true).length;
  const spares =
    busyCount >= strong.length * MAXIMUM_BUSY_SHARE
      ? serving.filter(member => !strong.includes(member))
      : [];
  const isNear = ({failureDomain}: Member): boolean =>
    failureDomain === clientDomain;
  return [strong, spares]
    .flatMap(hosts => [
      ...hosts.filter(isNear),
      ...hosts.filter(member => !isNear(member)),
    ])
    .slice(0, maximumHosts);
}
