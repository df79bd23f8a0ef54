/**
 * A model in virtual time of hosts that place requests at engines of different
 * speeds, by knowledge of their loads that is old.
 */
import {
  type EngineChoice,
  NO_GRANTS,
  type PlacementDemand,
  PlacementTable,
  type PromptPart,
  type ServiceTable,
  type ShardKnowledge,
  SpreadTable,
  type UsableUpstream,
} from '@lacewingwinch/decisions';

import {EngineModel} from './engine_model.js';
import type {EngineProfile} from './engine_profile.js';
import type {EngineEvent, EngineRequest} from './engine_request.js';
import {EventQueue} from './event_queue.js';
import {
  type LoadKind,
  PLACEMENT_KINDS,
  PLACEMENT_PROFILE,
} from './placement_load.js';
import {PlacementResults} from './placement_results.js';
import {exponential, randomFrom} from './random_numbers.js';

/** The rule by which an engine is chosen. */
export type PlacementPolicy =
  /** The least cost by the rule before, with the knowledge of the run. */
  | 'previous'
  | 'least-reported-load'
  /** The less loaded one of two engines drawn at random. */
  | 'two-choices'
  /** By the load expected at the moment of arrival. */
  | 'spread';

/** Who chooses engines. */
export type PlacingHosts =
  /** One host, which gets the reports of all of them late. */
  | 'dispatcher'
  /** Each host by itself, with loads that it learns late. */
  | 'each-host';

/** The parameters of one run. */
export interface PlacementRun {
  readonly policy: PlacementPolicy;
  readonly placedBy: PlacingHosts;
  readonly hosts: number;
  readonly engines: number;
  /** Age of what is known of the engines. */
  readonly ageMilliseconds: number;
  /** Prompts that no request shares, as a share of what engines read. */
  readonly load: number;
  readonly hasNoise: boolean;
  readonly seed: number;
}

/** Speeds of the engines, as multiples, one after the other. */
const SPEED_FACTORS: readonly number[] = [0.55, 1.2, 1.2, 1.2];

const DOMAINS: readonly string[] = ['north', 'east', 'south', 'west'];

/** Virtual milliseconds in which caches fill and speeds are learned. */
const WARM_UP_MILLISECONDS = 10_000;

/** Virtual milliseconds in which results are counted. */
const COUNTED_MILLISECONDS = 15_000;

/** Virtual milliseconds between two looks at the queues. */
const SAMPLE_MILLISECONDS = 50;

/** Virtual milliseconds between two statements of loads. */
const STATEMENT_MILLISECONDS = 100;

/** Virtual milliseconds from a host to an engine, and back. */
const LINK_MILLISECONDS = 5;

const CACHE_RETENTION_MILLISECONDS = 20_000;

/** Knowledge of a host that has dispatched a shard for a long time. */
const DISPATCHER: ShardKnowledge = {dispatcherForMilliseconds: 1e6};

/** Knowledge of a host that sees its own requests only. */
const FRONT: ShardKnowledge = {dispatcherForMilliseconds: undefined};

interface ModelRequest extends EngineRequest {
  readonly front: number;
  readonly arrivedAt: number;
  readonly engine: number;
}

/** One run of the model. */
export class PlacementModel {
  private readonly events = new EventQueue();
  private readonly random: () => number;
  /** Of its own, so that arrivals do not depend on the policy. */
  private readonly draws: () => number;
  private readonly upstreams: readonly UsableUpstream[];
  private readonly engines: readonly EngineModel<ModelRequest>[];
  /** The table of the dispatcher, or that of each host. */
  private readonly tables: readonly ServiceTable[];
  /** What a host knows that gets all reports at once; states loads. */
  private readonly observer: SpreadTable;
  private readonly results = new PlacementResults();
  private count = 0;

  constructor(private readonly run: PlacementRun) {
    this.random = randomFrom(run.seed);
    this.draws = randomFrom(run.seed + 1000);
    this.upstreams = Array.from({length: run.engines}, (_, index) =>
      upstreamOf(index),
    );
    this.engines = this.upstreams.map(
      (_, index) => new EngineModel(profileOf(run, index), this.random, 0),
    );
    const tableCount = run.placedBy === 'dispatcher' ? 1 : run.hosts;
    this.tables = Array.from({length: tableCount}, () => this.createTable());
    this.observer = new SpreadTable(CACHE_RETENTION_MILLISECONDS, this.draws);
  }

  /** Runs to the end and returns what it showed. */
  result(): PlacementResults {
    for (const kind of PLACEMENT_KINDS) {
      this.scheduleArrival(kind, 0);
    }
    this.scheduleSample(WARM_UP_MILLISECONDS);
    if (this.run.placedBy === 'each-host') {
      this.scheduleStatement(0);
    }
    this.events.runUntil(WARM_UP_MILLISECONDS + COUNTED_MILLISECONDS);
    return this.results;
  }

  private createTable(): ServiceTable {
    return this.run.policy === 'spread'
      ? new SpreadTable(CACHE_RETENTION_MILLISECONDS, this.draws)
      : new PlacementTable(CACHE_RETENTION_MILLISECONDS);
  }

  private scheduleArrival(kind: LoadKind, now: number): void {
    const {engines, load} = this.run;
    const rate = kind.perMillisecondAndEngine * engines * load;
    this.events.at(now + exponential(this.random, rate), next => {
      this.arrive(kind, next);
      this.scheduleArrival(kind, next);
    });
  }

  private arrive(kind: LoadKind, now: number): void {
    const {hosts, engines, policy, placedBy} = this.run;
    this.count += 1;
    const id = `r-${this.count}`;
    const front = Math.floor(this.random() * hosts);
    const parts = this.partsOf(kind, id, engines);
    const demand: PlacementDemand = {
      attemptId: id,
      parts,
      promptTokens: parts.reduce((sum, {tokens}) => sum + tokens, 0),
      priority: kind.rank,
    };
    const outputTokens = Math.ceil(exponential(this.random, 1 / kind.output));
    const table = this.tables[placedBy === 'dispatcher' ? 0 : front];
    const engine =
      policy === 'spread' || policy === 'previous'
        ? this.placeBy(table, front, demand, now)
        : this.placeByReports(now);
    const {promptTokens} = demand;
    this.events.at(now + LINK_MILLISECONDS, next =>
      this.send(
        {
          id,
          promptTokens,
          outputTokens,
          parts,
          priority: kind.rank,
          front,
          arrivedAt: now,
          engine,
        },
        next,
      ),
    );
  }

  private partsOf(
    kind: LoadKind,
    id: string,
    engines: number,
  ): readonly PromptPart[] {
    const count = Math.ceil(kind.sharedPartsPerEngine * engines);
    // Some parts are requested much more often than others.
    const part = Math.floor(this.random() ** 1.4 * count);
    const ownTokens =
      kind.ownTokens * (0.25 + 0.75 * exponential(this.random, 1));
    return [
      {partId: `${kind.name}/${part}`, tokens: kind.sharedTokens},
      {partId: id, tokens: Math.ceil(ownTokens)},
    ];
  }

  private placeBy(
    table: ServiceTable | undefined,
    front: number,
    demand: PlacementDemand,
    now: number,
  ): number {
    const choice = table?.placeTask(
      {
        front: `front-${front}`,
        demand,
        candidates: this.upstreams,
        failureDomain: DOMAINS[front % DOMAINS.length] ?? '',
        grants: NO_GRANTS,
        knowledge: this.run.placedBy === 'dispatcher' ? DISPATCHER : FRONT,
        isAdmitted: () => true,
      },
      now,
    );
    if (choice === undefined) {
      return 0;
    }
    if (this.run.placedBy === 'each-host') {
      this.observer.add(`front-${front}`, demand, choice, now);
    }
    this.results.recordEstimate(demand.attemptId, choice, now);
    return indexOf(choice);
  }

  /** Chooses by the reports of the engines alone. */
  private placeByReports(now: number): number {
    const {engines, policy} = this.run;
    const loadOf = (index: number): number => {
      const report = this.engines[index]?.reportAt(now);
      return (report?.running ?? 0) + (report?.queued ?? 0);
    };
    const indexes =
      policy === 'two-choices'
        ? [this.draws(), this.draws()].map(value => Math.floor(value * engines))
        : this.engines.keys();
    let best = 0;
    let leastLoad = Infinity;
    for (const index of indexes) {
      const load = loadOf(index);
      if (load < leastLoad) {
        leastLoad = load;
        best = index;
      }
    }
    return best;
  }

  private send(request: ModelRequest, now: number): void {
    const engine = this.engines[request.engine];
    if (engine === undefined) {
      return;
    }
    this.advance(request.engine, now);
    engine.submit(request, now);
    this.wake(request.engine);
  }

  private advance(index: number, now: number): void {
    for (const event of this.engines[index]?.advance(now) ?? []) {
      this.onEngineEvent(event);
    }
  }

  private wake(index: number): void {
    const time = this.engines[index]?.nextEventTime() ?? Infinity;
    if (time === Infinity) {
      return;
    }
    this.events.at(time, now => {
      const engine = this.engines[index];
      if (engine !== undefined && engine.nextEventTime() <= now) {
        this.advance(index, now);
        this.wake(index);
      }
    });
  }

  private onEngineEvent(event: EngineEvent<ModelRequest>): void {
    const {kind, request, time} = event;
    if (kind === 'first-token' && request.arrivedAt >= WARM_UP_MILLISECONDS) {
      this.results.recordFirstToken(request, event.readTokens, time);
    }
    const {ageMilliseconds, placedBy} = this.run;
    const age = placedBy === 'dispatcher' ? ageMilliseconds : 0;
    this.events.at(time + LINK_MILLISECONDS + age, now => {
      const table = this.tables[placedBy === 'dispatcher' ? 0 : request.front];
      if (table !== undefined) {
        report(table, event, placedBy === 'dispatcher', now);
      }
      if (placedBy === 'each-host') {
        report(this.observer, event, true, now);
      }
    });
  }

  private scheduleStatement(now: number): void {
    const statements = this.observer.statementsOf(this.upstreams, now);
    this.events.at(now + this.run.ageMilliseconds, () => {
      this.tables.forEach(table => table.recordStatements(statements, now));
    });
    this.events.at(now + STATEMENT_MILLISECONDS, next =>
      this.scheduleStatement(next),
    );
  }

  private scheduleSample(now: number): void {
    this.events.at(now, next => {
      this.engines.forEach((_, index) => this.advance(index, next));
      this.engines.forEach((_, index) => this.wake(index));
      this.results.recordQueues(this.engines);
      this.scheduleSample(next + SAMPLE_MILLISECONDS);
    });
  }
}

function report(
  table: ServiceTable,
  {kind, request, time}: EngineEvent<ModelRequest>,
  isDispatchedHere: boolean,
  now: number,
): void {
  const attempt = {
    attemptId: request.id,
    upstreamId: upstreamIdOf(request.engine),
  };
  const front = `front-${request.front}`;
  switch (kind) {
    case 'first-token':
      table.recordOutput(
        {
          ...attempt,
          front,
          tokens: request.promptTokens,
          elapsed: time + LINK_MILLISECONDS - request.arrivedAt,
          isDispatchedHere,
        },
        now,
      );
      return;
    case 'ended':
      table.recordEnd(front, attempt, now);
  }
}

function profileOf(run: PlacementRun, index: number): EngineProfile {
  return {
    ...PLACEMENT_PROFILE,
    speedFactor: SPEED_FACTORS[index % SPEED_FACTORS.length] ?? 1,
    reportLagMilliseconds: run.ageMilliseconds,
    ...(run.hasNoise && {
      noise: {share: 0.15, slowdown: 2.5, periodMilliseconds: 600},
    }),
  };
}

function upstreamIdOf(index: number): string {
  return `engine-${index}`;
}

function indexOf({upstream}: EngineChoice): number {
  return Number(upstream.upstreamId.slice('engine-'.length));
}

function upstreamOf(index: number): UsableUpstream {
  return {
    upstreamId: upstreamIdOf(index),
    service: 'engines',
    address: '',
    failureDomain: DOMAINS[index % DOMAINS.length] ?? '',
    slots: PLACEMENT_PROFILE.slots,
    isLeaving: false,
    leavesInMilliseconds: undefined,
    softwareVersion: 'v1',
    bornAt: 0,
    isReclaimable: false,
    coldMilliseconds: 0,
    knownSince: 0,
  };
}
