/**
 * What one host knows of the requests at the engines of a service, and the
 * choice that follows. The dispatcher of a service knows all of them; every
 * other host knows its own and decides with the same code when the dispatcher
 * does not answer. Answers many requests that arrive at many hosts within the
 * lag of a load report: whoever decides counts what was placed a moment ago.
 */
import type {UsableUpstream} from '../upstreams/upstream_list.js';
import {
  type Choice,
  chooseEngine,
  type PlacementDemand,
  type PlacementLoad,
} from './choose_engine.js';
import {PrefillSpeeds} from './prefill_speeds.js';
import {PrefixMemory} from './prefix_memory.js';

/** One attempt at one upstream. */
export interface PlacedAttempt {
  readonly attemptId: string;
  readonly upstreamId: string;
}

/** A request that is at an upstream. */
export interface PlacedRequest extends PlacedAttempt {
  /** Prompt tokens that the upstream has still to read for it. */
  readonly waitingTokens: number;
  /** 0 is the most urgent. */
  readonly priority: number;
}

/** Milliseconds after which the requests of a silent front count no longer. */
const FRONT_SILENCE_MILLISECONDS = 4000;

interface Front {
  readonly requests: Map<string, PlacedRequest>;
  heardAt: number;
}

/** The requests at upstreams, by the front that sent them. */
export class PlacementTable {
  private readonly fronts = new Map<string, Front>();
  private readonly prefixes: PrefixMemory;
  private readonly speeds = new PrefillSpeeds();

  constructor(
    /** Milliseconds for which a prompt part stays in a cache after its use. */
    keptMilliseconds: number,
  ) {
    this.prefixes = new PrefixMemory(keptMilliseconds);
  }

  /** Chooses among `candidates` and counts the request there. */
  place(
    front: string,
    demand: PlacementDemand,
    candidates: readonly UsableUpstream[],
    ownDomain: string,
    now: number,
  ): Choice | undefined {
    const loads = this.loads(now);
    const choice = chooseEngine(demand, candidates, ownDomain, {
      loadOf: upstreamId => loads.get(upstreamId) ?? NO_LOAD,
      prefillSpeedOf: upstreamId => this.speeds.speedOf(upstreamId),
      cachedTokens: (upstreamId, parts) =>
        this.prefixes.cachedTokens(upstreamId, parts, now),
    });
    if (choice !== undefined) {
      this.add(front, demand, choice, now);
    }
    return choice;
  }

  /** Counts a request at the upstream of `choice`, whoever chose it. */
  add(
    front: string,
    demand: PlacementDemand,
    choice: Pick<Choice, 'cachedTokens'> & {
      readonly upstream: Pick<UsableUpstream, 'upstreamId'>;
    },
    now: number,
  ): void {
    const {upstreamId} = choice.upstream;
    const waitingTokens = Math.max(
      0,
      demand.promptTokens - choice.cachedTokens,
    );
    const key = keyOf(demand.attemptId, upstreamId);
    this.frontOf(front, now).requests.set(key, {
      attemptId: demand.attemptId,
      upstreamId,
      waitingTokens,
      priority: demand.priority,
    });
    this.prefixes.note(upstreamId, demand.parts, now);
  }

  /** Notes that the upstream produces: it took `elapsed` to read `tokens`. */
  began(
    front: string,
    {attemptId, upstreamId}: PlacedAttempt,
    tokens: number,
    elapsed: number,
  ): void {
    const requests = this.fronts.get(front)?.requests;
    const key = keyOf(attemptId, upstreamId);
    const request = requests?.get(key);
    if (requests === undefined || request === undefined) {
      return;
    }
    this.speeds.learn(upstreamId, tokens, elapsed);
    requests.set(key, {...request, waitingTokens: 0});
  }

  /** Notes that a request is no longer at its upstream. */
  ended(front: string, {attemptId, upstreamId}: PlacedAttempt): void {
    this.fronts.get(front)?.requests.delete(keyOf(attemptId, upstreamId));
  }

  /** Replaces what is known of a front by what it says itself. */
  renew(front: string, requests: readonly PlacedRequest[], now: number): void {
    this.fronts.set(front, {
      requests: new Map(
        requests.map(one => [keyOf(one.attemptId, one.upstreamId), one]),
      ),
      heardAt: now,
    });
  }

  /** The requests of `front`. */
  requestsOf(front: string): readonly PlacedRequest[] {
    return [...(this.fronts.get(front)?.requests.values() ?? [])];
  }

  /** Work under way by upstream. */
  loads(now: number): ReadonlyMap<string, PlacementLoad> {
    const loads = new Map<string, MutableLoad>();
    for (const [front, {requests, heardAt}] of this.fronts) {
      if (now - heardAt > FRONT_SILENCE_MILLISECONDS && requests.size === 0) {
        this.fronts.delete(front);
        continue;
      }
      for (const request of requests.values()) {
        addToLoad(loads, request);
      }
    }
    return loads;
  }

  /** Drops the requests of fronts that have been silent, but for `own`. */
  forgetSilent(own: string, now: number): void {
    for (const [front, {heardAt}] of this.fronts) {
      if (front !== own && now - heardAt > FRONT_SILENCE_MILLISECONDS) {
        this.fronts.delete(front);
      }
    }
  }

  /** Forgets what an upstream had read: it left or started again. */
  forgetUpstream(upstreamId: string): void {
    this.prefixes.forget(upstreamId);
    this.speeds.forget(upstreamId);
  }

  private frontOf(front: string, now: number): Front {
    const known = this.fronts.get(front);
    if (known !== undefined) {
      known.heardAt = now;
      return known;
    }
    const fresh: Front = {requests: new Map(), heardAt: now};
    this.fronts.set(front, fresh);
    return fresh;
  }
}

const NO_LOAD: PlacementLoad = {running: 0, waitingTokens: new Map()};

/** A request may be placed twice for a moment, where two shards are asked. */
function keyOf(attemptId: string, upstreamId: string): string {
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
    const known = load.waitingTokens.get(priority) ?? 0;
    load.waitingTokens.set(priority, known + waitingTokens);
  }
}
