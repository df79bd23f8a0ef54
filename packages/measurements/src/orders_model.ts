/**
 * A model in virtual time of requests at engines that are ordered by one of
 * several rules, with the production decisions on placement and orders.
 */
import {
  decideLoadShedding,
  type EngineChoice,
  type EnginePlan,
  OfferedLoads,
  PlacementTable,
  ServiceLoadCounter,
} from '@lacewingwinch/decisions';

import type {EngineEvent, EngineRequest} from './engine_request.js';
import {EventQueue} from './event_queue.js';
import {type FleetEngine, OrderedFleet, SERVICE} from './ordered_fleet.js';
import {OrderingRule, type OrdersPolicy} from './ordering_rule.js';
import {
  type OrdersPattern,
  RECLAIM_NOTICE_MILLISECONDS,
  RUN_SECONDS,
  type Trouble,
} from './orders_patterns.js';
import {
  makeOrderedRequest,
  type ModelRequest,
  usualRate,
} from './orders_requests.js';
import {exponential, randomFrom} from './random_numbers.js';

/** What a run showed. */
export interface OrdersResult {
  /** Price of the engines; one on-demand engine costs 1 a second. */
  readonly cost: number;
  readonly requests: number;
  readonly onTime: number;
  readonly late: number;
  /** Requests that were refused or lost. */
  readonly failed: number;
  /** Lowest share of requests on time in two seconds. */
  readonly worstWindow: number;
  /** Prompt tokens of shared parts that some engine had read before. */
  readonly rereadTokens: number;
  /** The plan of each round. */
  readonly plans: readonly EnginePlan[];
  readonly calls: number;
}

/** Time from the start of the system until requests arrive. */
const LEAD_MILLISECONDS = 12_000;

const ROUND_MILLISECONDS = 900;
const REPORT_MILLISECONDS = 1000;
const WINDOW_MILLISECONDS = 2000;

/** Time for which a shared part stays in a cache after its last use. */
const CACHE_RETENTION_MILLISECONDS = 20_000;

interface PlacedRequest {
  readonly request: ModelRequest;
  readonly choice: EngineChoice;
  readonly placedAt: number;
  begunAt: number | undefined;
}

interface WindowCounts {
  requests: number;
  onTime: number;
}

/** One run of the model. */
export class OrdersModel {
  private readonly events = new EventQueue();
  private readonly random: () => number;
  private readonly arrivals: () => number;
  private readonly fleet: OrderedFleet;
  private readonly table = new PlacementTable(CACHE_RETENTION_MILLISECONDS);
  private readonly counter = new ServiceLoadCounter('front');
  private readonly offered = new OfferedLoads();
  private readonly placed = new Map<string, PlacedRequest>();
  private readonly windows = new Map<number, WindowCounts>();
  private readonly readParts = new Set<string>();
  private readonly rule: OrderingRule;
  private readonly counts = {requests: 0, onTime: 0, late: 0, failed: 0};
  private rereadTokens = 0;

  constructor(
    private readonly pattern: OrdersPattern,
    policy: OrdersPolicy,
    seed: number,
  ) {
    this.random = randomFrom(seed);
    // Of their own, so that arrivals do not depend on the policy.
    this.arrivals = randomFrom(seed + 1000);
    this.fleet = new OrderedFleet(
      this.events,
      this.random,
      (engine, now) => this.loseRequests(engine, now),
      now => this.events.at(now + 1, at => this.rule.runRound(at)),
    );
    this.rule = new OrderingRule(policy, this.fleet, this.offered);
  }

  /** Runs to the end. */
  result(): OrdersResult {
    this.pattern.troubles.forEach(trouble => this.schedule(trouble));
    this.every(ROUND_MILLISECONDS, now => this.rule.runRound(now));
    this.every(REPORT_MILLISECONDS, now => {
      this.counter
        .reports([SERVICE])
        .forEach(report => this.offered.merge(report, now));
      this.fleet.charge(REPORT_MILLISECONDS);
    });
    this.scheduleArrival(LEAD_MILLISECONDS);
    this.events.runUntil(RUN_SECONDS * 1000);
    const shares = [...this.windows.values()].map(
      ({requests, onTime}) => onTime / Math.max(1, requests),
    );
    return {
      ...this.counts,
      cost: this.fleet.cost,
      worstWindow: Math.min(...shares),
      rereadTokens: this.rereadTokens,
      plans: this.rule.plans,
      calls: this.rule.calls,
    };
  }

  private every(milliseconds: number, action: (now: number) => void): void {
    this.events.at(milliseconds, now => {
      action(now);
      this.repeat(now, milliseconds, action);
    });
  }

  private repeat(
    now: number,
    milliseconds: number,
    action: (now: number) => void,
  ): void {
    this.events.at(now + milliseconds, next => {
      action(next);
      this.repeat(next, milliseconds, action);
    });
  }

  private schedule(trouble: Trouble): void {
    const at = trouble.atSeconds * 1000;
    switch (trouble.kind) {
      case 'crash':
        this.events.at(at, this.fleet.crash(trouble.share));
        return;
      case 'reclaim':
        this.events.at(
          at,
          this.fleet.reclaim(
            trouble.domain,
            RECLAIM_NOTICE_MILLISECONDS,
            trouble.drySeconds * 1000,
          ),
        );
        return;
      case 'slow':
        this.events.at(at, this.fleet.slowDown(trouble.share, trouble.factor));
        return;
      case 'orders':
        this.events.at(at, () => {
          this.fleet.orderFault = trouble.fault;
        });
        return;
      case 'holder-killed':
        this.events.at(at, now =>
          this.rule.passOn(now + trouble.seconds * 1000),
        );
    }
  }

  private scheduleArrival(now: number): void {
    const load = this.pattern.loadAt(now / 1000);
    const rate = usualRate() * load;
    this.events.at(now + exponential(this.arrivals, rate), next => {
      this.arrive(next);
      this.scheduleArrival(next);
    });
  }

  private arrive(now: number): void {
    const {requests} = this.counts;
    const request = makeOrderedRequest(requests, now, this.arrivals);
    this.counts.requests += 1;
    this.windowOf(now).requests += 1;
    this.counter.countRequest(SERVICE);
    this.send(request, now);
  }

  private send(request: ModelRequest, now: number): void {
    const {kind} = request;
    const choice = this.table.place(
      'front',
      {
        attemptId: request.id,
        parts: request.parts,
        promptTokens: request.promptTokens,
        priority: request.priority,
      },
      this.fleet.listed().filter(({isLeaving}) => !isLeaving),
      'north',
      now,
    );
    const bounds = {
      objectiveMilliseconds: kind.objective,
      millisecondsLeft: request.arrivedAt + kind.deadline - now,
    };
    const isAccepted =
      choice !== undefined &&
      decideLoadShedding(choice, bounds, this.random()).kind === 'send';
    const engine = choice && this.fleet.engines.get(choice.upstream.upstreamId);
    engine?.model.advance(now).forEach(event => this.onEvent(event));
    if (!isAccepted || engine?.model.submit(request, now) !== true) {
      this.counts.failed += 1;
      this.counter.countRefusal(SERVICE);
      if (choice !== undefined) {
        const {upstreamId} = choice.upstream;
        this.table.recordEnd('front', {attemptId: request.id, upstreamId});
      }
      return;
    }
    this.counter.countPlacement(SERVICE, request.promptTokens, choice);
    this.placed.set(request.id, {
      request,
      choice,
      placedAt: now,
      begunAt: undefined,
    });
    this.wake(engine);
  }

  /** Advances an engine to its next event. */
  private wake(engine: FleetEngine): void {
    const {model} = engine;
    const at = model.nextEventTime();
    if (at === Infinity) {
      return;
    }
    this.events.at(at, now => {
      if (this.fleet.engines.get(engine.upstream.upstreamId) !== engine) {
        return;
      }
      const events = model.advance(now);
      events.forEach(event => this.onEvent(event));
      if (events.length > 0 || model.nextEventTime() > now) {
        this.wake(engine);
      }
    });
  }

  private onEvent({
    kind,
    request,
    time,
    readTokens,
  }: EngineEvent<EngineRequest>): void {
    const placed = this.placed.get(request.id);
    if (placed === undefined) {
      return;
    }
    const {upstreamId} = placed.choice.upstream;
    const attempt = {attemptId: request.id, upstreamId};
    switch (kind) {
      case 'first-token':
        placed.begunAt = time;
        this.table.recordFirstOutput(
          'front',
          attempt,
          placed.choice.tokensToRead,
          time - placed.placedAt,
        );
        this.recordStart(placed, time, readTokens);
        return;
      case 'ended':
        this.placed.delete(request.id);
        this.table.recordEnd('front', attempt);
        this.counter.countOutput(SERVICE, time - (placed.begunAt ?? time));
    }
  }

  private recordStart(
    {request, choice, placedAt}: PlacedRequest,
    now: number,
    readTokens: number,
  ): void {
    const {arrivedAt, kind, promptTokens} = request;
    const isLate = now - arrivedAt > kind.objective;
    this.counter.countStart(SERVICE, {
      promptTokens,
      placed: choice,
      elapsedMilliseconds: now - placedAt,
      latencyMilliseconds: now - arrivedAt,
      objectiveMilliseconds: kind.objective,
    });
    this.counts.onTime += isLate ? 0 : 1;
    this.counts.late += isLate ? 1 : 0;
    this.windowOf(arrivedAt).onTime += isLate ? 0 : 1;
    const [shared] = request.parts;
    if (shared !== undefined && readTokens >= shared.tokens) {
      this.rereadTokens += this.readParts.has(shared.partId)
        ? shared.tokens
        : 0;
      this.readParts.add(shared.partId);
    }
  }

  /** Fails the requests at an engine that ended. */
  private loseRequests({model, upstream}: FleetEngine, now: number): void {
    model.advance(now).forEach(event => this.onEvent(event));
    const {upstreamId} = upstream;
    for (const [id, {choice, begunAt}] of this.placed) {
      if (choice.upstream.upstreamId === upstreamId) {
        this.placed.delete(id);
        this.table.recordEnd('front', {attemptId: id, upstreamId});
        this.counts.failed += begunAt === undefined ? 1 : 0;
      }
    }
    this.table.forgetUpstream(upstreamId);
  }

  private windowOf(now: number): WindowCounts {
    const window = Math.floor(now / WINDOW_MILLISECONDS);
    const counts = this.windows.get(window) ?? {requests: 0, onTime: 0};
    this.windows.set(window, counts);
    return counts;
  }
}
