/**
 * The admission of requests to one shard, at its dispatcher or at a host that
 * places requests itself because the dispatcher does not answer. It answers
 * bursts of every kind, of one kind or of one workspace, the loss of engines
 * during a burst, and clients that return after a refusal.
 */
import type {
  EngineChoice,
  PlacementDemand,
} from '../placement/choose_engine.js';
import type {
  AdmissionRefusal,
  AdmissionRefusalReason,
  AdmissionTerms,
} from './admission_terms.js';
import {
  expectedStart,
  isDeadlineUnreachable,
  type MetLoad,
  reasonToRefuse,
} from './decide_ranked_admission.js';
import {RankArrivals} from './rank_arrivals.js';
import {RefusalFloor} from './refusal_floor.js';
import {
  type KnownReturn,
  NEW_REQUEST,
  type PlaceCapacity,
  type Returned,
  type ReturnKind,
  ReturnPlaces,
  type ReturnTime,
} from './return_places.js';
import {WorkspaceShares} from './workspace_shares.js';

/** Shortest delay after which a client is told to retry, before jitter. */
const MINIMUM_RETRY_AFTER_MILLISECONDS = 200;

/**
 * Share of the capacity that is promised to refused requests where none is left
 * over, so that they are not refused for as long as the load lasts.
 */
const MINIMUM_SHARE_OF_PLACES = 0.02;

/** Least share of the capacity that the workspaces of a rank divide. */
const MINIMUM_SHARE_OF_RANK = 0.1;

/** A request that is to be placed in the shard. */
export interface AdmissionRequest {
  readonly demand: PlacementDemand;
  readonly terms: AdmissionTerms;
}

/** The shard, as the host that places the request knows it. */
export interface AdmittingShard {
  /**
   * Prompt tokens that the engines of the shard, or this host's part of them,
   * read per millisecond.
   */
  readonly tokensPerMillisecond: number;
  /** Whether returning clients reach this host whichever front they call. */
  readonly keepsPlaces: boolean;
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
  /** How the request relates to an earlier refusal; absent if it is new. */
  readonly returned?: KnownReturn;
}

/** What is known of a request at the best engine for it. */
interface Assessment {
  readonly best: EngineChoice;
  /** Prompt tokens that the engine has to read. */
  readonly tokens: number;
  readonly load: MetLoad;
  readonly returned: ReturnKind;
  /** Undefined if the request is admitted. */
  readonly reason: AdmissionRefusalReason | undefined;
}

/** Admits or refuses the requests of one shard. */
export class ShardAdmission {
  private readonly arrivals = new RankArrivals();
  private readonly floor = new RefusalFloor();
  private readonly returns = new ReturnPlaces();
  private readonly sharesByRank = new Map<number, WorkspaceShares>();

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
    const assessments: Assessment[] = [];
    const choice = shard.place(request.demand, best => {
      const assessment = this.assess(request, best, shard, now);
      assessments.push(assessment);
      return assessment.reason === undefined;
    });
    const [assessment] = assessments;
    if (assessment === undefined) {
      return undefined;
    }
    const {returned, reason} = assessment;
    if (choice !== undefined) {
      this.recordAdmitted(request, assessment, now);
      return {kind: 'chosen', choice, ...returnedField(returned)};
    }
    if (reason === undefined) {
      return undefined;
    }
    return (
      this.promote(request, assessment, reason, shard, now) ??
      this.refuse(request, assessment, reason, shard, jitter, now)
    );
  }

  private assess(
    {demand, terms}: AdmissionRequest,
    best: EngineChoice,
    shard: AdmittingShard,
    now: number,
  ): Assessment {
    const rank = demand.priority;
    const {fingerprint, workspace, objectiveMilliseconds} = terms;
    const returned =
      fingerprint === undefined
        ? NEW_REQUEST
        : this.returns.find(fingerprint, now);
    const tokens = Math.max(0, demand.promptTokens - best.cachedTokens);
    const shares = this.sharesOf(rank);
    // A request that returns was counted when it was refused.
    if (terms.isOverflow !== true && returned.kind === 'new') {
      this.arrivals.record({rank, tokens, objectiveMilliseconds}, now);
      shares.recordOffered(workspace, terms.workspaceWeight, tokens, now);
    }
    const load = this.loadOn(rank, workspace, best, tokens, shard, now);
    return {
      best,
      tokens,
      load,
      returned: returned.kind,
      reason:
        returned.kind === 'at-place'
          ? reasonToRefuseAtPlace(best, terms, load)
          : reasonToRefuse(best, afterWait(terms, returned), load),
    };
  }

  private loadOn(
    rank: number,
    workspace: string,
    best: EngineChoice,
    tokens: number,
    {tokensPerMillisecond, speedOf}: AdmittingShard,
    now: number,
  ): MetLoad {
    const pressure = this.arrivals.pressureOn(rank, tokensPerMillisecond, now);
    const {mustWait, estimateMilliseconds, upstream} = best;
    const capacityOfRank =
      tokensPerMillisecond *
      Math.max(MINIMUM_SHARE_OF_RANK, 1 - pressure.urgentShare);
    return {
      ...pressure,
      readMilliseconds: tokens / speedOf(upstream.upstreamId),
      reservedMilliseconds: mustWait
        ? this.returns.reservedTokens(rank, now + estimateMilliseconds, now) /
          tokensPerMillisecond
        : 0,
      usedShare: mustWait
        ? this.sharesOf(rank).usedShareOf(workspace, capacityOfRank, now)
        : 0,
    };
  }

  /** Admits a request as one of the most urgent ones, if it is due for that. */
  private promote(
    {demand, terms}: AdmissionRequest,
    assessment: Assessment,
    reason: AdmissionRefusalReason,
    shard: AdmittingShard,
    now: number,
  ): AdmittedChoice | undefined {
    const {returned} = assessment;
    if (!this.isPromoted({demand, terms}, assessment, reason, shard, now)) {
      return undefined;
    }
    const promotedRank = this.arrivals.mostUrgentRank(now);
    const choice = shard.place(
      {...demand, priority: promotedRank},
      candidate => !isDeadlineUnreachable(candidate, terms),
    );
    if (choice === undefined) {
      return undefined;
    }
    this.recordAdmitted({demand, terms}, assessment, now);
    return {kind: 'chosen', choice, promotedRank, ...returnedField(returned)};
  }

  private isPromoted(
    {demand, terms}: AdmissionRequest,
    {returned, tokens}: Assessment,
    reason: AdmissionRefusalReason,
    {tokensPerMillisecond}: AdmittingShard,
    now: number,
  ): boolean {
    if (returned === 'at-place') {
      return true;
    }
    switch (reason) {
      case 'deadline':
      case 'share':
        return false;
      case 'held-back':
      case 'late':
        return (
          returned === 'new' &&
          this.floor.admitsNext(
            {rank: demand.priority, workspace: terms.workspace, ...demand},
            tokens,
            tokensPerMillisecond,
            now,
          )
        );
    }
  }

  private recordAdmitted(
    {demand, terms: {fingerprint, workspace}}: AdmissionRequest,
    {tokens}: Assessment,
    now: number,
  ): void {
    this.sharesOf(demand.priority).recordAdmitted(workspace, tokens, now);
    if (fingerprint !== undefined) {
      this.returns.release(fingerprint);
    }
  }

  private refuse(
    request: AdmissionRequest,
    assessment: Assessment,
    reason: AdmissionRefusalReason,
    shard: AdmittingShard,
    jitter: number,
    now: number,
  ): AdmissionRefusal {
    const {best, load, returned} = assessment;
    const start = expectedStart(best, load);
    const excess =
      start.startMilliseconds - request.terms.objectiveMilliseconds;
    const spread =
      Math.max(excess, MINIMUM_RETRY_AFTER_MILLISECONDS) * (0.5 + jitter);
    const time = this.returnTimeOf(request, assessment, shard, spread, now);
    return {
      kind: 'refused',
      reason,
      retryAfterMilliseconds: time.milliseconds,
      isPlace: time.isPlace,
      returned,
      ...start,
      knowledgeAgeMilliseconds: best.knowledgeAgeMilliseconds ?? -1,
      totalShare: load.totalShare,
    };
  }

  /** Returns when the client may return: at a place, or after `spread`. */
  private returnTimeOf(
    {demand, terms}: AdmissionRequest,
    {load, tokens}: Assessment,
    {keepsPlaces, tokensPerMillisecond}: AdmittingShard,
    spread: number,
    now: number,
  ): ReturnTime {
    const {fingerprint, millisecondsLeft, hasAnotherShard} = terms;
    if (fingerprint === undefined || !keepsPlaces) {
      return {milliseconds: spread, isPlace: false};
    }
    const rank = demand.priority;
    const shareLeft = 1 - load.totalShare;
    const isLeft = shareLeft > MINIMUM_SHARE_OF_PLACES;
    const share = isLeft ? shareLeft : MINIMUM_SHARE_OF_PLACES;
    const capacity: PlaceCapacity = {
      lane: isLeft ? rank : 'all',
      tokensPerMillisecond: share * tokensPerMillisecond,
    };
    return this.returns.refuse(
      {fingerprint, rank, tokens, millisecondsLeft},
      hasAnotherShard === true ? undefined : capacity,
      spread,
      now,
    );
  }

  private sharesOf(rank: number): WorkspaceShares {
    const existing = this.sharesByRank.get(rank);
    if (existing !== undefined) {
      return existing;
    }
    const created = new WorkspaceShares();
    this.sharesByRank.set(rank, created);
    return created;
  }
}

/** A promised place is void only if the client would leave before its start. */
function reasonToRefuseAtPlace(
  best: EngineChoice,
  terms: AdmissionTerms,
  load: MetLoad,
): AdmissionRefusalReason | undefined {
  return isDeadlineUnreachable(best, terms, {...load, reservedMilliseconds: 0})
    ? 'deadline'
    : undefined;
}

/** Returns the terms of a client that has waited since an earlier refusal. */
function afterWait(
  terms: AdmissionTerms,
  {waitedMilliseconds}: Returned,
): AdmissionTerms {
  const objectiveMilliseconds = Math.max(
    0,
    terms.objectiveMilliseconds - waitedMilliseconds,
  );
  return {...terms, objectiveMilliseconds};
}

function returnedField(returned: ReturnKind): Pick<AdmittedChoice, 'returned'> {
  return returned === 'new' ? {} : {returned};
}
