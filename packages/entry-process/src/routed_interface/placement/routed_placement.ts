/**
 * Places requests at upstreams: through the dispatcher of their shard or, if it
 * does not respond, with the state of this host alone.
 */
import {
  type AdmissionTerms,
  GRANT_LIFETIME_MILLISECONDS,
  type Member,
  type NamedRates,
  type PlacedRequest,
  type PlacementDemand,
  type UpstreamChange,
  type UpstreamList,
  type UpstreamResult,
  type UsableUpstream,
} from '@lacewingwinch/decisions';
import type {
  PeerClient,
  PlacementAnswer,
  PlacementReport,
  PlacementRequest,
} from '@lacewingwinch/entry-hosts';
import type {EventLog} from '@lacewingwinch/observability';

import {DispatcherCalls} from './dispatcher_calls.js';
import {
  LimitedUpstreams,
  type LimitedUpstreamsDependencies,
} from './limited_upstreams.js';
import {
  PlacementCandidates,
  type PlacementCandidatesDependencies,
} from './placement_candidates.js';
import {PlacementExplainer} from './placement_explainer.js';
import {
  type PlacementMetrics,
  recordFirstOutput,
  recordPlacement,
} from './placement_metrics.js';
import {PlacementRenewals} from './placement_renewals.js';
import {
  MAXIMUM_SHARDS_TRIED,
  type Placement,
  type PlacementResult,
} from './placement_result.js';
import {
  ServiceTables,
  type ServiceTablesDependencies,
} from './service_tables.js';
import {ShardAdmissions} from './shard_admissions.js';
import {ownPlacementRequest} from './shard_choice.js';
import {type ShardChosen, ShardPlacement} from './shard_placement.js';
import {ShardResults} from './shard_results.js';

/** Dependencies of `RoutedPlacement`. */
export interface RoutedPlacementDependencies
  extends
    PlacementCandidatesDependencies,
    LimitedUpstreamsDependencies,
    ServiceTablesDependencies {
  readonly upstreams: UpstreamList;
  readonly hostId: string;
  readonly failureDomain: string;
  readonly peers: PeerClient;
  readonly events: EventLog;
  readonly servingHosts: () => readonly Member[];
  readonly metrics: PlacementMetrics;
  /** Returns the serving hosts that may dispatch shards. */
  readonly dispatchingHosts: () => readonly Member[];
}

/** The process of an upstream that a result is about, and the reporting host. */
interface ReportedProcess {
  readonly upstreamId: string;
  readonly front: string;
  /** Undefined if the host does not report it. */
  readonly bornAt?: number;
}

/** Places requests, and serves other hosts as the dispatcher of its shards. */
export class RoutedPlacement {
  private readonly tables: ServiceTables;
  /** The upstreams at which requests may be placed. */
  readonly candidates: PlacementCandidates;
  private readonly dispatchers: DispatcherCalls;
  private readonly limited: LimitedUpstreams;
  private readonly shards: ShardPlacement;
  private readonly renewals: PlacementRenewals;
  private readonly admissions: ShardAdmissions;
  /** Explains where requests would be placed. */
  readonly explainer: PlacementExplainer;

  constructor(private readonly dependencies: RoutedPlacementDependencies) {
    this.tables = new ServiceTables(dependencies);
    this.candidates = new PlacementCandidates(dependencies);
    this.dispatchers = new DispatcherCalls(dependencies);
    this.limited = new LimitedUpstreams({
      ...dependencies,
      runningAt: ({service, upstreamId}) =>
        this.tables.peek(service).runningAt(upstreamId, dependencies.clock()),
    });
    this.admissions = new ShardAdmissions({
      clock: dependencies.clock,
      random: dependencies.random,
      isDispatcher: shardId => this.dispatchers.isDispatcher(shardId),
      hostCount: () => dependencies.servingHosts().length,
    });
    const parts = {
      tables: this.tables,
      candidates: this.candidates,
      dispatchers: this.dispatchers,
      limited: this.limited,
      admissions: this.admissions,
    };
    this.renewals = new PlacementRenewals({...dependencies, ...parts});
    this.explainer = new PlacementExplainer({...dependencies, ...parts});
    this.shards = new ShardPlacement({
      candidates: this.candidates,
      dispatchers: this.dispatchers,
      namedRates: dependencies.namedRates,
      limited: this.limited,
      recordLoads: (service, answer) =>
        this.tables.recordLoads(service, answer),
      choose: (request, candidates, grants) => {
        const {front, failureDomain, shardId} = request;
        const table = this.tables.of(request.service);
        const now = dependencies.clock();
        const dispatcherForMilliseconds =
          this.dispatchers.dispatcherFor(shardId);
        return this.admissions.choose(request, {
          upstreamIds: candidates.map(({upstreamId}) => upstreamId),
          speedOf: upstreamId => table.prefillSpeedOf(upstreamId, now),
          place: (demand, isAdmitted) =>
            table.placeTask(
              {
                front,
                demand,
                candidates,
                failureDomain,
                grants,
                isAdmitted,
                knowledge: {dispatcherForMilliseconds},
              },
              now,
            ),
        });
      },
    });
  }

  /**
   * Places a request at an upstream of `service` that is not in `tried`. If the
   * request would have to wait there, a second shard is tried as well. Without
   * `terms`, the request is placed however long it would wait.
   */
  async place(
    service: string,
    demand: PlacementDemand,
    tried: ReadonlySet<string>,
    terms?: AdmissionTerms,
  ): Promise<PlacementResult> {
    const shards = this.candidates
      .shardsFor(service, demand, shard => this.tables.weightOf(service, shard))
      .slice(0, MAXIMUM_SHARDS_TRIED);
    const results = new ShardResults<Placement>();
    for (const [index, {id}] of shards.entries()) {
      const isOverflow = index > 0;
      const hasAnotherShard = index + 1 < shards.length;
      const result = await this.placeInShard(
        service,
        id,
        demand,
        tried,
        terms === undefined
          ? undefined
          : {...terms, isOverflow, hasAnotherShard},
      );
      results.add(result)?.reportEnded();
      if (results.isSettled) {
        break;
      }
    }
    const {result} = results;
    if (result?.kind === 'placed') {
      const {hostId, clock} = this.dependencies;
      this.tables.of(service).add(hostId, demand, result.choice, clock());
    }
    return result;
  }

  private async placeInShard(
    service: string,
    shardId: string,
    demand: PlacementDemand,
    tried: ReadonlySet<string>,
    terms: AdmissionTerms | undefined,
  ): Promise<PlacementResult> {
    const {hostId, failureDomain} = this.dependencies;
    const request = ownPlacementRequest(
      {service, shardId, hostId, failureDomain, demand, tried, terms},
      this.candidates,
    );
    const result = await this.shards.place(request, tried);
    switch (result.kind) {
      case 'none':
        return undefined;
      case 'limited':
      case 'refused':
        return result;
      case 'chosen':
        return this.placementOf(service, shardId, demand, result);
    }
  }

  /**
   * Places a request for a front as the dispatcher of its shard. The dispatcher
   * learns of failing upstreams from the results of all fronts, before each of
   * the fronts does.
   */
  onPlacementRequest(request: PlacementRequest): PlacementAnswer {
    const excluded = [
      ...request.excluded,
      ...this.candidates.excludedIdsForAll(request.service),
    ];
    const answer = this.shards.onRequest(
      {...request, excluded},
      new Set(request.excluded),
    );
    return this.tables.withLoads(request, answer, this.candidates);
  }

  /** Handles a notification from a front that a request started or ended. */
  onNotification(notification: PlacementReport): void {
    const table = this.tables.of(notification.service);
    const now = this.dependencies.clock();
    notification.rates?.forEach(rate =>
      this.dependencies.namedRates.merge(rate),
    );
    switch (notification.kind) {
      case 'began':
        table.recordOutput({...notification, isDispatchedHere: true}, now);
        return;
      case 'ended':
        table.recordEnd(notification.front, notification, now);
        this.recordResult(notification, notification.result);
        this.recordLeaving(notification.upstreamId, notification.leavingBornAt);
    }
  }

  /** Handles a front's renewal of its requests. */
  onRenewal(
    service: string,
    front: string,
    requests: readonly PlacedRequest[],
  ): void {
    this.tables
      .of(service)
      .replaceRequests(front, requests, this.dependencies.clock());
  }

  /** Renews this host's requests at the dispatchers until `signal` aborts. */
  run(signal: AbortSignal): Promise<void> {
    return this.renewals.run(signal);
  }

  /** Discards what is known of upstreams that were withdrawn or restarted. */
  onUpstreamChanges(changes: readonly UpstreamChange[]): void {
    for (const {upstreamId, state, isRestarted} of changes) {
      if (state === 'withdrawn' || isRestarted) {
        this.forget(upstreamId);
      }
    }
  }

  private placementOf(
    service: string,
    shardId: string,
    demand: PlacementDemand,
    {choice, dispatcher, promotedRank, returned}: ShardChosen,
  ): Placement {
    const {hostId, clock, announcements, metrics} = this.dependencies;
    const {upstream} = choice;
    const table = this.tables.of(service);
    const placedAttempt = {
      attemptId: demand.attemptId,
      upstreamId: upstream.upstreamId,
    };
    const placedAt = clock();
    const {grantWaitMilliseconds} = choice;
    recordPlacement(metrics, service, choice);
    return {
      kind: 'placed',
      choice,
      promotedRank,
      returned,
      isSendable: () =>
        grantWaitMilliseconds === undefined ||
        clock() <
          placedAt + grantWaitMilliseconds + GRANT_LIFETIME_MILLISECONDS,
      reportStarted: () => {
        const tokens = choice.tokensToRead;
        const now = clock();
        const elapsed = now - placedAt;
        recordFirstOutput(metrics, service, choice, elapsed);
        const output = {...placedAttempt, front: hostId, tokens, elapsed};
        const isDispatchedHere = this.dispatchers.isDispatcher(shardId);
        table.recordOutput({...output, isDispatchedHere}, now);
        this.dispatchers.report(dispatcher, {
          kind: 'began',
          service,
          front: hostId,
          ...placedAttempt,
          tokens,
          elapsed,
          ...ratesField(this.dependencies.namedRates, upstream),
        });
      },
      reportEnded: result => {
        table.recordEnd(hostId, placedAttempt, clock());
        const {bornAt} = upstream;
        this.recordResult({...placedAttempt, bornAt, front: hostId}, result);
        this.dispatchers.report(dispatcher, {
          kind: 'ended',
          service,
          front: hostId,
          ...placedAttempt,
          ...ratesField(this.dependencies.namedRates, upstream),
          ...(result === undefined ? {} : {result, bornAt}),
          ...(announcements.isLeaving(upstream) && {
            leavingBornAt: upstream.bornAt,
          }),
        });
      },
    };
  }

  private recordResult(
    {upstreamId, front, bornAt}: ReportedProcess,
    result: UpstreamResult | undefined,
  ): void {
    const upstream = this.dependencies.upstreams.find(upstreamId);
    // A result of a process that has been replaced says nothing about the new one.
    const isReplaced = (bornAt ?? Infinity) < (upstream?.bornAt ?? 0);
    if (result === undefined || isReplaced) {
      return;
    }
    const {health, fleetHealth, clock, events, hostId} = this.dependencies;
    const now = clock();
    if (result === 'refused' && upstream !== undefined) {
      this.limited.recordRefusal(upstream);
    }
    const ownEjection =
      front === hostId
        ? health.recordResult(upstreamId, result, now)
        : undefined;
    const milliseconds =
      fleetHealth.recordResult({upstreamId, front, result}, now) ?? ownEjection;
    if (milliseconds !== undefined) {
      events.write(3010, {upstreamId, front, result, milliseconds});
    }
  }

  /** Records that another host learned that an upstream is leaving. */
  private recordLeaving(upstreamId: string, bornAt: number | undefined): void {
    const {announcements, clock} = this.dependencies;
    if (bornAt !== undefined) {
      announcements.record({upstreamId, bornAt}, {kind: 'leaving'}, clock());
    }
  }

  private forget(upstreamId: string): void {
    this.tables.forgetUpstream(upstreamId);
    this.dependencies.health.forget(upstreamId);
    this.dependencies.fleetHealth.forget(upstreamId);
    this.dependencies.announcements.forgetUnidentified(upstreamId);
  }
}

/** Returns the field of a report that states the rates of an upstream. */
function ratesField(
  namedRates: NamedRates,
  upstream: UsableUpstream,
): Pick<PlacementReport, 'rates'> {
  const rates = namedRates.known([upstream]);
  return rates.length === 0 ? {} : {rates};
}
