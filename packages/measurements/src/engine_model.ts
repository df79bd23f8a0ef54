/**
 * A simulated model engine in virtual time: continuous batching, in which each
 * request slows down the steps of all; prompts that are read in chunks between
 * these steps, the most urgent ones first; and memory that running requests and
 * cached prompt parts share. Between two events, work progresses evenly.
 */
import type {PromptPart} from '@lacewingwinch/decisions';

import {
  type EngineProfile,
  type EngineReport,
  LaggingReports,
  NoisePeriods,
} from './engine_profile.js';
import {
  byUrgency,
  type EngineEvent,
  type EngineRequest,
  type EngineRun,
  type EngineStart,
  NEW_REQUEST,
} from './engine_request.js';
import {PrefixCacheModel} from './prefix_cache_model.js';

/** Smallest difference of times and steps that counts. */
const PRECISION = 1e-6;

/** A simulated engine. */
export class EngineModel<Request extends EngineRequest = EngineRequest> {
  /** Milliseconds with at least one request. */
  busyMilliseconds = 0;
  /** Prompt tokens of all requests that started here. */
  promptTokens = 0;
  /** Those of them that were cached. */
  cachedTokens = 0;
  private readonly cache = new PrefixCacheModel();
  private readonly noise: NoisePeriods;
  private readonly reports: LaggingReports;
  /** Waiting and running requests, the most urgent and oldest first. */
  private queue: EngineRun<Request>[] = [];
  private reading: EngineRun<Request>[] = [];
  private decoding: EngineRun<Request>[] = [];
  private readonly readyAt: number;
  private time: number;
  /** Decoding steps since the start; a fraction within a step. */
  private steps = 0;
  private submittedCount = 0;
  /** Duration of all work as a multiple of that of a sound engine. */
  private slowdown = 1;

  constructor(
    readonly profile: EngineProfile,
    random: () => number,
    now: number,
  ) {
    this.noise = new NoisePeriods(profile.noise, random, now);
    this.reports = new LaggingReports(profile.reportLagMilliseconds);
    this.time = now;
    this.readyAt = now + profile.startupMilliseconds;
  }

  /**
   * Lets all work take `factor` times as long from now on, up to which the
   * engine was advanced.
   */
  slowDown(factor: number): void {
    this.slowdown = factor;
  }

  /** Number of requests that run. */
  get running(): number {
    return this.reading.length + this.decoding.length;
  }

  /** Number of requests that wait for a slot or for memory. */
  get queued(): number {
    return this.queue.length;
  }

  /** Prompt tokens still to read for running and waiting requests. */
  get unreadTokens(): number {
    return sum([...this.reading, ...this.queue], run => run.unreadTokens);
  }

  /** Requests that run or wait, in no particular order. */
  get requests(): readonly Request[] {
    return this.runs().map(({request}) => request);
  }

  /** Returns whether the engine has started at `now`. */
  isReady(now: number): boolean {
    return now >= this.readyAt;
  }

  /** Returns the load that the engine reports at `now`. */
  reportAt(now: number): EngineReport {
    return this.reports.reportAt(now);
  }

  /** Returns the prompt tokens of `parts` that need not be read here. */
  cachedTokensOf(parts: readonly PromptPart[]): number {
    return this.cache.cachedTokens(parts);
  }

  /**
   * Returns the tokens of output that this and earlier engines produced for a
   * request; undefined if it is not here.
   */
  producedTokensOf(requestId: string): number | undefined {
    const run = this.runs().find(({request}) => request.id === requestId);
    if (run === undefined) {
      return undefined;
    }
    const steps = this.steps - (run.firstTokenStep - 1);
    return Math.floor(run.start.producedTokens + Math.max(0, steps));
  }

  /**
   * Accepts a request at `now`, up to which the engine was advanced. Returns
   * whether it is accepted: the engine has started, and its queue is not full.
   */
  submit(request: Request, now: number, start = NEW_REQUEST): boolean {
    const isFull =
      this.running >= this.profile.slots &&
      this.queue.length >= this.profile.queueCapacity;
    if (isFull || !this.isReady(now) || !this.canEverHold(request)) {
      return false;
    }
    const run: EngineRun<Request> = {
      request,
      start,
      order: this.submittedCount,
      reservedTokens: 0,
      unreadTokens: this.missingTokens(request, start),
      readTokens: 0,
      firstTokenStep: Infinity,
      lastTokenStep: Infinity,
      hasFirstToken: false,
    };
    this.submittedCount += 1;
    this.queue.push(run);
    this.queue.sort(byUrgency);
    this.startQueued(now);
    this.recordReport(now);
    return true;
  }

  /** Removes a request at `now`, for example because its client left. */
  cancel(requestId: string, now: number): void {
    const isOther = ({request}: EngineRun<Request>): boolean =>
      request.id !== requestId;
    this.queue = this.queue.filter(isOther);
    this.reading = this.reading.filter(isOther);
    this.decoding = this.decoding.filter(isOther);
    this.startQueued(now);
    this.recordReport(now);
  }

  /** Virtual time of the next event; infinity if there is none. */
  nextEventTime(): number {
    return this.running === 0 ? Infinity : this.nextChangeTime();
  }

  /**
   * Advances the engine to `now` and returns the events up to then, in their
   * order.
   */
  advance(now: number): readonly EngineEvent<Request>[] {
    const events: EngineEvent<Request>[] = [];
    for (;;) {
      const next = Math.min(now, Math.max(this.nextChangeTime(), this.time));
      this.progress(next);
      this.noise.advance(next);
      const hasChanged = this.applyChanges(next, events);
      if (hasChanged) {
        this.startQueued(next);
        this.recordReport(next);
      } else if (next >= now) {
        return events;
      }
    }
  }

  /** Lets all work progress evenly to `now`. */
  private progress(now: number): void {
    const elapsed = now - this.time;
    this.time = now;
    if (this.running === 0) {
      return;
    }
    this.busyMilliseconds += elapsed;
    const steps = elapsed / this.currentStepMilliseconds();
    this.steps += steps;
    const readers = this.currentReaders();
    const tokens = (steps * this.profile.chunkTokens) / readers.length;
    for (const run of readers) {
      run.unreadTokens -= tokens;
      run.readTokens += tokens;
    }
  }

  /** Applies the changes that are due at `now`; returns whether there are any. */
  private applyChanges(now: number, events: EngineEvent<Request>[]): boolean {
    const report = (
      kind: EngineEvent<Request>['kind'],
      run: EngineRun<Request>,
    ) =>
      events.push({
        kind,
        request: run.request,
        time: now,
        readTokens: Math.round(run.readTokens),
      });
    const complete = this.reading.filter(
      run => run.unreadTokens <= PRECISION * this.profile.chunkTokens,
    );
    complete.forEach(run => this.startDecoding(run));
    const due = this.steps + PRECISION;
    let hasChanged = complete.length > 0;
    for (const run of this.decoding) {
      if (!run.hasFirstToken && run.firstTokenStep <= due) {
        run.hasFirstToken = true;
        hasChanged = true;
        report('first-token', run);
      }
    }
    const ended = this.decoding.filter(run => run.lastTokenStep <= due);
    if (ended.length > 0) {
      this.decoding = this.decoding.filter(run => run.lastTokenStep > due);
      ended.forEach(run => report('ended', run));
    }
    return hasChanged || ended.length > 0;
  }

  private startDecoding(run: EngineRun<Request>): void {
    this.reading = this.reading.filter(other => other !== run);
    this.decoding.push(run);
    const remaining = run.request.outputTokens - run.start.producedTokens;
    run.firstTokenStep = this.steps + 1;
    run.lastTokenStep = this.steps + Math.max(1, remaining);
    this.cache.add(run.request.parts);
    this.cache.shrink(this.profile.memoryTokens - this.reservedTokens());
  }

  /** Starts waiting requests for which there are a slot and memory. */
  private startQueued(now: number): void {
    for (;;) {
      const [run] = this.queue;
      const isBlocked =
        run === undefined ||
        this.running >= this.profile.slots ||
        !this.hasMemoryFor(run);
      if (isBlocked || now < this.readyAt) {
        return;
      }
      this.queue.shift();
      run.unreadTokens = this.missingTokens(run.request, run.start);
      run.reservedTokens = run.unreadTokens + run.request.outputTokens;
      this.promptTokens += run.request.promptTokens;
      this.cachedTokens += Math.max(
        0,
        run.request.promptTokens - run.unreadTokens,
      );
      this.reading.push(run);
      this.reading.sort(byUrgency);
      this.cache.shrink(this.profile.memoryTokens - this.reservedTokens());
    }
  }

  private nextChangeTime(): number {
    if (this.running === 0) {
      return this.noise.nextChangeTime;
    }
    const readers = this.currentReaders();
    let steps = Infinity;
    for (const run of readers) {
      const chunks = run.unreadTokens / this.profile.chunkTokens;
      steps = Math.min(steps, Math.max(0, chunks) * readers.length);
    }
    for (const run of this.decoding) {
      const step = run.hasFirstToken ? run.lastTokenStep : run.firstTokenStep;
      steps = Math.min(steps, Math.max(0, step - this.steps));
    }
    return Math.min(
      this.time + steps * this.currentStepMilliseconds(),
      this.noise.nextChangeTime,
    );
  }

  /** The running prompts of the most urgent rank, which share each chunk. */
  private currentReaders(): readonly EngineRun<Request>[] {
    const [first] = this.reading;
    return this.reading.filter(
      ({request}) => request.priority === first?.request.priority,
    );
  }

  private currentStepMilliseconds(): number {
    const {profile} = this;
    const {crowding, slots} = profile;
    const chunkMilliseconds =
      this.reading.length === 0
        ? 0
        : profile.chunkTokens / profile.prefillTokensPerMillisecond;
    const isCrowded =
      crowding !== undefined && this.running >= slots * crowding.fromShare;
    const slowdown =
      this.slowdown * this.noise.slowdown * (isCrowded ? crowding.slowdown : 1);
    return (
      ((profile.stepMilliseconds +
        profile.stepMillisecondsPerStream * this.running +
        chunkMilliseconds) *
        slowdown) /
      profile.speedFactor
    );
  }

  private missingTokens(request: Request, start: EngineStart): number {
    return start.hasImportedCache
      ? 0
      : Math.max(0, request.promptTokens - this.cachedTokensOf(request.parts)) +
          start.producedTokens;
  }

  private canEverHold(request: Request): boolean {
    return (
      request.promptTokens + request.outputTokens <= this.profile.memoryTokens
    );
  }

  private hasMemoryFor({request, start}: EngineRun<Request>): boolean {
    const needed = this.missingTokens(request, start) + request.outputTokens;
    return this.reservedTokens() + needed <= this.profile.memoryTokens;
  }

  private reservedTokens(): number {
    return (
      sum(this.reading, run => run.reservedTokens) +
      sum(this.decoding, run => run.reservedTokens)
    );
  }

  private runs(): readonly EngineRun<Request>[] {
    return [...this.queue, ...this.reading, ...this.decoding];
  }

  private recordReport(now: number): void {
    this.reports.record(
      {
        running: this.running,
        queued: this.queued,
        unreadTokens: this.unreadTokens,
        usedTokens: this.reservedTokens(),
      },
      now,
    );
  }
}

function sum<Item>(
  items: readonly Item[],
  amountOf: (item: Item) => number,
): number {
  return items.reduce((total, item) => total + amountOf(item), 0);
}
