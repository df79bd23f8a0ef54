/**
 * The choice of an upstream for one call.
 */
import type {PermitAsk, Upstream} from './dispatch_messages.js';

/** An upstream with what the dispatcher knows of its load. */
export interface Candidate {
  readonly upstream: Upstream;
  /** Calls in progress, counted by the dispatcher. */
  readonly inFlight: number;
  /** Calls that it runs at once. */
  readonly concurrency: number;
  /** Leading prefix blocks of the call that it probably holds. */
  readonly prefixHits: number;
}

/**
 * Weight of a whole prompt found in the prefix cache, against the price of
 * the dearest candidate.
 */
const PREFIX_WEIGHT = 1.5;

/** Weight of a full upstream, against the price of the dearest candidate. */
const LOAD_WEIGHT = 0.4;

/** Weight of the failure domain least preferred by the rule. */
const DOMAIN_WEIGHT = 0.5;

/** Weight of waking an upstream that runs nothing. */
const IDLE_WEIGHT = 0.3;

/** Whether the rule and the state of the upstream let it take the call. */
export function isAllowed(ask: PermitAsk, upstream: Upstream): boolean {
  return (
    !upstream.isLeaving &&
    ask.hostClasses.includes(upstream.hostClass) &&
    (ask.failureDomains.length === 0 ||
      ask.failureDomains.includes(upstream.failureDomain)) &&
    !ask.excluded.includes(upstream.id)
  );
}

/** The candidate with the lowest cost for the call; ties go to the lower id. */
export function chooseUpstream(
  ask: PermitAsk,
  candidates: readonly Candidate[],
): Candidate | undefined {
  const dearest = Math.max(
    ...candidates.map(({upstream}) => upstream.pricePerHour),
    Number.MIN_VALUE,
  );
  let best: Candidate | undefined;
  let lowest = Infinity;
  for (const candidate of candidates) {
    const cost = costOf(ask, candidate, dearest);
    const isBetter =
      cost < lowest ||
      (cost === lowest &&
        best !== undefined &&
        candidate.upstream.id < best.upstream.id);
    if (isBetter) {
      best = candidate;
      lowest = cost;
    }
  }
  return best;
}

function costOf(ask: PermitAsk, candidate: Candidate, dearest: number): number {
  const {upstream, inFlight, concurrency, prefixHits} = candidate;
  const price = upstream.pricePerHour / dearest;
  const missing =
    ask.prefixes.length === 0 ? 0 : 1 - prefixHits / ask.prefixes.length;
  const load = inFlight / concurrency;
  const idle = inFlight === 0 ? IDLE_WEIGHT : 0;
  return (
    price +
    PREFIX_WEIGHT * missing +
    LOAD_WEIGHT * load +
    DOMAIN_WEIGHT * domainRank(ask, upstream) +
    idle
  );
}

function domainRank(ask: PermitAsk, upstream: Upstream): number {
  if (ask.failureDomains.length < 2) {
    return 0;
  }
  const index = ask.failureDomains.indexOf(upstream.failureDomain);
  return index / (ask.failureDomains.length - 1);
}
