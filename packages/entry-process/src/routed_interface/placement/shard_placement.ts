/**
 * Places requests in one shard: at its dispatcher, at a stand-in for it, or with
 * the state of this host alone.
 */
import type {
  AdmissionRefusal,
  AdmittedChoice,
  EngineChoice,
  Member,
  NamedRates,
} from '@lacewingwinch/decisions';
import type {
  PlacementAnswer,
  PlacementRequest,
} from '@lacewingwinch/entry-hosts';

import type {DispatcherCalls} from './dispatcher_calls.js';
import type {LimitedUpstreams} from './limited_upstreams.js';
import type {PlacementCandidates} from './placement_candidates.js';
import {
  type CandidateChooser,
  chooseWithGrants,
  chooseWithoutGrants,
  type OwnChoice,
} from './shard_choice.js';

/** A choice in one shard. */
export interface ShardChosen extends AdmittedChoice {
  /** Host that counts the request; undefined if only this one does. */
  readonly dispatcher: Member | undefined;
}

/** Result of a placement in one shard. */
export type ShardChoice =
  | ShardChosen
  /** Every upstream has as many requests as the limit that it named allows. */
  | {readonly kind: 'limited'; readonly milliseconds: number}
  | AdmissionRefusal
  | {readonly kind: 'none'};

/** Dependencies of `ShardPlacement`. */
export interface ShardPlacementDependencies {
  readonly candidates: PlacementCandidates;
  readonly dispatchers: DispatcherCalls;
  readonly namedRates: NamedRates;
  readonly limited: LimitedUpstreams;
  /** Records the loads that an answer of a dispatcher states. */
  readonly recordLoads: (
    service: string,
    answer: PlacementAnswer | undefined,
  ) => void;
  /**
   * Chooses one of the candidates and counts the request there, unless it is
   * refused.
   */
  readonly choose: CandidateChooser;
}

/** Places requests in the shards of services. */
export class ShardPlacement {
  constructor(private readonly dependencies: ShardPlacementDependencies) {}

  /** Places a request of this host at an upstream that is not in `tried`. */
  async place(
    request: PlacementRequest,
    tried: ReadonlySet<string>,
  ): Promise<ShardChoice> {
    const {dispatchers} = this.dependencies;
    const {shardId} = request;
    if (dispatchers.isDispatcher(shardId)) {
      return this.placeHere(request, tried);
    }
    const dispatcher = dispatchers.otherDispatcherOf(shardId);
    const choice =
      dispatcher === undefined
        ? undefined
        : await this.placeAt(dispatcher, request);
    if (choice !== undefined) {
      return choice;
    }
    return (
      this.placeWithoutLimit(request, tried, dispatcher) ??
      (await this.placeAtStandIn(request, tried)) ?? {kind: 'none'}
    );
  }

  /** Places a request of another host. */
  onRequest(
    request: PlacementRequest,
    tried: ReadonlySet<string>,
  ): PlacementAnswer {
    const {namedRates, candidates} = this.dependencies;
    request.rates?.forEach(rate => namedRates.merge(rate));
    const result = this.placeHere(request, tried);
    switch (result.kind) {
      case 'none':
        return {kind: 'none'};
      case 'limited':
      case 'refused':
        return result;
      case 'chosen': {
        const {upstream, ...estimate} = result.choice;
        return {
          kind: 'chosen',
          upstreamId: upstream.upstreamId,
          estimate,
          ...admissionFields(result),
          ...(request.rates !== undefined && {
            rates: namedRates.known(
              candidates.accepting(request.service, request.demand),
            ),
          }),
        };
      }
    }
  }

  /** Places a request with the grants of this host. */
  private placeHere(
    request: PlacementRequest,
    tried: ReadonlySet<string>,
  ): ShardChoice {
    const {candidates, dispatchers, limited, choose} = this.dependencies;
    const grants = limited.grantsOf(dispatchers.dispatcherFor(request.shardId));
    return withDispatcher(
      chooseWithGrants(request, tried, candidates, grants, choose),
      undefined,
    );
  }

  /** Places a request at upstreams that need no grant. */
  private placeWithoutLimit(
    request: PlacementRequest,
    tried: ReadonlySet<string>,
    dispatcher: Member | undefined,
  ): ShardChoice | undefined {
    const {candidates, limited, choose} = this.dependencies;
    const result = chooseWithoutGrants(
      request,
      tried,
      candidates,
      limited,
      choose,
    );
    return result === undefined
      ? undefined
      : withDispatcher(result, dispatcher);
  }

  /** Requests a grant of the host that would follow a lost dispatcher. */
  private async placeAtStandIn(
    request: PlacementRequest,
    tried: ReadonlySet<string>,
  ): Promise<ShardChoice | undefined> {
    const {dispatchers, candidates} = this.dependencies;
    if (dispatchers.isStandIn(request.shardId)) {
      return this.placeHere(request, tried);
    }
    const hasUpstream =
      candidates.accepting(request.service, request.demand).length > 0;
    const standIn = dispatchers.standInOf(request.shardId);
    return !hasUpstream || standIn === undefined
      ? undefined
      : this.placeAt(standIn, request);
  }

  /**
   * Requests a choice of another host. A dispatcher that does not know a limit
   * receives what this host knows. Returns undefined without a usable answer.
   */
  private async placeAt(
    dispatcher: Member,
    request: PlacementRequest,
  ): Promise<ShardChoice | undefined> {
    const {dispatchers, namedRates, candidates} = this.dependencies;
    const first = await dispatchers.requestChoice(dispatcher, request);
    this.dependencies.recordLoads(request.service, first);
    const choice = this.choiceFrom(request, first, dispatcher);
    if (choice?.kind !== 'chosen' || !this.lacksGrant(choice.choice)) {
      return choice;
    }
    const rates = namedRates.known(
      candidates.accepting(request.service, request.demand),
    );
    const second = await dispatchers.requestChoice(dispatcher, {
      ...request,
      rates,
    });
    if (second?.kind === 'chosen') {
      second.rates?.forEach(rate => namedRates.merge(rate));
    }
    const granted = this.choiceFrom(request, second, dispatcher);
    return granted?.kind === 'chosen' && this.lacksGrant(granted.choice)
      ? undefined
      : granted;
  }

  private choiceFrom(
    {service, demand}: PlacementRequest,
    answer: PlacementAnswer | undefined,
    dispatcher: Member,
  ): ShardChoice | undefined {
    switch (answer?.kind) {
      case undefined:
      case 'none':
        return undefined;
      case 'limited':
      case 'refused':
        return answer;
      case 'chosen': {
        // This host has to know the upstream as well.
        const upstream = this.dependencies.candidates
          .accepting(service, demand)
          .find(({upstreamId}) => upstreamId === answer.upstreamId);
        return upstream === undefined
          ? undefined
          : {
              kind: 'chosen',
              choice: {upstream, ...answer.estimate},
              ...admissionFields(answer),
              dispatcher,
            };
      }
    }
  }

  private lacksGrant({upstream, grantWaitMilliseconds}: EngineChoice): boolean {
    return (
      grantWaitMilliseconds === undefined &&
      this.dependencies.limited.isLimited(upstream)
    );
  }
}

function withDispatcher(
  result: OwnChoice,
  dispatcher: Member | undefined,
): ShardChoice {
  return result.kind === 'chosen' ? {...result, dispatcher} : result;
}

function admissionFields({
  promotedRank,
  returned,
}: Pick<ShardChosen, 'promotedRank' | 'returned'>): Pick<
  ShardChosen,
  'promotedRank' | 'returned'
> {
  return {
    ...(promotedRank !== undefined && {promotedRank}),
    ...(returned !== undefined && {returned}),
  };
}
