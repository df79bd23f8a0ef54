/**
 * Explains where this host would place a request now, by the decisions that
 * place it and without a change of what it knows.
 */
import {
  type AdmissionTerms,
  type AdmittedChoice,
  chooseWeighed,
  type DecidingHost,
  describeConsidered,
  describeExclusion,
  type EngineChoice,
  type ExcludedUpstream,
  type ExplainedResult,
  type KnownReturn,
  type PlacementDemand,
  type PlacementExplanation,
  satisfiesVersion,
  type ShardExplanation,
  type UpstreamList,
  type UsableUpstream,
  type WeighedEngines,
} from '@lacewingwinch/decisions';
import type {PlacementRequest} from '@lacewingwinch/entry-hosts';

import type {DispatcherCalls} from './dispatcher_calls.js';
import type {LimitedGrants, LimitedUpstreams} from './limited_upstreams.js';
import type {
  PlacementCandidates,
  PlacementCandidatesDependencies,
} from './placement_candidates.js';
import {MAXIMUM_SHARDS_TRIED} from './placement_result.js';
import type {ServiceTables} from './service_tables.js';
import type {ShardAdmissions} from './shard_admissions.js';
import {
  type CandidateChooser,
  chooseWithGrants,
  chooseWithoutGrants,
  type OwnChoice,
  ownPlacementRequest,
} from './shard_choice.js';
import {type ShardResult, ShardResults} from './shard_results.js';

/** Dependencies of `PlacementExplainer`. */
export interface PlacementExplainerDependencies extends Pick<
  PlacementCandidatesDependencies,
  'announcements' | 'clock' | 'fleetHealth' | 'health'
> {
  readonly upstreams: Pick<UpstreamList, 'all'>;
  readonly hostId: string;
  readonly failureDomain: string;
  readonly tables: ServiceTables;
  readonly candidates: PlacementCandidates;
  readonly dispatchers: DispatcherCalls;
  readonly limited: LimitedUpstreams;
  readonly admissions: ShardAdmissions;
}

/** The random numbers of an explanation, each from 0 to 1. */
export interface ExplainedDraws {
  /** Draws an upstream; undefined to take the one that is drawn most often. */
  readonly upstream: number | undefined;
  /** Spreads the time after which a refused client may return. */
  readonly jitter: number;
}

/** A request as it would be placed. */
export interface ExplainedPlacement {
  readonly kind: 'placed';
  readonly choice: EngineChoice;
  readonly promotedRank: number | undefined;
  readonly returned: KnownReturn | undefined;
}

/** An explanation, and the result on which further decisions rest. */
export interface ExplainedPlacing {
  readonly explanation: PlacementExplanation;
  readonly result: ShardResult<ExplainedPlacement>;
}

interface ExplainedShard {
  readonly explanation: ShardExplanation;
  readonly result: ShardResult<ExplainedPlacement>;
}

/** Explains placements. */
export class PlacementExplainer {
  /** The candidates, read without a change of the list of upstreams. */
  readonly candidates: PlacementCandidates;

  constructor(private readonly dependencies: PlacementExplainerDependencies) {
    this.candidates = dependencies.candidates.reading();
  }

  /**
   * Explains the placement of a request that was not sent yet. In a second shard,
   * it does not take into account what counting the request in the first one
   * would have changed.
   */
  explain(
    service: string,
    demand: PlacementDemand,
    terms: AdmissionTerms | undefined,
    draws: ExplainedDraws,
  ): ExplainedPlacing {
    const {tables} = this.dependencies;
    const shards = this.candidates
      .shardsFor(service, demand, shard => tables.peekWeightOf(service, shard))
      .slice(0, MAXIMUM_SHARDS_TRIED);
    const results = new ShardResults<ExplainedPlacement>();
    const explanations: ShardExplanation[] = [];
    for (const [index, {id}] of shards.entries()) {
      const isOverflow = index > 0;
      const hasAnotherShard = index + 1 < shards.length;
      const {explanation, result} = this.explainShard(
        service,
        id,
        demand,
        terms === undefined
          ? undefined
          : {...terms, isOverflow, hasAnotherShard},
        draws,
      );
      explanations.push(explanation);
      results.add(result);
      if (results.isSettled) {
        break;
      }
    }
    const {result} = results;
    return {
      explanation: {shards: explanations, result: describeResult(result)},
      result,
    };
  }

  private explainShard(
    service: string,
    shardId: string,
    demand: PlacementDemand,
    terms: AdmissionTerms | undefined,
    draws: ExplainedDraws,
  ): ExplainedShard {
    const {hostId, failureDomain, dispatchers, limited} = this.dependencies;
    const {candidates} = this;
    const tried = new Set<string>();
    const request = ownPlacementRequest(
      {service, shardId, hostId, failureDomain, demand, tried, terms},
      candidates,
    );
    const weighings: WeighedEngines[] = [];
    const choose: CandidateChooser = (asked, considered, grants) =>
      this.weigh(asked, considered, grants, draws, weighings);
    const grants = limited.grantsOf(dispatchers.peekDispatcherFor(shardId));
    const decidedBy = this.decidingHostOf(shardId);
    const withGrants = (): OwnChoice =>
      chooseWithGrants(request, tried, candidates, grants, choose);
    const choice =
      decidedBy.kind === 'dispatcher'
        ? withGrants()
        : (chooseWithoutGrants(request, tried, candidates, limited, choose) ??
          (dispatchers.isStandIn(shardId)
            ? withGrants()
            : ({kind: 'none'} as const)));
    const result = toResult(choice);
    const engines =
      weighings.find(weighed => weighed.engines.length > 0)?.engines ?? [];
    const considered = describeConsidered(engines);
    const consideredIds = new Set(considered.map(({upstreamId}) => upstreamId));
    return {
      explanation: {
        shardId,
        decidedBy,
        considered,
        excluded: this.excludedBeside(consideredIds, request, grants),
        result: describeResult(result),
      },
      result,
    };
  }

  private weigh(
    request: PlacementRequest,
    considered: readonly UsableUpstream[],
    grants: Parameters<CandidateChooser>[2],
    draws: ExplainedDraws,
    weighings: WeighedEngines[],
  ): ReturnType<CandidateChooser> {
    const {tables, dispatchers, admissions, clock} = this.dependencies;
    const {service, shardId, front, failureDomain} = request;
    const table = tables.peek(service);
    const now = clock();
    const knowledge = {
      dispatcherForMilliseconds: dispatchers.peekDispatcherFor(shardId),
    };
    return admissions.explain(
      request,
      {
        upstreamIds: considered.map(({upstreamId}) => upstreamId),
        speedOf: upstreamId => table.peekPrefillSpeedOf(upstreamId, now),
        place: (demand, isAdmitted) => {
          const weighed = table.weigh(
            {
              front,
              demand,
              candidates: considered,
              failureDomain,
              grants,
              isAdmitted,
              knowledge,
            },
            now,
          );
          weighings.push(weighed);
          const choice = chooseWeighed(weighed, draws.upstream);
          return choice !== undefined && isAdmitted(choice)
            ? choice
            : undefined;
        },
      },
      draws.jitter,
    );
  }

  private decidingHostOf(shardId: string): DecidingHost {
    const {dispatchers} = this.dependencies;
    if (dispatchers.isDispatcher(shardId)) {
      return {kind: 'dispatcher'};
    }
    const dispatcher = dispatchers.dispatcherOf(shardId);
    return dispatcher === undefined
      ? {kind: 'none'}
      : {
          kind: 'other-host',
          hostId: dispatcher.hostId,
          isCalled: dispatchers.otherDispatcherOf(shardId) !== undefined,
        };
  }

  private excludedBeside(
    consideredIds: ReadonlySet<string>,
    {service, shardId, demand}: PlacementRequest,
    grants: LimitedGrants,
  ): readonly ExcludedUpstream[] {
    const {announcements, health, fleetHealth, clock} = this.dependencies;
    const now = clock();
    const shard = this.candidates
      .shardsOf(service)
      .find(({id}) => id === shardId);
    const shardIds = new Set(
      shard?.upstreams.map(({upstreamId}) => upstreamId) ?? [],
    );
    const facts = {
      acceptsFrom: (upstream: UsableUpstream) =>
        announcements.acceptsFrom(upstream),
      hasVersion: (upstream: UsableUpstream) =>
        satisfiesVersion(upstream, demand.versions),
      isEjectedForAll: ({upstreamId}: UsableUpstream) =>
        fleetHealth.isEjected(upstreamId, now),
      isEjectedHere: ({upstreamId}: UsableUpstream) =>
        health.isEjected(upstreamId, now),
      grantWaitOf: (upstream: UsableUpstream) => grants.waitOf(upstream),
      isBrittle: (upstream: UsableUpstream) =>
        this.dependencies.limited.isBrittle(upstream),
      isInShard: ({upstreamId}: UsableUpstream) => shardIds.has(upstreamId),
    };
    const leaving = this.dependencies.upstreams
      .all()
      .filter(upstream => upstream.service === service && upstream.isLeaving)
      .map(({upstreamId}): ExcludedUpstream => {
        return {upstreamId, reason: 'leaving'};
      });
    const others = this.candidates
      .usableOf(service)
      .filter(({upstreamId}) => !consideredIds.has(upstreamId))
      .map(upstream => describeExclusion(upstream, facts, now));
    return [...leaving, ...others];
  }
}

function toResult(choice: OwnChoice): ShardResult<ExplainedPlacement> {
  switch (choice.kind) {
    case 'none':
      return undefined;
    case 'limited':
    case 'refused':
      return choice;
    case 'chosen':
      return toPlacement(choice);
  }
}

function toPlacement({
  choice,
  promotedRank,
  returned,
}: AdmittedChoice): ExplainedPlacement {
  return {kind: 'placed', choice, promotedRank, returned};
}

function describeResult(
  result: ShardResult<ExplainedPlacement>,
): ExplainedResult {
  switch (result?.kind) {
    case undefined:
      return {kind: 'none'};
    case 'limited':
      return result;
    case 'refused': {
      const {kind, reason, retryAfterMilliseconds} = result;
      return {kind, reason, retryAfterMilliseconds};
    }
    case 'placed': {
      const {choice, promotedRank, returned} = result;
      const {errorMilliseconds} = choice;
      return {
        kind: 'placed',
        upstreamId: choice.upstream.upstreamId,
        estimateMilliseconds: choice.estimateMilliseconds,
        ...(errorMilliseconds !== undefined && {errorMilliseconds}),
        ...(promotedRank !== undefined && {promotedRank}),
        ...(returned !== undefined && {returned}),
      };
    }
  }
}
