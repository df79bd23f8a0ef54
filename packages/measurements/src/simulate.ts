/**
 * Runs a workload over the fakes of the engines on virtual time, with the real
 * dispatcher or with a baseline in its place.
 */
import {
  chooseResumption,
  Dispatcher,
  type PermitAsk,
  recomputedTokens,
} from '@lacewingwinch/decisions';

import {
  EngineModel,
  type RunningStream,
  type WorkloadRequest,
} from './engine_model.js';
import {ENGINE_PLACES, type Shape, upstreamsOf} from './workload.js';

/** Who chooses the engine. */
export type Policy = 'dispatcher' | 'least-reported-load' | 'random';

/** How streams move from an engine that leaves. */
export type MovePolicy = 'cheapest' | 'prefill' | 'restart';

/** Engines that leave during a run. */
export interface Reclaim {
  /** Virtual milliseconds. */
  readonly at: number;
  readonly engineIds: readonly string[];
  readonly notice: number;
}

/** A run. */
export interface SimulationOptions {
  readonly shape: Shape;
  readonly requests: readonly WorkloadRequest[];
  readonly policy: Policy;
  readonly movePolicy: MovePolicy;
  readonly reclaims: readonly Reclaim[];
  readonly random: () => number;
  /** Milliseconds that an ask may wait at the dispatcher. */
  readonly maximumWait: number;
}

/** One answered request. */
export interface Answered {
  readonly request: WorkloadRequest;
  /** Milliseconds from arrival to the first token. */
  readonly firstToken: number;
  /** Mean milliseconds between two tokens. */
  readonly betweenTokens: number;
  readonly end: number;
}

/** What a run gave. */
export interface SimulationResult {
  readonly answered: readonly Answered[];
  readonly refused: number;
  readonly lost: number;
  readonly cost: number;
  readonly recomputed: number;
  readonly prefixHitRatio: number;
}

/** Virtual milliseconds between two load reports. */
const REPORT_PERIOD = 1000;

/** Virtual milliseconds between two ticks of the dispatcher. */
const TICK = 50;

/** Milliseconds before the reclaim at which streams move. */
const MOVE_LEAD = 1500;

/** Tokens of key-value cache that move in a millisecond. */
const CACHE_TOKENS_PER_MILLISECOND = 20;

/** Milliseconds between two hosts of one site. */
const NETWORK = 1.5;

/** One run of a workload. */
export class Simulation {
  private readonly dispatcher = new Dispatcher();
  private readonly engines: Map<string, EngineModel>;
  private readonly waiting = new Map<string, WorkloadRequest>();
  private readonly firstTokens = new Map<string, number>();
  private readonly produced = new Map<string, number>();
  private readonly imported = new Set<string>();
  /** Requests that wait inside an engine, for the baselines. */
  private readonly engineQueues = new Map<string, WorkloadRequest[]>();
  private readonly answered: Answered[] = [];
  private refused = 0;
  private lost = 0;
  private recomputed = 0;

  constructor(private readonly options: SimulationOptions) {
    const upstreams = upstreamsOf(options.shape);
    this.engines = new Map(
      upstreams.map(upstream => [upstream.id, new EngineModel(upstream)]),
    );
    this.dispatcher.handle(
      {kind: 'upstreams', upstreams, concurrency: ENGINE_PLACES},
      0,
    );
  }

  /** Runs until every request has an answer. */
  run(): SimulationResult {
    let now = 0;
    let arrivals = 0;
    let nextReport = 0;
    let nextTick = 0;
    const reclaimSteps = this.reclaimSteps();
    const {requests} = this.options;
    for (;;) {
      const nextArrival = requests[arrivals]?.arrival ?? Infinity;
      const nextEnd = this.nextEnd();
      const nextReclaim = reclaimSteps[0]?.at ?? Infinity;
      const isIdle =
        Math.min(nextArrival, nextEnd, nextReclaim) === Infinity &&
        this.waiting.size === 0;
      if (isIdle) {
        break;
      }
      now = Math.min(nextArrival, nextEnd, nextReclaim, nextReport, nextTick);
      this.engines.forEach(engine => engine.advance(now));
      this.endStreams(now);
      if (now >= nextReclaim) {
        reclaimSteps.shift()?.run(now);
      }
      if (now >= nextReport) {
        this.report();
        nextReport = now + REPORT_PERIOD;
      }
      if (now >= nextTick) {
        this.handle({kind: 'tick'}, now);
        this.renew(now);
        nextTick = now + TICK;
      }
      const request = requests[arrivals];
      if (request !== undefined && now >= nextArrival) {
        arrivals += 1;
        this.place(request, now);
      }
    }
    return this.result();
  }

  private result(): SimulationResult {
    const engines = [...this.engines.values()];
    const sum = (of: (engine: EngineModel) => number): number =>
      engines.reduce((total, engine) => total + of(engine), 0);
    return {
      answered: this.answered,
      refused: this.refused,
      lost: this.lost,
      cost: sum(engine => engine.cost),
      recomputed: this.recomputed,
      prefixHitRatio:
        sum(engine => engine.prefixHits) / sum(engine => engine.prefixBlocks),
    };
  }

  private nextEnd(): number {
    return Math.min(...[...this.engines.values()].map(one => one.nextEnd()));
  }

  private reclaimSteps(): {
    readonly at: number;
    readonly run: (now: number) => void;
  }[] {
    const steps = this.options.reclaims.flatMap(({at, engineIds, notice}) => [
      {
        at,
        run: (now: number) =>
          engineIds.forEach(upstreamId =>
            this.handle({kind: 'leaving', upstreamId}, now),
          ),
      },
      {
        at: at + Math.max(0, notice - MOVE_LEAD),
        run: (now: number) =>
          engineIds.forEach(id => this.moveStreams(id, at + notice, now)),
      },
    ]);
    return steps.sort((left, right) => left.at - right.at);
  }

  private place(request: WorkloadRequest, now: number): void {
    switch (this.options.policy) {
      case 'dispatcher':
        this.waiting.set(request.id, request);
        this.handle({kind: 'ask', ask: this.askFor(request, now)}, now);
        return;
      case 'random':
        this.enqueue(this.pickRandom(), request, now);
        return;
      case 'least-reported-load':
        this.enqueue(this.pickLeastReported(), request, now);
    }
  }

  private askFor(request: WorkloadRequest, now: number): PermitAsk {
    const isMoving = this.produced.has(request.id);
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
            this.start(effect.upstream.id, request, now);
          }
          break;
        case 'refuse':
          if (request !== undefined && this.produced.has(request.id)) {
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

  private start(engineId: string, request: WorkloadRequest, now: number): void {
    const producedBefore = this.produced.get(request.id) ?? 0;
    const stream = this.engines
      .get(engineId)
      ?.start(request, producedBefore, this.imported.delete(request.id), now);
    if (stream !== undefined && !this.firstTokens.has(request.id)) {
      this.firstTokens.set(request.id, stream.firstToken + 4 * NETWORK);
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
    const firstToken = this.firstTokens.get(request.id) ?? now;
    this.answered.push({
      request,
      firstToken: firstToken - request.arrival,
      betweenTokens: (now - firstToken) / Math.max(1, request.outputTokens - 1),
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
    while (engine.streams.length < ENGINE_PLACES && queue.length > 0) {
      const next = queue.shift();
      if (next !== undefined) {
        this.start(engine.upstream.id, next, now);
      }
    }
  }

  private report(): void {
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

  private moveStreams(engineId: string, gone: number, now: number): void {
    const engine = this.engines.get(engineId);
    if (engine === undefined) {
      return;
    }
    const streams = [...engine.streams].sort(
      (left, right) => engine.producedBy(right) - engine.producedBy(left),
    );
    engine.streams.length = 0;
    engine.isGone = true;
    for (const stream of streams) {
      this.moveStream(engine, stream, gone, now);
    }
  }

  private moveStream(
    engine: EngineModel,
    stream: RunningStream,
    gone: number,
    now: number,
  ): void {
    const {request} = stream;
    const producedTokens = engine.producedBy(stream);
    const facts = {promptTokens: request.promptTokens, producedTokens};
    this.handle({kind: 'release', permitId: request.id}, now);
    if (this.options.movePolicy === 'restart') {
      this.recomputed += producedTokens + request.promptTokens;
      this.produced.set(request.id, 0);
    } else {
      const way = chooseResumption({
        ...facts,
        sourceAnswers: true,
        canMoveCache: this.options.movePolicy === 'cheapest',
        noticeLeft: gone - now,
        cacheTokensPerMillisecond: CACHE_TOKENS_PER_MILLISECOND,
      });
      this.recomputed += recomputedTokens(way, facts);
      this.produced.set(request.id, producedTokens);
      if (way.kind === 'import-cache') {
        this.imported.add(request.id);
      }
    }
    this.place(request, now);
  }
}
