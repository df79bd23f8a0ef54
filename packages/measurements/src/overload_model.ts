/**
 * A model in virtual time of engines that read prompts one after the other, and
 * of clients that leave, return and burst, under different rules of admission.
 */
import type {
  EngineChoice,
  PlacementDemand,
  UsableUpstream,
} from '@lacewingwinch/decisions';

import {EventQueue} from './event_queue.js';
import {
  type AdmissionPolicy,
  ModelAdmission,
  type ModelRefusal,
  type ModelRequest,
  termsOf,
} from './overload_admission.js';
import type {OverloadPattern, RequestKind} from './overload_patterns.js';
import {type OverloadCounts, OverloadResults} from './overload_results.js';
import {exponential, randomFrom} from './random_numbers.js';

/** The parameters of one run. */
export interface OverloadRun {
  readonly policy: AdmissionPolicy;
  readonly pattern: OverloadPattern;
  readonly seed: number;
}

/** Virtual milliseconds before the pattern applies. */
const WARM_UP_MILLISECONDS = 6000;

/** Virtual milliseconds for which the pattern applies. */
export const PATTERN_MILLISECONDS = 8000;

/** Virtual milliseconds after the pattern, in which requests end. */
const REST_MILLISECONDS = 15_000;

/** Milliseconds after which a dispatcher learns that a request began. */
const REPORT_DELAY_MILLISECONDS = 8;

/** Milliseconds for which a request produces output. */
const OUTPUT_MILLISECONDS = 300;

/** Prompt tokens that an engine reads per millisecond. */
export const TOKENS_PER_MILLISECOND = 40;

/** Retries of a client that repeats its request at once and often. */
const ABUSIVE_RETRIES = 6;

/** Milliseconds between the retries of such a client. */
const ABUSIVE_RETRY_MILLISECONDS = 50;

/** Milliseconds by which a patient client returns after the time that it received. */
const RETURN_DELAY_MILLISECONDS = 15;

interface QueuedPrompt {
  readonly request: ModelRequest;
  readonly attemptId: string;
  readonly rank: number;
  readonly sentAt: number;
  readonly choice: EngineChoice;
}

interface Engine {
  readonly upstream: UsableUpstream;
  readonly waiting: QueuedPrompt[];
  readonly cachedParts: Set<string>;
  reading: QueuedPrompt | undefined;
  isGone: boolean;
}

/** One run of the model. */
export class OverloadModel {
  private readonly events = new EventQueue();
  private readonly random: () => number;
  private readonly admission: ModelAdmission;
  private readonly engines: readonly Engine[];
  private readonly results = new OverloadResults();
  private readonly resultsByWorkspace = new OverloadResults();
  private count = 0;

  constructor(private readonly run: OverloadRun) {
    this.random = randomFrom(run.seed);
    this.admission = new ModelAdmission(run.policy, run.seed);
    this.engines = Array.from({length: run.pattern.engines}, (_, index) => ({
      upstream: upstreamOf(index),
      waiting: [],
      cachedParts: new Set<string>(),
      reading: undefined,
      isGone: false,
    }));
  }

  /** Runs to the end and returns what it showed, by kind. */
  result(): OverloadResults {
    const {pattern} = this.run;
    for (const kind of pattern.kinds) {
      this.scheduleArrival(kind, 0);
    }
    this.events.at(WARM_UP_MILLISECONDS + PATTERN_MILLISECONDS / 4, now =>
      this.removeEngines(now),
    );
    this.events.runUntil(
      WARM_UP_MILLISECONDS + PATTERN_MILLISECONDS + REST_MILLISECONDS,
    );
    return this.results;
  }

  /** Returns what the run showed, by workspace. */
  get byWorkspace(): OverloadResults {
    return this.resultsByWorkspace;
  }

  private scheduleArrival(kind: RequestKind, now: number): void {
    const {pattern} = this.run;
    const isOn = this.isInPattern(now);
    const factor = isOn ? pattern.factorOf(kind) : pattern.usualLoad;
    const rate = (kind.perSecond / 1000) * factor;
    this.events.at(now + exponential(this.random, rate), next => {
      if (next < WARM_UP_MILLISECONDS + PATTERN_MILLISECONDS) {
        this.arrive(kind, next);
        this.scheduleArrival(kind, next);
      }
    });
  }

  private isInPattern(now: number): boolean {
    return (
      now >= WARM_UP_MILLISECONDS &&
      now < WARM_UP_MILLISECONDS + PATTERN_MILLISECONDS
    );
  }

  private arrive(kind: RequestKind, now: number): void {
    const {pattern} = this.run;
    const isOn = this.isInPattern(now);
    const largest = isOn && pattern.hasLargestPromptsOnly ? 3 : 0.5;
    this.count += 1;
    const request: ModelRequest = {
      kind,
      index: this.count,
      workspace: pattern.workspaceOf(this.random(), isOn),
      sharedPart: `${kind.name}/${Math.floor(this.random() * kind.sharedParts)}`,
      tokens: Math.round(kind.ownTokens * (largest + this.random())),
      arrivedAt: now,
      isCounted: isOn,
      attempts: 0,
      hasPlace: false,
      hasStarted: false,
    };
    this.record(request, result => (result.offered += 1));
    this.attempt(request, now);
  }

  private attempt(request: ModelRequest, now: number): void {
    const {kind} = request;
    request.attempts += 1;
    const {attempts} = request;
    if (attempts === 2) {
      this.record(request, result => (result.returned += 1));
    }
    if (request.hasPlace) {
      this.record(request, result => (result.returnedToPlace += 1));
    }
    const attemptId = `${request.index}/${attempts}`;
    const demand: PlacementDemand = {
      attemptId,
      parts: [
        {partId: request.sharedPart, tokens: kind.sharedTokens},
        {partId: attemptId, tokens: request.tokens},
      ],
      promptTokens: kind.sharedTokens + request.tokens,
      priority: kind.rank,
    };
    const placed = this.admission.place(request, demand, this.upstreams(), now);
    if (placed.kind === 'refused') {
      this.refuse(request, placed, now);
      return;
    }
    const {choice, promotedRank = kind.rank} = placed;
    this.send(
      {request, attemptId, rank: promotedRank, sentAt: now, choice},
      now,
    );
  }

  private upstreams(): readonly UsableUpstream[] {
    return this.engines
      .filter(({isGone}) => !isGone)
      .map(({upstream}) => upstream);
  }

  private refuse(
    request: ModelRequest,
    {retryAfterMilliseconds, isPlace = false}: ModelRefusal,
    now: number,
  ): void {
    const {clients} = this.run.pattern;
    const left = request.arrivedAt + request.kind.deadline - now;
    const retries = clients === 'abusive' ? ABUSIVE_RETRIES : 1;
    if (clients === 'never-return' || request.attempts > retries) {
      this.record(request, result => (result.refused += 1));
      return;
    }
    request.hasPlace = isPlace && clients === 'patient';
    const delay =
      clients === 'abusive'
        ? ABUSIVE_RETRY_MILLISECONDS
        : Math.min(retryAfterMilliseconds, left / 3) +
          RETURN_DELAY_MILLISECONDS;
    this.events.at(now + delay, next => this.attempt(request, next));
  }

  private send(prompt: QueuedPrompt, now: number): void {
    const engine = this.engines.find(
      ({upstream}) => upstream === prompt.choice.upstream,
    );
    engine?.waiting.push(prompt);
    if (engine !== undefined) {
      this.readNext(engine, now);
    }
    const {patienceMilliseconds, millisecondsLeft} = termsOf(
      prompt.request,
      now,
    );
    this.events.at(
      now + Math.min(patienceMilliseconds, millisecondsLeft),
      next => this.leave(prompt, engine, next),
    );
  }

  private leave(
    prompt: QueuedPrompt,
    engine: Engine | undefined,
    now: number,
  ): void {
    const index = engine?.waiting.indexOf(prompt) ?? -1;
    if (prompt.request.hasStarted || engine?.reading === prompt || index < 0) {
      return;
    }
    engine?.waiting.splice(index, 1);
    this.end(prompt, now);
    this.record(prompt.request, result => (result.left += 1));
  }

  private readNext(engine: Engine, now: number): void {
    if (engine.reading !== undefined || engine.waiting.length === 0) {
      return;
    }
    const isByRank = this.run.policy !== 'arrival-order';
    const first = engine.waiting.reduce((best, prompt) =>
      isByRank && prompt.rank < best.rank ? prompt : best,
    );
    engine.waiting.splice(engine.waiting.indexOf(first), 1);
    engine.reading = first;
    const {sharedPart, kind, tokens} = first.request;
    const sharedTokens = engine.cachedParts.has(sharedPart)
      ? 0
      : kind.sharedTokens;
    engine.cachedParts.add(sharedPart);
    this.events.at(
      now + (sharedTokens + tokens) / TOKENS_PER_MILLISECOND,
      next => this.finishReading(engine, first, next),
    );
  }

  private finishReading(
    engine: Engine,
    prompt: QueuedPrompt,
    now: number,
  ): void {
    const {request, choice} = prompt;
    if (engine.isGone) {
      return;
    }
    engine.reading = undefined;
    request.hasStarted = true;
    const elapsed = now - request.arrivedAt;
    const isOnTime = elapsed <= request.kind.objective;
    this.record(request, result => {
      result.onTime += isOnTime ? 1 : 0;
      result.late += isOnTime ? 0 : 1;
      result.servedAtReturn += request.attempts === 2 ? 1 : 0;
      result.servedAtPlace += request.hasPlace ? 1 : 0;
    });
    const placed = {
      attemptId: prompt.attemptId,
      upstreamId: choice.upstream.upstreamId,
    };
    this.events.at(now + REPORT_DELAY_MILLISECONDS, () =>
      // Without tokens, no speed is learned: the model is of waiting alone.
      this.admission.table.recordFirstOutput(
        'front',
        placed,
        0,
        now - prompt.sentAt,
      ),
    );
    this.events.at(now + OUTPUT_MILLISECONDS, next => this.end(prompt, next));
    this.readNext(engine, now);
  }

  private end({attemptId, choice}: QueuedPrompt, now: number): void {
    const {upstreamId} = choice.upstream;
    this.events.at(now + REPORT_DELAY_MILLISECONDS, () =>
      this.admission.table.recordEnd('front', {attemptId, upstreamId}),
    );
  }

  /** Removes engines; the requests at them fail. */
  private removeEngines(now: number): void {
    const count = this.engines.length * this.run.pattern.lostShare;
    for (const engine of this.engines.slice(0, count)) {
      engine.isGone = true;
      const lost = [engine.reading ?? [], engine.waiting].flat();
      lost.forEach(prompt => this.end(prompt, now));
      this.admission.table.forgetUpstream(engine.upstream.upstreamId);
    }
  }

  private record(
    request: ModelRequest,
    change: (counts: OverloadCounts) => void,
  ): void {
    if (!request.isCounted) {
      return;
    }
    change(this.results.of(request.kind.name));
    change(this.resultsByWorkspace.of(request.workspace));
  }
}

function upstreamOf(index: number): UsableUpstream {
  return {
    upstreamId: `i-${index}`,
    service: 'engines',
    address: '',
    failureDomain: 'north',
    slots: 64,
    isLeaving: false,
    leavesInMilliseconds: undefined,
    softwareVersion: 'v1',
    bornAt: 0,
    isReclaimable: false,
    coldMilliseconds: 0,
    knownSince: 0,
  };
}
