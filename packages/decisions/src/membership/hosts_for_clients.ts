/**
 * The hosts to which clients are told to connect. A client selects one of them
 * at random for each connection, so that each host gets the same share.
 */
import type {Member} from './member.js';
import {strongHosts} from './strong_hosts.js';

/**
 * Returns at most `maximumHosts` of the hosts that serve, those in the client's
 * failure domain first.
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
  const isNear = ({failureDomain}: Member): boolean =>
    failureDomain === clientDomain;
  return [
    ...strong.filter(isNear),
    ...strong.filter(member => !isNear(member)),
  ].slice(0, maximumHosts);
}
