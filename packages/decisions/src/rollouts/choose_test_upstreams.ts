/**
 * The engines of a new version that get its share of the requests during the
 * test. They are so few that each of them has at least the load that it will
 * have when all traffic has moved, so that a version which is bad under load
 * shows it before.
 */
import type {UsableUpstream} from '../upstreams/listed_upstream.js';
import {rendezvousOrder} from '../util/rendezvous_hash.js';

/** The later load of an engine is exceeded by this factor during the test. */
const LOAD_FACTOR = 1.2;

/** Fewest engines among which one that is bad by itself is recognized. */
const MINIMUM_UPSTREAMS = 3;

/**
 * Returns the ids of the engines for a test with `share` of the requests, spread
 * over the failure domains. Those in `previous` are kept while they are usable.
 */
export function chooseTestUpstreams(
  upstreams: readonly UsableUpstream[],
  share: number,
  orderId: string,
  previous: readonly string[],
): readonly string[] {
  const count = Math.max(
    MINIMUM_UPSTREAMS,
    Math.floor((share * upstreams.length) / LOAD_FACTOR),
  );
  const usableIds = new Set(upstreams.map(({upstreamId}) => upstreamId));
  const kept = previous.filter(id => usableIds.has(id));
  const added = spreadOverDomains(upstreams, orderId).filter(
    id => !kept.includes(id),
  );
  return [...kept, ...added].slice(0, count);
}

/** Returns all ids such that the first ones are in different domains. */
function spreadOverDomains(
  upstreams: readonly UsableUpstream[],
  orderId: string,
): readonly string[] {
  const byDomain = new Map<string, string[]>();
  const domainOf = new Map(
    upstreams.map(({upstreamId, failureDomain}) => [upstreamId, failureDomain]),
  );
  for (const upstreamId of rendezvousOrder(orderId, [...domainOf.keys()])) {
    const domain = domainOf.get(upstreamId) ?? '';
    byDomain.set(domain, [...(byDomain.get(domain) ?? []), upstreamId]);
  }
  const domains = [...byDomain.values()];
  return upstreams.flatMap((_, round) =>
    domains.flatMap(ids => ids.slice(round, round + 1)),
  );
}
