/**
 * The requests that one host knows to be at the engines of a service, and the
 * choice of engines based on them. The dispatcher of a service knows all of its
 * requests. Every other host knows only its own, and chooses with the same code
 * when the dispatcher does not answer. Load reports arrive too late when many
 * requests reach many hosts at once, so each placement is counted immediately.
 */
import type {UsableUpstream} from '../upstreams/listed_upstream.js';
import {
  chooseEngine,
  costEngines,
  type EngineChoice,
  leastCost,
  type PlacementDemand,
  type PlacementLoad,
  type PlacementView,
} from './choose_engine.js';
import {PrefillSpeeds} from './prefill_speeds.js';
import {PrefixMemory} from './prefix_memory.js';
import type {
  FirstOutput,
  PlacementTask,
  ServiceTable,
} from './service_table.js';
import type {WeighedEngine, WeighedEngines} from './weighed_engines.js';

/** An attempt and the upstream to which it was sent. */
export interface PlacedAttempt {
  readonly attemptId: string;
  readonly upstreamId: string;
}

/** A request in progress at an upstream. */
export interface PlacedRequest extends PlacedAttempt {
  /** Prompt tokens that the upstream has still to read for the request. */
  readonly waitingTokens: number;
  /** 0 is the most urgent. */
  readonly priority: number;
}

/** The grants that a host gives for upstreams with a limit. */
export interface PlacementGrants {
  /** Returns the milliseconds until the upstream has a free grant. */
  waitOf(upstream: UsableUpstream): number;
  /**
   * Takes a grant; returns the milliseconds until it may be used, or undefined if
   * the upstream has no limit.
   */
  take(upstream: UsableUpstream): number | undefined;
}

/** Grants where no upstream has a limit. */
export const NO_GRANTS: PlacementGrants = {
  waitOf: () => 0,
  take: () => undefined,
};

/** Time without a message after which a front's requests are discarded. */
const FRONT_TIMEOUT_MILLISECONDS = 4000;

interface Front {
  /** By placement key. */
  readonly requests: Map<string, PlacedRequest>;
  /** Time of the last request or report from the front. */
  heardAt: number;
}

/** The requests at the upstreams of a service, by front. */
export class PlacementTable implements ServiceTable {
  private readonly fronts = new Map<string, Front>();
  private readonly prefixes: PrefixMemory;
  private readonly speeds = new PrefillSpeeds();

  constructor(
    /** Milliseconds for which a prompt part stays cached after its last use. */
    cacheRetentionMilliseconds: number,
  ) {
    this.prefixes = new PrefixMemory(cacheRetentionMilliseconds);
  }

  /** Chooses one of `candidates` and counts the request as placed there. */
  place(
    front: string,
    demand: PlacementDemand,
    candidates: readonly UsableUpstream[],
    ownDomain: string,
    now: number,
    grants: PlacementGrants = NO_GRANTS,
    isAdmitted: (choice: EngineChoice) => boolean = () => true,
  ): EngineChoice | undefined {
    const view = this.viewOf(grants, now);
    const choice = chooseEngine(demand, candidates, ownDomain, view);
    if (choice === undefined || !isAdmitted(choice)) {
      return undefined;
    }
    // A grant depends on the requests that are in progress besides this one.
    const grantWaitMilliseconds = grants.take(choice.upstream);
    this.add(front, demand, choice, now);
    return grantWaitMilliseconds === undefined
      ? choice
      : {...choice, grantWaitMilliseconds};
  }

  weigh(task: PlacementTask, now: number): WeighedEngines {
    const {demand, candidates, failureDomain, grants} = task;
    const view = this.viewOf(grants, now);
    const costed = costEngines(demand, candidates, failureDomain, view);
    const best = leastCost(costed);
    return {
      engines: costed.map(({choice, cost}): WeighedEngine => {
        const {upstreamId} = choice.upstream;
        const tokensPerMillisecond = this.speeds.speedOf(upstreamId);
        const ownTokens = Math.max(
          0,
          demand.promptTokens - choice.cachedTokens,
        );
        return {
          choice,
          running: view.loadOf(upstreamId).running,
          waitMilliseconds:
            (choice.tokensToRead - ownTokens) / tokensPerMillisecond,
          readMilliseconds: ownTokens / tokensPerMillisecond,
          tokensPerMillisecond,
          costMilliseconds: cost,
          share: choice === best?.choice ? 1 : 0,
        };
      }),
      weighing: {
        kind: 'least-cost',
        index: costed.findIndex(candidate => candidate === best),
      },
    };
  }

  private viewOf(grants: PlacementGrants, now: number): PlacementView {
    const loads = this.loads();
    return {
      loadOf: upstreamId => loads.get(upstreamId) ?? NO_LOAD,
      prefillSpeedOf: upstreamId => this.speeds.speedOf(upstreamId),
      cachedTokens: (upstreamId, parts) =>
        this.prefixes.cachedTokens(upstreamId, parts, now),
      grantWaitOf: upstream => grants.waitOf(upstream),
    };
  }

  placeTask(task: PlacementTask, now: number): EngineChoice | undefined {
    const {front, demand, candidates, failureDomain, grants, isAdmitted} = task;
    return this.place(
      front,
      demand,
      candidates,
      failureDomain,
      now,
      grants,
      isAdmitted,
    );
  }

  recordOutput(output: FirstOutput): void {
    const {front, tokens, elapsed} = output;
    this.recordFirstOutput(front, output, tokens, elapsed);
  }

  capacityOf(upstreams: readonly UsableUpstream[]): number {
    return upstreams.length;
  }

  /** Loads are not stated: other hosts choose by their own requests. */
  statementsOf(): readonly never[] {
    return [];
  }

  recordStatements(): void {
    // Loads of other hosts are not used.
  }

  /** Counts a request at an upstream that this or another host has chosen. */
  add(
    front: string,
    demand: PlacementDemand,
    choice: Pick<EngineChoice, 'cachedTokens'> & {
      readonly upstream: Pick<UsableUpstream, 'upstreamId'>;
    },
    now: number,
  ): void {
    const {upstreamId} = choice.upstream;
    const waitingTokens = Math.max(
      0,
      demand.promptTokens - choice.cachedTokens,
    );
    const key = placementKey(demand.attemptId, upstreamId);
    this.findOrCreateFront(front, now).requests.set(key, {
      attemptId: demand.attemptId,
      upstreamId,
      waitingTokens,
      priority: demand.priority,
    });
    this.prefixes.recordRead(upstreamId, demand.parts, now);
  }

  /**
   * Records that a request has its first output, and the speed at which the
   * upstream read `tokens` in `elapsed` milliseconds.
   */
  recordFirstOutput(
    front: string,
    {attemptId, upstreamId}: PlacedAttempt,
    tokens: number,
    elapsed: number,
  ): void {
    const requests = this.fronts.get(front)?.requests;
    const key = placementKey(attemptId, upstreamId);
    const request = requests?.get(key);
    if (requests === undefined || request === undefined) {
      return;
    }
    this.speeds.recordMeasurement(upstreamId, tokens, elapsed);
    requests.set(key, {...request, waitingTokens: 0});
  }

  /** Records that a request is no longer at its upstream. */
  recordEnd(front: string, {attemptId, upstreamId}: PlacedAttempt): void {
    this.fronts
      .get(front)
      ?.requests.delete(placementKey(attemptId, upstreamId));
  }

  /** Replaces the requests known for a front by those that it reports. */
  replaceRequests(
    front: string,
    requests: readonly PlacedRequest[],
    now: number,
  ): void {
    this.fronts.set(front, {
      requests: new Map(
        requests.map(request => [
          placementKey(request.attemptId, request.upstreamId),
          request,
        ]),
      ),
      heardAt: now,
    });
  }

  /** Returns the requests of `front`. */
  requestsOf(front: string): readonly PlacedRequest[] {
    return [...(this.fronts.get(front)?.requests.values() ?? [])];
  }

  /** Returns the number of requests in progress at an upstream. */
  runningAt(upstreamId: string): number {
    return this.loads().get(upstreamId)?.running ?? 0;
  }

  /** Returns the prompt tokens that an upstream reads per millisecond. */
  prefillSpeedOf(upstreamId: string): number {
    return this.speeds.speedOf(upstreamId);
  }

  peekPrefillSpeedOf(upstreamId: string): number {
    return this.speeds.speedOf(upstreamId);
  }

  /** Returns the work in progress by upstream. */
  loads(): ReadonlyMap<string, PlacementLoad> {
    const loads = new Map<string, MutableLoad>();
    for (const {requests} of this.fronts.values()) {
      for (const request of requests.values()) {
        addToLoad(loads, request);
      }
    }
    return loads;
  }

  /** Discards the requests of silent fronts, except those of this host. */
  forgetSilentFronts(ownHostId: string, now: number): void {
    for (const [front, {heardAt}] of this.fronts) {
      if (front !== ownHostId && now - heardAt > FRONT_TIMEOUT_MILLISECONDS) {
        this.fronts.delete(front);
      }
    }
  }

  /** Discards the cache and speed of an upstream that left or restarted. */
  forgetUpstream(upstreamId: string): void {
    this.prefixes.forget(upstreamId);
    this.speeds.forget(upstreamId);
  }

  private findOrCreateFront(front: string, now: number): Front {
    const existing = this.fronts.get(front);
    if (existing !== undefined) {
      existing.heardAt = now;
      return existing;
    }
    const created: Front = {requests: new Map(), heardAt: now};
    this.fronts.set(front, created);
    return created;
  }
}

const NO_LOAD: PlacementLoad = {running: 0, waitingTokens: new Map()};

/**
 * Returns the key of a request at an upstream. The attempt ID alone is not
 * unique: while two shards are queried, a request is briefly placed in both.
 */
function placementKey(attemptId: string, upstreamId: string): string {
  return `${attemptId}@${upstreamId}`;
}

interface MutableLoad {
  running: number;
  readonly waitingTokens: Map<number, number>;
}

function addToLoad(
  loads: Map<string, MutableLoad>,
  {upstreamId, priority, waitingTokens}: PlacedRequest,
): void {
  const load: MutableLoad = loads.get(upstreamId) ?? {
    running: 0,
    waitingTokens: new Map<number, number>(),
  };
  loads.set(upstreamId, load);
  load.running += 1;
  if (waitingTokens > 0) {
    const waitingBefore = load.waitingTokens.get(priority) ?? 0;
    load.waitingTokens.set(priority, waitingBefore + waitingTokens);
  }
}
