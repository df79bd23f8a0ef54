/**
 * Runs a workload on simulated engines in virtual time, with the production
 * dispatcher or a baseline policy.
 */
import {
  chooseResumption,
  Dispatcher,
  type PermitRequest,
  recomputedTokens,
  type Upstream,
} from '@lacewingwinch/decisions';

import {EngineModel} from './engine_model.js';
import type {EngineEvent} from './engine_request.js';
import type {
  AnsweredRequest,
  SimulationOptions,
  SimulationResult,
} from './simulation_options.js';
import {ENGINE_PROFILE, upstreamsOf, type WorkloadRequest} from './workload.js';

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

/** An engine of a run. */
interface SimulatedEngine {
  readonly upstream: Upstream;
  readonly model: EngineModel<WorkloadRequest>;
  /** Running and queued requests at the last load report. */
  reportedLoad: number;
}

/** One run of a workload. */
export class Simulation {
  private readonly dispatcher = new Dispatcher();
  private readonly engines: Map<string, SimulatedEngine>;
  /** Requests whose permit request waits at the dispatcher. */
  private readonly waiting = new Map<string, WorkloadRequest>();
  private readonly firstTokenTimes = new Map<string, number>();
  /** Tokens that a moved request had produced before its move. */
  private readonly producedTokensByRequest = new Map<string, number>();
  private readonly requestsWithImportedCache = new Set<string>();
  private readonly answered: AnsweredRequest[] = [];
  private refused = 0;
  private lost = 0;
  private recomputed = 0;

  constructor(private readonly options: SimulationOptions) {
    const upstreams = upstreamsOf(options.shape);
    this.engines = new Map(
      upstreams.map(upstream => [
        upstream.id,
        {
          upstream,
          model: new EngineModel(ENGINE_PROFILE, options.random, 0),
          reportedLoad: 0,
        },
      ]),
    );
    this.dispatcher.handle(
      {kind: 'upstreams', upstreams, concurrency: ENGINE_PROFILE.slots},
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
      const nextEngineTime = this.nextEngineTime();
      const nextReclaimTime = reclaimSteps[0]?.at ?? Infinity;
      const isComplete =
        Math.min(nextArrivalTime, nextEngineTime, nextReclaimTime) ===
          Infinity && this.waiting.size === 0;
      if (isComplete) {
        break;
      }
      now = Math.min(
        nextArrivalTime,
        nextEngineTime,
        nextReclaimTime,
        nextReportTime,
        nextTickTime,
      );
      for (const {model} of this.engines.values()) {
        model.advance(now).forEach(event => this.onEngineEvent(event));
      }
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
    const sum = (pick: (engine: SimulatedEngine) => number): number =>
      engines.reduce((total, engine) => total + pick(engine), 0);
    return {
      answered: this.answered,
      refused: this.refused,
      lost: this.lost,
      cost: sum(
        ({model, upstream}) =>
          (model.busyMilliseconds * upstream.pricePerHour) / 3_600_000,
      ),
      recomputedTokens: this.recomputed,
      prefixHitRatio:
        sum(({model}) => model.cachedTokens) /
        sum(({model}) => model.promptTokens),
    };
  }

  private nextEngineTime(): number {
    let earliest = Infinity;
    for (const {model} of this.engines.values()) {
      earliest = Math.min(earliest, model.nextEventTime());
    }
    return earliest;
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
          {kind: 'request', request: this.permitRequestFor(request, now)},
          now,
        );
        return;
      case 'random':
        this.startStream(this.pickRandom(), request, now);
        return;
      case 'least-reported-load':
        this.startStream(this.pickLeastReported(), request, now);
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
    const permits = [...this.engines.values()].flatMap(({model, upstream}) =>
      model.requests.map(request => ({
        permitId: request.id,
        upstreamId: upstream.id,
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
    this.engines.get(engineId)?.model.submit(request, now, {
      producedTokens: this.producedTokensByRequest.get(request.id) ?? 0,
      hasImportedCache: this.requestsWithImportedCache.delete(request.id),
    });
  }

  private onEngineEvent(event: EngineEvent<WorkloadRequest>): void {
    const {request, time} = event;
    switch (event.kind) {
      case 'first-token':
        if (!this.firstTokenTimes.has(request.id)) {
          this.firstTokenTimes.set(
            request.id,
            time + 4 * NETWORK_DELAY_MILLISECONDS,
          );
        }
        return;
      case 'ended':
        this.end(request, time);
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

  private reportLoads(): void {
    for (const engine of this.engines.values()) {
      engine.reportedLoad = engine.model.running + engine.model.queued;
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
    const {model} = engine;
    const produced = model.requests
      .map(request => ({
        request,
        tokens: model.producedTokensOf(request.id) ?? 0,
      }))
      .sort((left, right) => right.tokens - left.tokens);
    produced.forEach(({request}) => model.cancel(request.id, now));
    for (const {request, tokens} of produced) {
      this.moveStream(request, tokens, reclaimTime, now);
    }
  }

  private moveStream(
    request: WorkloadRequest,
    producedTokens: number,
    reclaimTime: number,
    now: number,
  ): void {
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
