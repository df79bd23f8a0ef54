/**
 * Places requests at upstreams: through the dispatcher of their shard or, if it
 * does not respond, with the state of this host alone.
 */
import {
  type EngineChoice,
  type Member,
  type PlacedRequest,
  type PlacementDemand,
  PlacementTable,
  type UpstreamChange,
  type UpstreamResult,
} from '@lacewingwinch/decisions';
import type {
  PeerClient,
  PlacementAnswer,
  PlacementReport,
  PlacementRequest,
} from '@lacewingwinch/entry-hosts';
import type {EventLog} from '@lacewingwinch/observability';

import {isAborted} from '../util/is_aborted.js';
import {pause} from '../util/pause.js';
import {DispatcherCalls} from './dispatcher_calls.js';
import {
  PlacementCandidates,
  type PlacementCandidatesDependencies,
} from './placement_candidates.js';

/**
 * Milliseconds between two renewals, which correct the effect of lost
 * notifications.
 */
const RENEW_PERIOD_MILLISECONDS = 1000;

/** Maximum number of shards that are tried for one request. */
const MAXIMUM_SHARDS_TRIED = 2;

/**
 * Estimated milliseconds above which a second shard is tried: a request to its
 * dispatcher takes about 10 ms, while reading a shared prompt part again takes
 * about 250 ms.
 */
const CROWDED_ESTIMATE_MILLISECONDS = 250;

/** Dependencies of `RoutedPlacement`. */
export interface RoutedPlacementDependencies extends PlacementCandidatesDependencies {
  readonly hostId: string;
  readonly failureDomain: string;
  readonly peers: PeerClient;
  readonly events: EventLog;
  readonly servingHosts: () => readonly Member[];
  /**
   * Milliseconds for which a prompt part stays in a cache after its last use.
   */
  readonly cacheRetentionMilliseconds: number;
}

/** A request placed at an upstream. */
export interface Placement {
  readonly choice: EngineChoice;
  /** Reports the first sign of a response. */
  reportStarted(): void;
  /**
   * Reports that the request is no longer at the upstream, with its result
   * there if that says something about the upstream's health.
   */
  reportEnded(result?: UpstreamResult): void;
}

/** Places requests, and serves other hosts as the dispatcher of its shards. */
export class RoutedPlacement {
  private readonly tables = new Map<string, PlacementTable>();
  /** The upstreams at which requests may be placed. */
  readonly candidates: PlacementCandidates;
  private readonly dispatchers: DispatcherCalls;

  constructor(private readonly dependencies: RoutedPlacementDependencies) {
    this.candidates = new PlacementCandidates(dependencies);
    this.dispatchers = new DispatcherCalls(dependencies);
  }

  /**
   * Places a request at an upstream of `service` that is not in `tried`. If the
   * request would have to wait there, a second shard is tried as well.
   */
  async place(
    service: string,
    demand: PlacementDemand,
    tried: ReadonlySet<string>,
  ): Promise<Placement | undefined> {
    const shards = this.candidates.shardsFor(service, demand);
    let best: Placement | undefined;
    for (const {id} of shards.slice(0, MAXIMUM_SHARDS_TRIED)) {
      const placement = await this.placeInShard(service, id, demand, tried);
      best = betterOf(best, placement);
      if (best !== undefined && !isCrowded(best.choice)) {
        break;
      }
    }
    if (best !== undefined) {
      const {hostId, clock} = this.dependencies;
      this.tableOf(service).add(hostId, demand, best.choice, clock());
    }
    return best;
  }

  private async placeInShard(
    service: string,
    shardId: string,
    demand: PlacementDemand,
    tried: ReadonlySet<string>,
  ): Promise<Placement | undefined> {
    const {hostId, failureDomain} = this.dependencies;
    const excluded = [...tried, ...this.candidates.locallyExcludedIds(service)];
    const request = {
      service,
      shardId,
      front: hostId,
      failureDomain,
      demand,
      excluded,
    };
    const dispatcher = this.dispatchers.otherDispatcherOf(shardId);
    const answer =
      dispatcher === undefined
        ? undefined
        : await this.dispatchers.requestChoice(dispatcher, request);
    const choice =
      (answer === undefined
        ? undefined
        : this.choiceFromAnswer(service, demand, answer)) ??
      this.placeLocally(request, tried);
    return choice === undefined
      ? undefined
      : this.placementOf(service, demand, choice, dispatcher);
  }

  /**
   * Places a request for a front as the dispatcher of its shard. The dispatcher
   * learns of failing upstreams from the results of all fronts, before each of
   * the fronts does.
   */
  onPlacementRequest(request: PlacementRequest): PlacementAnswer {
    const excluded = [
      ...request.excluded,
      ...this.candidates.locallyExcludedIds(request.service),
    ];
    const choice = this.placeLocally(
      {...request, excluded},
      new Set(request.excluded),
    );
    if (choice === undefined) {
      return {kind: 'none'};
    }
    const {upstream, ...estimate} = choice;
    return {kind: 'chosen', upstreamId: upstream.upstreamId, estimate};
  }

  /** Handles a notification from a front that a request started or ended. */
  onNotification(notification: PlacementReport): void {
    const table = this.tableOf(notification.service);
    switch (notification.kind) {
      case 'began':
        table.recordFirstOutput(
          notification.front,
          notification,
          notification.tokens,
          notification.elapsed,
        );
        return;
      case 'ended':
        table.recordEnd(notification.front, notification);
        this.recordResult(notification.upstreamId, notification.result);
        this.recordLeaving(notification.upstreamId, notification.leavingBornAt);
    }
  }

  /** Handles a front's renewal of its requests. */
  onRenewal(
    service: string,
    front: string,
    requests: Parameters<PlacementTable['replaceRequests']>[1],
  ): void {
    this.tableOf(service).replaceRequests(
      front,
      requests,
      this.dependencies.clock(),
    );
  }

  /** Renews this host's requests at the dispatchers until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const {hostId, peers, clock} = this.dependencies;
    while (!isAborted(signal)) {
      await pause(RENEW_PERIOD_MILLISECONDS, signal);
      for (const [service, table] of this.tables) {
        table.forgetSilentFronts(hostId, clock());
        for (const [address, requests] of this.requestsByDispatcher(service)) {
          peers.notify(address, 'placement.renew', {
            service,
            front: hostId,
            requests,
          });
        }
      }
    }
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
    demand: PlacementDemand,
    choice: EngineChoice,
    dispatcher: Member | undefined,
  ): Placement {
    const {hostId, clock, announcements} = this.dependencies;
    const {upstream} = choice;
    const table = this.tableOf(service);
    const placedAttempt = {
      attemptId: demand.attemptId,
      upstreamId: upstream.upstreamId,
    };
    const placedAt = clock();
    return {
      choice,
      reportStarted: () => {
        const tokens = choice.tokensToRead;
        const elapsed = clock() - placedAt;
        table.recordFirstOutput(hostId, placedAttempt, tokens, elapsed);
        this.dispatchers.report(dispatcher, {
          kind: 'began',
          service,
          front: hostId,
          ...placedAttempt,
          tokens,
          elapsed,
        });
      },
      reportEnded: result => {
        table.recordEnd(hostId, placedAttempt);
        this.recordResult(placedAttempt.upstreamId, result);
        this.dispatchers.report(dispatcher, {
          kind: 'ended',
          service,
          front: hostId,
          ...placedAttempt,
          ...(result === undefined ? {} : {result}),
          ...(announcements.isLeaving(upstream) && {
            leavingBornAt: upstream.bornAt,
          }),
        });
      },
    };
  }

  private recordResult(
    upstreamId: string,
    result: UpstreamResult | undefined,
  ): void {
    if (result !== undefined) {
      this.dependencies.health.recordResult(
        upstreamId,
        result,
        this.dependencies.clock(),
      );
    }
  }

  /** Records that another host learned that an upstream is leaving. */
  private recordLeaving(upstreamId: string, bornAt: number | undefined): void {
    const {announcements, clock} = this.dependencies;
    if (bornAt !== undefined) {
      announcements.record({upstreamId, bornAt}, {kind: 'leaving'}, clock());
    }
  }

  /**
   * Returns this host's requests at each other dispatcher of `service`, by the
   * dispatcher's address.
   */
  private requestsByDispatcher(
    service: string,
  ): ReadonlyMap<string, readonly PlacedRequest[]> {
    const requests = this.tableOf(service).requestsOf(this.dependencies.hostId);
    const byAddress = new Map<string, PlacedRequest[]>();
    for (const {id, upstreams} of this.candidates.shardsOf(service)) {
      const dispatcher = this.dispatchers.otherDispatcherOf(id);
      if (dispatcher === undefined) {
        continue;
      }
      const address = dispatcher.addresses.peers;
      const members = new Set(upstreams.map(({upstreamId}) => upstreamId));
      const assigned = requests.filter(({upstreamId}) =>
        members.has(upstreamId),
      );
      byAddress.set(address, [...(byAddress.get(address) ?? []), ...assigned]);
    }
    return byAddress;
  }

  /**
   * Returns the dispatcher's choice if this host knows the upstream as well.
   */
  private choiceFromAnswer(
    service: string,
    demand: PlacementDemand,
    answer: PlacementAnswer,
  ): EngineChoice | undefined {
    if (answer.kind === 'none') {
      return undefined;
    }
    const upstream = this.candidates
      .accepting(service, demand)
      .find(({upstreamId}) => upstreamId === answer.upstreamId);
    return upstream === undefined ? undefined : {upstream, ...answer.estimate};
  }

  private placeLocally(
    request: PlacementRequest,
    tried: ReadonlySet<string>,
  ): EngineChoice | undefined {
    const candidates = this.candidates.select({...request, tried});
    return this.tableOf(request.service).place(
      request.front,
      request.demand,
      candidates,
      request.failureDomain,
      this.dependencies.clock(),
    );
  }

  private tableOf(service: string): PlacementTable {
    const existing = this.tables.get(service);
    if (existing !== undefined) {
      return existing;
    }
    const created = new PlacementTable(
      this.dependencies.cacheRetentionMilliseconds,
    );
    this.tables.set(service, created);
    return created;
  }

  private forget(upstreamId: string): void {
    for (const table of this.tables.values()) {
      table.forgetUpstream(upstreamId);
    }
    this.dependencies.health.forget(upstreamId);
    this.dependencies.announcements.forgetUnidentified(upstreamId);
  }
}

function isCrowded({mustWait, estimateMilliseconds}: EngineChoice): boolean {
  return mustWait && estimateMilliseconds > CROWDED_ESTIMATE_MILLISECONDS;
}

/** Returns the placement with the lower estimate and ends the other one. */
function betterOf(
  first: Placement | undefined,
  second: Placement | undefined,
): Placement | undefined {
  if (first === undefined || second === undefined) {
    return first ?? second;
  }
  const isFirstBetter =
    first.choice.estimateMilliseconds <= second.choice.estimateMilliseconds;
  (isFirstBetter ? second : first).reportEnded();
  return isFirstBetter ? first : second;
}
