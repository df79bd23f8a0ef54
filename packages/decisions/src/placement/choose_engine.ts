/**
 * The choice of the upstream that runs a request. Many requests share long
 * prompt parts. Those with the same shared part are sent to the same engine,
 * which has the part in its cache, unless waiting for that engine costs more
 * than reading the part again at another one.
 */
import type {UsableUpstream} from '../upstreams/listed_upstream.js';
import {rendezvousOrder} from '../util/rendezvous_hash.js';
import type {VersionConstraint} from './version_constraint.js';

/** A part of a prompt. */
export interface PromptPart {
  readonly partId: string;
  readonly tokens: number;
}

/** The properties of a request on which placement depends. */
export interface PlacementDemand {
  readonly attemptId: string;
  readonly parts: readonly PromptPart[];
  /** Tokens of the prompt; 0 for a service without prompts. */
  readonly promptTokens: number;
  /** 0 is the most urgent; engines read the most urgent prompts first. */
  readonly priority: number;
  /** Software versions that may run the request; absent if all may. */
  readonly versions?: VersionConstraint;
}

/** Work in progress at an upstream, as far as this host knows. */
export interface PlacementLoad {
  /** Requests in progress. */
  readonly running: number;
  /**
   * Prompt tokens that the upstream has still to read for requests without any
   * output yet, by the priority of the requests.
   */
  readonly waitingTokens: ReadonlyMap<number, number>;
}

/** The state of the upstreams, as this host knows it. */
export interface PlacementView {
  loadOf(upstreamId: string): PlacementLoad;
  /** Returns the prompt tokens that the upstream reads per millisecond. */
  prefillSpeedOf(upstreamId: string): number;
  /** Returns the tokens of the longest cached prefix of `parts`. */
  cachedTokens(upstreamId: string, parts: readonly PromptPart[]): number;
  /** Returns the milliseconds until the upstream may get another request. */
  grantWaitOf(upstream: UsableUpstream): number;
}

/** The expected start of a request at an upstream. */
export interface PlacementEstimate {
  /** Prompt tokens that the upstream reads before the first output token. */
  readonly tokensToRead: number;
  /** Whether other requests delay the start of this one. */
  readonly mustWait: boolean;
  /** Estimated milliseconds until the first output token. */
  readonly estimateMilliseconds: number;
  /**
   * Standard error of the estimate in milliseconds; absent where it is not
   * known.
   */
  readonly errorMilliseconds?: number;
  /** Age in milliseconds of the oldest load on which the estimate rests. */
  readonly knowledgeAgeMilliseconds?: number;
  /**
   * The estimate with the time that others wait longer for the request, by which
   * choices in several shards are compared; absent where it is not known.
   */
  readonly costMilliseconds?: number;
  /**
   * Whether reading all of the prompt at an idle engine would cost less; absent
   * where it is not known.
   */
  readonly isCheaperWhenIdle?: boolean;
  /** Prompt tokens that the upstream is expected to have in its cache. */
  readonly cachedTokens: number;
  /**
   * Milliseconds until a request may be sent to an upstream that has a limit;
   * absent for one without a limit.
   */
  readonly grantWaitMilliseconds?: number;
}

/** The chosen upstream and the estimate that led to the choice. */
export interface EngineChoice extends PlacementEstimate {
  readonly upstream: UsableUpstream;
}

/**
 * Milliseconds by which each running request delays the first token of the next
 * one. Each request in a batch makes the decoding steps slower.
 */
const MILLISECONDS_PER_RUNNING_REQUEST = 2;

/**
 * Milliseconds added to the cost of an upstream in another failure domain, for
 * the round trip of the link and because traffic between domains is charged.
 */
const OTHER_DOMAIN_PENALTY_MILLISECONDS = 6;

/**
 * Milliseconds added to the cost for each rank in the rendezvous order. Between
 * upstreams of equal cost, all hosts thereby choose the same one.
 */
const RANK_PENALTY_MILLISECONDS = 4;

/** Ranks that differ in cost; upstreams beyond them are treated alike. */
const COUNTED_RANKS = 4;

/** An upstream, and what a request there would cost. */
export interface CostedChoice {
  readonly choice: EngineChoice;
  /**
   * The estimated time to the first token plus the penalties for the failure
   * domain of the upstream and its rendezvous rank.
   */
  readonly cost: number;
}

/** Returns the candidate with the lowest cost. */
export function chooseEngine(
  demand: PlacementDemand,
  candidates: readonly UsableUpstream[],
  ownDomain: string,
  view: PlacementView,
): EngineChoice | undefined {
  return leastCost(costEngines(demand, candidates, ownDomain, view))?.choice;
}

/** Returns the choice with the lowest cost, the first one of several. */
export function leastCost(
  choices: readonly CostedChoice[],
): CostedChoice | undefined {
  let best: CostedChoice | undefined;
  for (const costed of choices) {
    if (best === undefined || costed.cost < best.cost) {
      best = costed;
    }
  }
  return best;
}

/** Returns the cost of a request at each of the candidates. */
export function costEngines(
  demand: PlacementDemand,
  candidates: readonly UsableUpstream[],
  ownDomain: string,
  view: PlacementView,
): readonly CostedChoice[] {
  const order = rendezvousOrder(
    affinityKey(demand),
    candidates.map(({upstreamId}) => upstreamId),
    COUNTED_RANKS,
  );
  return candidates.map(upstream => {
    const rank = order.indexOf(upstream.upstreamId);
    const choice = estimateAt(upstream, rank === 0, demand, view);
    const domainPenalty =
      upstream.failureDomain === ownDomain
        ? 0
        : OTHER_DOMAIN_PENALTY_MILLISECONDS;
    const rankPenalty =
      (rank < 0 ? COUNTED_RANKS : rank) * RANK_PENALTY_MILLISECONDS;
    const cost = choice.estimateMilliseconds + domainPenalty + rankPenalty;
    return {choice, cost};
  });
}

/**
 * Returns the ID of the last prompt part that other requests can share. The
 * final part of a prompt belongs to the request alone.
 */
export function affinityKey(demand: PlacementDemand): string {
  const sharedPart = demand.parts.at(-2) ?? demand.parts[0];
  return sharedPart === undefined ? demand.attemptId : sharedPart.partId;
}

function estimateAt(
  upstream: UsableUpstream,
  isPrimary: boolean,
  demand: PlacementDemand,
  view: PlacementView,
): EngineChoice {
  const {upstreamId, slots} = upstream;
  const load = view.loadOf(upstreamId);
  const rememberedTokens = view.cachedTokens(upstreamId, demand.parts);
  const cachedTokens = isPrimary
    ? Math.max(rememberedTokens, countSharedTokens(demand.parts))
    : rememberedTokens;
  const tokensPerMillisecond = view.prefillSpeedOf(upstreamId);
  const queuedTokens = tokensReadBefore(load, demand.priority);
  const tokensToRead =
    queuedTokens + Math.max(0, demand.promptTokens - cachedTokens);
  const excessRequests = Math.max(0, load.running + 1 - slots);
  const grantWait = view.grantWaitOf(upstream);
  const estimateMilliseconds =
    grantWait +
    tokensToRead / tokensPerMillisecond +
    load.running * MILLISECONDS_PER_RUNNING_REQUEST +
    excessRequests * MILLISECONDS_PER_EXCESS_REQUEST +
    upstream.coldMilliseconds;
  return {
    upstream,
    estimateMilliseconds,
    cachedTokens,
    tokensToRead,
    mustWait: queuedTokens > 0 || excessRequests > 0 || grantWait > 0,
  };
}

/**
 * Share of the prompts of less urgent requests that is read before an urgent
 * one, because the engine finishes its current chunk and continues its batch.
 */
const LESS_URGENT_SHARE = 0.3;

function tokensReadBefore(load: PlacementLoad, priority: number): number {
  let tokens = 0;
  for (const [otherPriority, waitingTokens] of load.waitingTokens) {
    tokens +=
      otherPriority <= priority
        ? waitingTokens
        : waitingTokens * LESS_URGENT_SHARE;
  }
  return tokens;
}

/** Estimated wait for a slot, for each request in excess of the slots. */
const MILLISECONDS_PER_EXCESS_REQUEST = 100;

function countSharedTokens(parts: readonly PromptPart[]): number {
  return parts.slice(0, -1).reduce((sum, {tokens}) => sum + tokens, 0);
}
