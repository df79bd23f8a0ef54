/**
 * Runs a workload on simulated engines in virtual time, with the production
 * dispatcher or a baseline policy.
 */
import {
  chooseResumption,
  Dispatcher,
  type PermitRequest,
  recomputedTokens,
} from '@lacewingwinch/decisions';

import {
  EngineModel,
  type RunningStream,
  type WorkloadRequest,
} from './engine_model.js';
import {ENGINE_SLOTS, upstreamsOf, type WorkloadShape} from './workload.js';

/** How the engine of a request is chosen. */
export type DispatchPolicy = 'dispatcher' | 'least-reported-load' | 'random';

/**
 * How streams move away from a leaving engine. `cheapest`: with their cache or
 * by prefill, whichever is cheaper and completes in time. `prefill`: never with
 * their cache. `restart`: from the first token.
 */
export type MovePolicy = 'cheapest' | 'prefill' | 'restart';

/** Reclaim of engines during a run. */
export interface Reclaim {
  /** Virtual time of the notice, in milliseconds. */
  readonly noticeTime: number;
  readonly engineIds: readonly string[];
  readonly noticeMilliseconds: number;
}

/** Options of a run. */
export interface SimulationOptions {
  readonly shape: WorkloadShape;
  readonly requests: readonly WorkloadRequest[];
  readonly policy: DispatchPolicy;
  readonly movePolicy: MovePolicy;
  readonly reclaims: readonly Reclaim[];
  readonly random: () => number;
  /** Milliseconds that a permit request may wait at the dispatcher. */
  readonly maximumWait: number;
}

/** An answered request. */
export interface AnsweredRequest {
  readonly request: WorkloadRequest;
  /** Milliseconds from arrival to the first token. */
  readonly firstTokenMilliseconds: number;
  /** Mean milliseconds between two tokens. */
  readonly millisecondsBetweenTokens: number;
  /** Virtual time of the last token, in milliseconds. */
  readonly end: number;
}

/** Result of a run. */
export interface SimulationResult {
  readonly answered: readonly AnsweredRequest[];
  /** New requests that the dispatcher refused. */
  readonly refused: number;
  /** Requests whose stream the dispatcher refused to move. */
  readonly lost: number;
  /** Cost of all engines, in the unit of their hourly prices. */
  readonly cost: number;
  /** Tokens recomputed for streams that moved. */
  readonly recomputedTokens: number;
  readonly prefixHitRatio: number;
}

/** Virtual milliseconds between two load reports. */
const LOAD_REPORT_PERIOD_MILLISECONDS = 1000;

/** Virtual milliseconds between two ticks of the dispatcher. */
const TICK_PERIOD_MILLISECONDS = 50;

/** Milliseconds before the reclaim at which streams move away. */
const MOVE_LEAD_MILLISECONDS = 1500;

/** Tokens of key-value cache transferred per millisecond. */
const CACHE_TOKENS_PER_MILLISECOND = 20;

/** Milliseconds that a message takes between two hosts of one site. */
const NETWORK_DELAY_MILLISECONDS = 1.5;

/** One run of a workload. */
export class Simulation {
  private readonly dispatcher = new Dispatcher();
  private readonly engines: Map<string, EngineModel>;
  /** Requests whose permit request waits at the dispatcher. */
  private readonly waiting = new Map<string, WorkloadRequest>();
  private readonly firstTokenTimes = new Map<string, number>();
  /** Tokens that a moved request had produced before its move. */
  private readonly producedTokensByRequest = new Map<string, number>();
  private readonly requestsWithImportedCache = new Set<string>();
  /** Requests queued at an engine; only the baselines queue there. */
  private readonly engineQueues = new Map<string, WorkloadRequest[]>();
  private readonly answered: AnsweredRequest[] = [];
  private refused = 0;
  private lost = 0;
  private recomputed = 0;

  constructor(private readonly options: SimulationOptions) {
    const upstreams = upstreamsOf(options.shape);
    this.engines = new Map(
      upstreams.map(upstream => [upstream.id, new EngineModel(upstream)]),
    );
    this.dispatcher.handle(
      {kind: 'upstreams', upstreams, concurrency: ENGINE_SLOTS},
      0,
    );
  }

  /** Runs until every request is answered, refused or lost. */
  run(): SimulationResult {
    let now = 0;
    let arrivedCount = 0;
    let nextReportTime = 0;
    let nextTickTime = 0;
    const reclaimSteps = this.reclaimSteps();
    const {requests} = this.options;
    for (;;) {
      const nextArrivalTime = requests[arrivedCount]?.arrivalTime ?? Infinity;
      const nextEndTime = this.nextEndTime();
      const nextReclaimTime = reclaimSteps[0]?.at ?? Infinity;
      const isComplete =
        Math.min(nextArrivalTime, nextEndTime, nextReclaimTime) === Infinity &&
        this.waiting.size === 0;
      if (isComplete) {
        break;
      }
      now = Math.min(
        nextArrivalTime,
        nextEndTime,
        nextReclaimTime,
        nextReportTime,
        nextTickTime,
      );
      this.engines.forEach(engine => engine.advance(now));
      this.endStreams(now);
      if (now >= nextReclaimTime) {
        reclaimSteps.shift()?.run(now);
      }
      if (now >= nextReportTime) {
        this.reportLoads();
        nextReportTime = now + LOAD_REPORT_PERIOD_MILLISECONDS;
      }
      if (now >= nextTickTime) {
        this.handle({kind: 'tick'}, now);
        this.renew(now);
        nextTickTime = now + TICK_PERIOD_MILLISECONDS;
      }
      const request = requests[arrivedCount];
      if (request !== undefined && now >= nextArrivalTime) {
        arrivedCount += 1;
        this.assignEngine(request, now);
      }
    }
    return this.result();
  }

  private result(): SimulationResult {
    const engines = [...this.engines.values()];
    const sum = (pick: (engine: EngineModel) => number): number =>
      engines.reduce((total, engine) => total + pick(engine), 0);
    return {
      answered: this.answered,
      refused: this.refused,
      lost: this.lost,
      cost: sum(engine => engine.cost),
      recomputedTokens: this.recomputed,
      prefixHitRatio:
        sum(engine => engine.prefixHitBlocks) /
        sum(engine => engine.prefixBlocks),
    };
  }

  private nextEndTime(): number {
    return Math.min(
      ...[...this.engines.values()].map(engine => engine.nextEndTime()),
    );
  }

  private reclaimSteps(): {
    readonly at: number;
    readonly run: (now: number) => void;
  }[] {
    const steps = this.options.reclaims.flatMap(
      ({noticeTime, engineIds, noticeMilliseconds}) => [
        {
          at: noticeTime,
          run: (now: number) =>
            engineIds.forEach(upstreamId =>
              this.handle({kind: 'leaving', upstreamId}, now),
            ),
        },
        {
          at:
            noticeTime +
            Math.max(0, noticeMilliseconds - MOVE_LEAD_MILLISECONDS),
          run: (now: number) =>
            engineIds.forEach(id =>
              this.moveStreams(id, noticeTime + noticeMilliseconds, now),
            ),
        },
      ],
    );
    return steps.sort((left, right) => left.at - right.at);
  }

  private assignEngine(request: WorkloadRequest, now: number): void {
    switch (this.options.policy) {
      case 'dispatcher':
        this.waiting.set(request.id, request);
        this.handle(
          {kind: 'ask', ask: this.permitRequestFor(request, now)},
          now,
        );
        return;
      case 'random':
        this.enqueue(this.pickRandom(), request, now);
        return;
      case 'least-reported-load':
        this.enqueue(this.pickLeastReported(), request, now);
    }
  }

  private permitRequestFor(
    request: WorkloadRequest,
    now: number,
  ): PermitRequest {
    const isMoving = this.producedTokensByRequest.has(request.id);
    const maximumWait = isMoving ? 60_000 : this.options.maximumWait;
    return {
      permitId: request.id,
      front: 'front',
      service: 'writer',
      workspace: request.workspace,
      priority: isMoving ? 9 : request.priority,
      deadline: now + 600_000,
      maximumWait,
      prefixes: request.prefixes,
      hostClasses: ['reclaimable', 'on-demand'],
      failureDomains: [],
      excluded: [],
      isAlone: false,
    };
  }

  private handle(
    message: Parameters<Dispatcher['handle']>[0],
    now: number,
  ): void {
    for (const effect of this.dispatcher.handle(message, now)) {
      const request = this.waiting.get(effect.permitId);
      this.waiting.delete(effect.permitId);
      switch (effect.kind) {
        case 'grant':
          if (request !== undefined) {
            this.startStream(effect.upstream.id, request, now);
          }
          break;
        case 'refuse':
          if (
            request !== undefined &&
            this.producedTokensByRequest.has(request.id)
          ) {
            this.lost += 1;
          } else {
            this.refused += 1;
          }
      }
    }
  }

  private renew(now: number): void {
    const permits = [...this.engines.values()].flatMap(engine =>
      engine.streams.map(({request}) => ({
        permitId: request.id,
        upstreamId: engine.upstream.id,
        isAlone: false,
        workspace: request.workspace,
      })),
    );
    if (this.options.policy === 'dispatcher') {
      this.handle({kind: 'renew', front: 'front', permits}, now);
    }
  }

  private startStream(
    engineId: string,
    request: WorkloadRequest,
    now: number,
  ): void {
    const producedBefore = this.producedTokensByRequest.get(request.id) ?? 0;
    const stream = this.engines
      .get(engineId)
      ?.start(
        request,
        producedBefore,
        this.requestsWithImportedCache.delete(request.id),
        now,
      );
    if (stream !== undefined && !this.firstTokenTimes.has(request.id)) {
      this.firstTokenTimes.set(
        request.id,
        stream.firstTokenTime + 4 * NETWORK_DELAY_MILLISECONDS,
      );
    }
  }

  private endStreams(now: number): void {
    for (const engine of this.engines.values()) {
      for (const {request} of engine.takeEnded()) {
        this.end(request, now);
        this.startQueued(engine, now);
      }
    }
  }

  private end(request: WorkloadRequest, now: number): void {
    const firstTokenTime = this.firstTokenTimes.get(request.id) ?? now;
    this.answered.push({
      request,
      firstTokenMilliseconds: firstTokenTime - request.arrivalTime,
      millisecondsBetweenTokens:
        (now - firstTokenTime) / Math.max(1, request.outputTokens - 1),
      end: now,
    });
    if (this.options.policy === 'dispatcher') {
      this.handle({kind: 'release', permitId: request.id}, now);
    }
  }

  private enqueue(
    engineId: string,
    request: WorkloadRequest,
    now: number,
  ): void {
    const queue = this.engineQueues.get(engineId) ?? [];
    queue.push(request);
    this.engineQueues.set(engineId, queue);
    const engine = this.engines.get(engineId);
    if (engine !== undefined) {
      this.startQueued(engine, now);
    }
  }

  private startQueued(engine: EngineModel, now: number): void {
    const queue = this.engineQueues.get(engine.upstream.id) ?? [];
    while (engine.streams.length < ENGINE_SLOTS && queue.length > 0) {
      const next = queue.shift();
      if (next !== undefined) {
        this.startStream(engine.upstream.id, next, now);
      }
    }
  }

  private reportLoads(): void {
    for (const engine of this.engines.values()) {
      const queued = this.engineQueues.get(engine.upstream.id)?.length ?? 0;
      engine.reportedLoad = engine.streams.length + queued;
    }
  }

  private pickRandom(): string {
    const ids = [...this.engines.keys()];
    return ids[Math.floor(this.options.random() * ids.length)] ?? '';
  }

  private pickLeastReported(): string {
    const engines = [...this.engines.values()];
    const least = Math.min(...engines.map(({reportedLoad}) => reportedLoad));
    const lowest = engines.filter(({reportedLoad}) => reportedLoad === least);
    const index = Math.floor(this.options.random() * lowest.length);
    return lowest[index]?.upstream.id ?? '';
  }

  private moveStreams(
    engineId: string,
    reclaimTime: number,
    now: number,
  ): void {
    const engine = this.engines.get(engineId);
    if (engine === undefined) {
      return;
    }
    const streams = [...engine.streams].sort(
      (left, right) =>
        engine.producedTokensOf(right) - engine.producedTokensOf(left),
    );
    engine.streams.length = 0;
    engine.isGone = true;
    for (const stream of streams) {
      this.moveStream(engine, stream, reclaimTime, now);
    }
  }

  private moveStream(
    engine: EngineModel,
    stream: RunningStream,
    reclaimTime: number,
    now: number,
  ): void {
    const {request} = stream;
    const producedTokens = engine.producedTokensOf(stream);
    const tokenCounts = {promptTokens: request.promptTokens, producedTokens};
    this.handle({kind: 'release', permitId: request.id}, now);
    if (this.options.movePolicy === 'restart') {
      this.recomputed += producedTokens + request.promptTokens;
      this.producedTokensByRequest.set(request.id, 0);
    } else {
      const resumption = chooseResumption({
        ...tokenCounts,
        isSourceReachable: true,
        canMoveCache: this.options.movePolicy === 'cheapest',
        noticeMillisecondsLeft: reclaimTime - now,
        cacheTokensPerMillisecond: CACHE_TOKENS_PER_MILLISECOND,
      });
      this.recomputed += recomputedTokens(resumption, tokenCounts);
      this.producedTokensByRequest.set(request.id, producedTokens);
      if (resumption.kind === 'import-cache') {
        this.requestsWithImportedCache.add(request.id);
      }
    }
    this.assignEngine(request, now);
  }
}
