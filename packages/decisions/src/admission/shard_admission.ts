/**
 * The admission of requests to one shard, at its dispatcher or at a host that
 * places requests itself because the dispatcher does not answer. It answers
 * bursts of every kind, of one kind or of one workspace, and the loss of
 * engines during a burst.
 */
import type {
  EngineChoice,
  PlacementDemand,
} from '../placement/choose_engine.js';
import type {
  AdmissionRefusal,
  AdmissionTerms,
  AdmissionVerdict,
} from './admission_terms.js';
import {expectedStart, reasonToRefuse} from './decide_ranked_admission.js';
import {RankArrivals} from './rank_arrivals.js';
import {RefusalFloor} from './refusal_floor.js';

/** Shortest delay after which a client is told to retry, before jitter. */
const MINIMUM_RETRY_AFTER_MILLISECONDS = 200;

/** A request that is to be placed in the shard. */
export interface AdmissionRequest {
  readonly demand: PlacementDemand;
  readonly terms: AdmissionTerms;
}

/** The shard, as the host that places the request knows it. */
export interface AdmittingShard {
  /** Engines of the shard, or this host's part of them. */
  readonly engineCount: number;
  /** Returns the prompt tokens that an engine reads per millisecond. */
  readonly speedOf: (upstreamId: string) => number;
  /**
   * Chooses an engine, and counts the request there if `isAdmitted` returns
   * true for it.
   */
  readonly place: (
    demand: PlacementDemand,
    isAdmitted: (choice: EngineChoice) => boolean,
  ) => EngineChoice | undefined;
}

/** The choice of an engine for an admitted request. */
export interface AdmittedChoice {
  readonly kind: 'chosen';
  readonly choice: EngineChoice;
  /** Rank at the engine; absent if it is that of the request. */
  readonly promotedRank?: number;
}

/** Admits or refuses the requests of one shard. */
export class ShardAdmission {
  private readonly arrivals = new RankArrivals();
  private readonly floor = new RefusalFloor();

  /**
   * Places a request, or refuses it; returns undefined if there is no engine.
   * `jitter`, from 0 to 1, spreads the retries of requests that are refused at
   * the same time.
   */
  place(
    request: AdmissionRequest,
    shard: AdmittingShard,
    jitter: number,
    now: number,
  ): AdmissionRefusal | AdmittedChoice | undefined {
    const {demand} = request;
    const verdicts: AdmissionVerdict[] = [];
    const choice = shard.place(demand, best => {
      const verdict = this.decide(request, best, shard, jitter, now);
      verdicts.push(verdict);
      return verdict.kind === 'admitted';
    });
    if (choice !== undefined) {
      return {kind: 'chosen', choice};
    }
    const [verdict] = verdicts;
    switch (verdict?.kind) {
      case undefined:
      case 'admitted':
        return undefined;
      case 'promoted': {
        const {rank} = verdict;
        const promoted = shard.place({...demand, priority: rank}, () => true);
        return promoted === undefined
          ? undefined
          : {kind: 'chosen', choice: promoted, promotedRank: rank};
      }
      case 'refused':
        return verdict;
    }
  }

  private decide(
    {demand, terms}: AdmissionRequest,
    best: EngineChoice,
    {engineCount, speedOf}: AdmittingShard,
    jitter: number,
    now: number,
  ): AdmissionVerdict {
    const rank = demand.priority;
    const {objectiveMilliseconds} = terms;
    const ownTokens = Math.max(0, demand.promptTokens - best.cachedTokens);
    const workMilliseconds = ownTokens / speedOf(best.upstream.upstreamId);
    if (terms.isOverflow !== true) {
      this.arrivals.record(
        {rank, workMilliseconds, objectiveMilliseconds},
        now,
      );
    }
    const load = {
      ...this.arrivals.pressureOn(rank, engineCount, now),
      readMilliseconds: workMilliseconds,
    };
    const reason = reasonToRefuse(best, terms, load);
    if (reason === undefined) {
      return {kind: 'admitted'};
    }
    const requestClass = {rank, workspace: terms.workspace, ...demand};
    if (
      reason !== 'deadline' &&
      this.floor.admitsNext(requestClass, workMilliseconds, engineCount, now)
    ) {
      return {kind: 'promoted', rank: this.arrivals.mostUrgentRank(now)};
    }
    const start = expectedStart(best, load);
    const excess = start.startMilliseconds - objectiveMilliseconds;
    return {
      kind: 'refused',
      reason,
      retryAfterMilliseconds:
        Math.max(excess, MINIMUM_RETRY_AFTER_MILLISECONDS) * (0.5 + jitter),
      ...start,
      knowledgeAgeMilliseconds: best.knowledgeAgeMilliseconds ?? -1,
      totalShare: load.totalShare,
    };
  }
}
