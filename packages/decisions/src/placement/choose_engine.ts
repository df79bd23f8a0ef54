/**
 * Where a request runs. Answers the load of many requests that share long
 * prompt parts: requests with the same shared part meet at the same engine,
 * which has read the part before, unless waiting there costs more than reading
 * the part again elsewhere.
 */
import type {UsableUpstream} from '../upstreams/upstream_list.js';
import {rendezvousOrder} from '../util/rendezvous_hash.js';

/** A part of a prompt. */
export interface PromptPart {
  readonly partId: string;
  readonly tokens: number;
}

/** What placement looks at in a request. */
export interface PlacementDemand {
  readonly attemptId: string;
  readonly parts: readonly PromptPart[];
  /** Tokens of the prompt; 0 for a plain service. */
  readonly promptTokens: number;
  /** 0 is the most urgent; engines read the prompts of urgent requests first. */
  readonly priority: number;
}

/** Work under way at an upstream, as far as it is known here. */
export interface PlacementLoad {
  /** Requests in progress. */
  readonly running: number;
  /**
   * Prompt tokens not yet read of requests that have not produced anything, by
   * the priority of the requests.
   */
  readonly waitingTokens: ReadonlyMap<number, number>;
}

/** What this host knows for a choice. */
export interface PlacementView {
  loadOf(upstreamId: string): PlacementLoad;
  /** Prompt tokens a millisecond that the upstream reads. */
  prefillSpeedOf(upstreamId: string): number;
  /** Tokens at the start of the prompt that the upstream has read before. */
  cachedTokens(upstreamId: string, parts: readonly PromptPart[]): number;
}

/** What is expected of a request at an upstream. */
export interface PlacementEstimate {
  /** Prompt tokens that the upstream reads before the first token. */
  readonly tokensToRead: number;
  /** Whether the upstream is busy with other requests before this one. */
  readonly mustWait: boolean;
  /** Milliseconds until its first token, as estimated. */
  readonly estimateMilliseconds: number;
  readonly cachedTokens: number;
}

/** A chosen upstream and why. */
export interface Choice extends PlacementEstimate {
  readonly upstream: UsableUpstream;
}

/**
 * Milliseconds that a running request adds to the first token of the next one:
 * a decoding step gets slower with each request in its batch.
 */
const MILLISECONDS_OF_RUNNING = 2;

/**
 * Milliseconds by which an upstream in another failure domain is behind one in
 * this host's: the link's round trip, and bytes between domains are paid for.
 */
const OTHER_DOMAIN_MILLISECONDS = 6;

/**
 * Milliseconds of preference for each rank of the rendezvous order. It decides
 * between upstreams that are otherwise alike, the same way at every host.
 */
const RANK_MILLISECONDS = 4;

/** Ranks of the order that count; the rest are alike. */
const RANKS = 4;

/** The upstream of `candidates` with the least estimate. */
export function chooseEngine(
  demand: PlacementDemand,
  candidates: readonly UsableUpstream[],
  ownDomain: string,
  view: PlacementView,
): Choice | undefined {
  const order = rendezvousOrder(
    affinityKey(demand),
    candidates.map(({upstreamId}) => upstreamId),
    RANKS,
  );
  let best: {readonly choice: Choice; readonly cost: number} | undefined;
  for (const upstream of candidates) {
    const rank = order.indexOf(upstream.upstreamId);
    const choice = estimateAt(upstream, rank === 0, demand, view);
    const distance =
      upstream.failureDomain === ownDomain ? 0 : OTHER_DOMAIN_MILLISECONDS;
    const preference = (rank < 0 ? RANKS : rank) * RANK_MILLISECONDS;
    const cost = choice.estimateMilliseconds + distance + preference;
    if (best === undefined || cost < best.cost) {
      best = {choice, cost};
    }
  }
  return best?.choice;
}

/** The deepest part that other requests share: the last one is the request's own. */
export function affinityKey(demand: PlacementDemand): string {
  const shared = demand.parts.at(-2) ?? demand.parts[0];
  return shared === undefined ? demand.attemptId : shared.partId;
}

function estimateAt(
  upstream: UsableUpstream,
  isPrimary: boolean,
  demand: PlacementDemand,
  view: PlacementView,
): Choice {
  const {upstreamId, slots} = upstream;
  const load = view.loadOf(upstreamId);
  const seen = view.cachedTokens(upstreamId, demand.parts);
  const cachedTokens = isPrimary
    ? Math.max(seen, sharedTokens(demand.parts))
    : seen;
  const speed = view.prefillSpeedOf(upstreamId);
  const tokensBefore = tokensAhead(load, demand.priority);
  const tokens = tokensBefore + Math.max(0, demand.promptTokens - cachedTokens);
  const excess = Math.max(0, load.running + 1 - slots);
  const estimateMilliseconds =
    tokens / speed +
    load.running * MILLISECONDS_OF_RUNNING +
    excess * EXCESS_MILLISECONDS +
    upstream.coldMilliseconds;
  return {
    upstream,
    estimateMilliseconds,
    cachedTokens,
    tokensToRead: tokens,
    mustWait: tokensBefore > 0 || excess > 0,
  };
}

/**
 * Share of the prompts of less urgent requests that is read before an urgent
 * one: an engine finishes the chunk it reads, and its batch goes on.
 */
const LESS_URGENT_SHARE = 0.3;

function tokensAhead(load: PlacementLoad, priority: number): number {
  let tokens = 0;
  for (const [other, waiting] of load.waitingTokens) {
    tokens += other <= priority ? waiting : waiting * LESS_URGENT_SHARE;
  }
  return tokens;
}

/** Milliseconds that each request beyond the slots waits for a slot. */
const EXCESS_MILLISECONDS = 100;

function sharedTokens(parts: readonly PromptPart[]): number {
  return parts.slice(0, -1).reduce((sum, {tokens}) => sum + tokens, 0);
}
