/**
 * The choice of an upstream for one call.
 */
import type {PermitRequest, Upstream} from './dispatch_messages.js';

/** An upstream that can take a call, with its load and prefix cache hits. */
export interface Candidate {
  readonly upstream: Upstream;
  /** Number of calls in progress, as counted by the dispatcher. */
  readonly inFlight: number;
  /** Number of calls that the upstream runs concurrently. */
  readonly concurrency: number;
  /** Number of leading prefix blocks that are probably in its cache. */
  readonly prefixHits: number;
}

/**
 * Cost of a prompt of which no prefix is cached, relative to the price of the
 * most expensive candidate.
 */
const PREFIX_WEIGHT = 1.5;

/** Cost of a full upstream, relative to the highest price of a candidate. */
const LOAD_WEIGHT = 0.4;

/** Cost of the failure domain that the rule prefers least. */
const FAILURE_DOMAIN_WEIGHT = 0.5;

/** Cost of sending a call to an upstream that is running nothing. */
const IDLE_UPSTREAM_WEIGHT = 0.3;

/** Returns whether `upstream` is allowed for the request and not leaving. */
export function isAllowed(request: PermitRequest, upstream: Upstream): boolean {
  return (
    !upstream.isLeaving &&
    request.hostClasses.includes(upstream.hostClass) &&
    (request.failureDomains.length === 0 ||
      request.failureDomains.includes(upstream.failureDomain)) &&
    !request.excluded.includes(upstream.id)
  );
}

/** Returns the candidate with the lowest cost; ties go to the lower ID. */
export function chooseUpstream(
  request: PermitRequest,
  candidates: readonly Candidate[],
): Candidate | undefined {
  const highestPrice = Math.max(
    ...candidates.map(({upstream}) => upstream.pricePerHour),
    Number.MIN_VALUE,
  );
  let best: Candidate | undefined;
  let lowestCost = Infinity;
  for (const candidate of candidates) {
    const cost = costOf(request, candidate, highestPrice);
    const isBetter =
      cost < lowestCost ||
      (cost === lowestCost &&
        best !== undefined &&
        candidate.upstream.id < best.upstream.id);
    if (isBetter) {
      best = candidate;
      lowestCost = cost;
    }
  }
  return best;
}

function costOf(
  request: PermitRequest,
  candidate: Candidate,
  highestPrice: number,
): number {
  const {upstream, inFlight, concurrency, prefixHits} = candidate;
  const relativePrice = upstream.pricePerHour / highestPrice;
  const uncachedShare =
    request.prefixes.length === 0
      ? 0
      : 1 - prefixHits / request.prefixes.length;
  const load = inFlight / concurrency;
  const idleCost = inFlight === 0 ? IDLE_UPSTREAM_WEIGHT : 0;
  return (
    relativePrice +
    PREFIX_WEIGHT * uncachedShare +
    LOAD_WEIGHT * load +
    FAILURE_DOMAIN_WEIGHT * domainRank(request, upstream) +
    idleCost
  );
}

function domainRank(request: PermitRequest, upstream: Upstream): number {
  if (request.failureDomains.length < 2) {
    return 0;
  }
  const rank = request.failureDomains.indexOf(upstream.failureDomain);
  return rank / (request.failureDomains.length - 1);
}
