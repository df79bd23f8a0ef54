/**
 * The admission of requests to one shard, at its dispatcher or at a host that
 * places requests itself because the dispatcher does not answer. It answers
 * bursts of every kind, of one kind or of one workspace, the loss of engines
 * during a burst, and clients that return after a refusal.
 */
import type {EngineChoice} from '../placement/choose_engine.js';
import {
  type AdmissionAssessment,
  type AdmissionDecision,
  type AdmissionRequest,
  type AdmittedChoice,
  type AdmittingShard,
  afterWait,
  classOf,
  isDisplacedBy,
  reasonToRefuseAtPlace,
  rememberedRefusal,
  returnedField,
} from './admission_decision.js';
import type {
  AdmissionRefusal,
  AdmissionRefusalReason,
} from './admission_terms.js';
import {
  expectedStart,
  isDeadlineUnreachable,
  reasonToRefuse,
} from './decide_ranked_admission.js';
import {RankArrivals} from './rank_arrivals.js';
import {RefusalFloor} from './refusal_floor.js';
import {NEW_REQUEST, ReturnPlaces, type ReturnTime} from './return_places.js';
import {type WorkspaceOffer, WorkspaceShares} from './workspace_shares.js';

/** Shortest delay after which a client may retry, before jitter. */
const MINIMUM_RETRY_AFTER_MILLISECONDS = 200;

/** Least share of the capacity that the workspaces of a rank divide. */
const MINIMUM_SHARE_OF_RANK = 0.1;

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
    const decision = this.decide(request, shard, jitter, now);
    if (decision !== undefined) {
      this.record(request, decision, shard, now);
    }
    return decision?.result;
  }

  /**
   * Returns what `place` would return, and records nothing. The choice of an
   * engine by `shard` must not count the request either.
   */
  explain(
    request: AdmissionRequest,
    shard: AdmittingShard,
    jitter: number,
    now: number,
  ): AdmissionRefusal | AdmittedChoice | undefined {
    return this.decide(request, shard, jitter, now)?.result;
  }

  private decide(
    request: AdmissionRequest,
    shard: AdmittingShard,
    jitter: number,
    now: number,
  ): AdmissionDecision | undefined {
    const assessments: AdmissionAssessment[] = [];
    const choice = shard.place(request.demand, best => {
      const assessed = this.assess(request, best, shard, now);
      assessments.push(assessed);
      return assessed.reason === undefined;
    });
    const [assessment] = assessments;
    if (assessment === undefined) {
      return undefined;
    }
    const {returned, reason} = assessment;
    if (choice !== undefined) {
      const result = {
        kind: 'chosen',
        choice,
        ...returnedField(returned),
      } as const;
      return {result, assessment, isDisplaced: false};
    }
    if (reason === undefined) {
      return {result: undefined, assessment, isDisplaced: false};
    }
    const isDisplaced = isDisplacedBy(reason, returned);
    const promoted = this.promote(request, assessment, isDisplaced, shard, now);
    return promoted === undefined
      ? {
          ...this.refuse(request, assessment, reason, shard, jitter, now),
          assessment,
          isDisplaced,
        }
      : {result: promoted, assessment, isDisplaced};
  }

  /** Counts a request as `decide` has decided on it. */
  private record(
    request: AdmissionRequest,
    {result, assessment, isDisplaced, remembered}: AdmissionDecision,
    {tokensPerMillisecond}: AdmittingShard,
    now: number,
  ): void {
    const {demand, terms} = request;
    const {tokens, isArrival, shareLevel} = assessment;
    const {objectiveMilliseconds, workspace, workspaceWeight} = terms;
    const rank = demand.priority;
    const shares = this.createdSharesOf(rank);
    if (isArrival) {
      this.arrivals.record({rank, tokens, objectiveMilliseconds}, now);
      shares.recordOffered(workspace, workspaceWeight, tokens, now);
    }
    if (shareLevel !== undefined) {
      shares.keepLevel(shareLevel);
    }
    if (isDisplaced) {
      const requestClass = classOf(request);
      this.floor.admitsNext(requestClass, tokens, tokensPerMillisecond, now);
    }
    if (result?.kind === 'chosen') {
      this.recordAdmitted(request, assessment, now);
    }
    if (remembered !== undefined) {
      const {capacity, otherwise} = remembered;
      this.returns.refuse(remembered.request, capacity, otherwise, now);
    }
  }

  private assess(
    {demand, terms}: AdmissionRequest,
    best: EngineChoice,
    shard: AdmittingShard,
    now: number,
  ): AdmissionAssessment {
    const {fingerprint, workspace, workspaceWeight} = terms;
    const returned =
      fingerprint === undefined
        ? NEW_REQUEST
        : this.returns.find(fingerprint, now);
    const tokens = Math.max(0, demand.promptTokens - best.cachedTokens);
    // A request that returns was counted when it was refused.
    const isArrival = terms.isOverflow !== true && returned.kind === 'new';
    const offer = {workspace, weight: workspaceWeight, tokens};
    const {load, shareLevel} = this.loadOn(
      demand.priority,
      offer,
      isArrival,
      best,
      shard,
      now,
    );
    return {
      best,
      tokens,
      isArrival,
      load,
      shareLevel,
      returned: returned.kind,
      reason:
        returned.kind === 'at-place'
          ? reasonToRefuseAtPlace(best, terms, load)
          : reasonToRefuse(best, afterWait(terms, returned), load),
    };
  }

  private loadOn(
    rank: number,
    offer: WorkspaceOffer,
    isArrival: boolean,
    {mustWait, estimateMilliseconds, upstream}: EngineChoice,
    {tokensPerMillisecond, speedOf}: AdmittingShard,
    now: number,
  ): Pick<AdmissionAssessment, 'load' | 'shareLevel'> {
    const {tokens, workspace} = offer;
    const pressure = this.arrivals.pressureOn(
      rank,
      tokensPerMillisecond,
      now,
      isArrival ? tokens : 0,
    );
    const load = {
      ...pressure,
      readMilliseconds: tokens / speedOf(upstream.upstreamId),
      reservedMilliseconds: 0,
      usedShare: 0,
    };
    if (!mustWait) {
      return {load, shareLevel: undefined};
    }
    const until = now + estimateMilliseconds;
    const reservedTokens = this.returns.reservedTokens(rank, until, now);
    const capacityOfRank =
      tokensPerMillisecond *
      Math.max(MINIMUM_SHARE_OF_RANK, 1 - pressure.urgentShare);
    const {usedShare, level} = this.sharesOf(rank).assess(
      workspace,
      capacityOfRank,
      now,
      isArrival ? offer : undefined,
    );
    return {
      load: {
        ...load,
        reservedMilliseconds: reservedTokens / tokensPerMillisecond,
        usedShare,
      },
      shareLevel: level,
    };
  }

  /** Places a request as one of the most urgent ones, if it is due for that. */
  private promote(
    request: AdmissionRequest,
    {returned, tokens, isArrival}: AdmissionAssessment,
    isDisplaced: boolean,
    shard: AdmittingShard,
    now: number,
  ): AdmittedChoice | undefined {
    const {demand, terms} = request;
    const {tokensPerMillisecond} = shard;
    const isPromoted =
      returned === 'at-place' ||
      (isDisplaced &&
        this.floor.wouldAdmit(
          classOf(request),
          tokens,
          tokensPerMillisecond,
          now,
        ));
    if (!isPromoted) {
      return undefined;
    }
    const promotedRank = this.arrivals.mostUrgentRank(
      now,
      isArrival ? demand.priority : undefined,
    );
    const choice = shard.place(
      {...demand, priority: promotedRank},
      candidate => !isDeadlineUnreachable(candidate, terms),
    );
    return choice === undefined
      ? undefined
      : {kind: 'chosen', choice, promotedRank, ...returnedField(returned)};
  }

  private recordAdmitted(
    {demand, terms: {fingerprint, workspace}}: AdmissionRequest,
    {tokens}: AdmissionAssessment,
    now: number,
  ): void {
    const shares = this.createdSharesOf(demand.priority);
    shares.recordAdmitted(workspace, tokens, now);
    if (fingerprint !== undefined) {
      this.returns.release(fingerprint);
    }
  }

  private refuse(
    request: AdmissionRequest,
    assessment: AdmissionAssessment,
    reason: AdmissionRefusalReason,
    shard: AdmittingShard,
    jitter: number,
    now: number,
  ): Pick<AdmissionDecision, 'remembered' | 'result'> {
    const {best, load, returned} = assessment;
    const start = expectedStart(best, load);
    const excess =
      start.startMilliseconds - request.terms.objectiveMilliseconds;
    const spread =
      Math.max(excess, MINIMUM_RETRY_AFTER_MILLISECONDS) * (0.5 + jitter);
    const remembered = rememberedRefusal(request, assessment, shard, spread);
    const time: ReturnTime =
      remembered === undefined
        ? {milliseconds: spread, isPlace: false}
        : this.returns.timeOf(
            remembered.request,
            remembered.capacity,
            spread,
            now,
          );
    return {
      result: {
        kind: 'refused',
        reason,
        retryAfterMilliseconds: time.milliseconds,
        isPlace: time.isPlace,
        returned,
        ...start,
        knowledgeAgeMilliseconds: best.knowledgeAgeMilliseconds ?? -1,
        totalShare: load.totalShare,
      },
      remembered,
    };
  }

  private sharesOf(rank: number): WorkspaceShares {
    return this.sharesByRank.get(rank) ?? new WorkspaceShares();
  }

  private createdSharesOf(rank: number): WorkspaceShares {
    const shares = this.sharesOf(rank);
    this.sharesByRank.set(rank, shares);
    return shares;
  }
}
