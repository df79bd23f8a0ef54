/**
 * The requests at the engines of a service that many hosts use at once, and the
 * choice of engines by the load that is expected when a request arrives. Shared
 * prompt parts stay at the engines that have read them, as long as waiting there
 * costs less than the time that reading them again takes from all requests.
 */
import type {UsableUpstream} from '../upstreams/listed_upstream.js';
import {rendezvousOrder} from '../util/rendezvous_hash.js';
import {
  affinityKey,
  type EngineChoice,
  type PlacementDemand,
} from './choose_engine.js';
import {
  type EngineFacts,
  expectAt,
  PREFERRED_ENGINES,
  sharedTokensOf,
} from './engine_expectation.js';
import {waitAt} from './engine_wait.js';
import {PlacedWork} from './placed_work.js';
import type {PlacedAttempt, PlacedRequest} from './placement_table.js';
import {PrefixMemory} from './prefix_memory.js';
import type {
  FirstOutput,
  PlacementTask,
  ServiceTable,
} from './service_table.js';
import {chooseSpread} from './spread_choice.js';
import {
  evaluatedChoice,
  evaluateSpread,
  type SpreadEvaluation,
  type SpreadKnowledge,
  weighedEngines,
} from './spread_evaluation.js';
import {
  type LoadStatement,
  MAXIMUM_LOAD_AGE_MILLISECONDS,
  StatedLoads,
} from './stated_loads.js';
import type {WeighedEngines} from './weighed_engines.js';
import {
  DECODE_WORK,
  PROMPT_WORK,
  type WorkSpeed,
  WorkSpeeds,
} from './work_speeds.js';

/**
 * Milliseconds after which a new dispatcher has placed nearly all requests that
 * still wait, so that it knows the load.
 */
const NEW_DISPATCHER_MILLISECONDS = 500;

/** Time without a message after which the known loads count as old. */
const SILENCE_MILLISECONDS = 1500;

/** Mean duration of reading a prompt before any was placed. */
const USUAL_READ_MILLISECONDS = 100;

/** Share of the engines that are reading before any load is known. */
const USUAL_BUSY_SHARE = 0.5;

/** Weight of the newest request in the mean duration of reading. */
const NEWEST_READ_WEIGHT = 0.05;

/** Weight of the newest report in the age of reports. */
const NEWEST_LAG_WEIGHT = 0.1;

/** Returns the speed of an upstream; may keep it. */
type SpeedReader = (speeds: WorkSpeeds, upstreamId: string) => WorkSpeed;

/** An upstream that this or another host has chosen. */
type ChosenUpstream = Parameters<ServiceTable['add']>[2];

/** The requests at the engines of a service, by front. */
export class SpreadTable implements ServiceTable {
  private readonly work = new PlacedWork();
  private readonly prefixes: PrefixMemory;
  private readonly reading = new WorkSpeeds(PROMPT_WORK);
  private readonly decoding = new WorkSpeeds(DECODE_WORK);
  private readonly stated = new StatedLoads();
  private meanReadMilliseconds = USUAL_READ_MILLISECONDS;
  /** Share of the engines that were reading when their loads were known. */
  private busyShare = USUAL_BUSY_SHARE;
  /** Time after which reports of other fronts are known here. */
  private lagMilliseconds = 0;

  constructor(
    /** Milliseconds for which a prompt part stays cached after its last use. */
    private readonly cacheRetentionMilliseconds: number,
    /** Returns a number from 0 (inclusive) to 1 (exclusive). */
    private readonly random: () => number,
  ) {
    this.prefixes = new PrefixMemory(cacheRetentionMilliseconds);
  }

  placeTask(task: PlacementTask, now: number): EngineChoice | undefined {
    const {front, demand, grants, isAdmitted} = task;
    const evaluation = this.evaluate(task, now, (speeds, upstreamId) =>
      speeds.speedOf(upstreamId, now),
    );
    this.busyShare = evaluation.busyShare;
    const {candidates, unknown, expectations} = evaluation;
    const chosen = chooseSpread(candidates, unknown, this.random());
    const expected = expectations[chosen?.index ?? -1];
    const choice = evaluatedChoice(evaluation, chosen);
    if (expected === undefined || choice === undefined || !isAdmitted(choice)) {
      return undefined;
    }
    // A grant depends on the requests that are in progress besides this one.
    const grantWaitMilliseconds = grants.take(choice.upstream);
    this.count(front, demand, choice, now, this.mayHaveBeenRead(task, choice));
    this.meanReadMilliseconds +=
      (expected.readMilliseconds - this.meanReadMilliseconds) *
      NEWEST_READ_WEIGHT;
    return grantWaitMilliseconds === undefined
      ? choice
      : {...choice, grantWaitMilliseconds};
  }

  weigh(task: PlacementTask, now: number): WeighedEngines {
    return weighedEngines(
      this.evaluate(task, now, (speeds, upstreamId) =>
        speeds.peekSpeedOf(upstreamId, now),
      ),
    );
  }

  add(
    front: string,
    demand: PlacementDemand,
    choice: ChosenUpstream,
    now: number,
  ): void {
    this.count(front, demand, choice, now, true);
  }

  recordOutput(output: FirstOutput, now: number): void {
    const {front, elapsed} = output;
    const reported = this.work.begin(front, output, elapsed, now);
    if (reported !== undefined) {
      this.recordLag(reported.milliseconds - elapsed);
    }
    if (reported?.promptSample !== undefined && output.isDispatchedHere) {
      const {promptSample, time} = reported;
      this.reading.record(output.upstreamId, promptSample, time);
    }
  }

  recordEnd(front: string, attempt: PlacedAttempt, now: number): void {
    const reported = this.work.end(front, attempt, now);
    if (reported?.hadBegun === true) {
      const {milliseconds} = reported;
      this.decoding.record(
        attempt.upstreamId,
        {units: 1, milliseconds, isFromIdle: false},
        now,
      );
    }
  }

  replaceRequests(
    front: string,
    requests: readonly PlacedRequest[],
    now: number,
  ): void {
    this.work.replace(front, requests, now);
  }

  requestsOf(front: string): readonly PlacedRequest[] {
    return this.work.requestsOf(front);
  }

  runningAt(upstreamId: string): number {
    return this.work.at(upstreamId).running;
  }

  prefillSpeedOf(upstreamId: string, now: number): number {
    return 1 / this.reading.speedOf(upstreamId, now).lastingMilliseconds;
  }

  peekPrefillSpeedOf(upstreamId: string, now: number): number {
    return 1 / this.reading.peekSpeedOf(upstreamId, now).lastingMilliseconds;
  }

  forgetSilentFronts(ownHostId: string, now: number): void {
    this.work.forgetSilentFronts(ownHostId, now);
  }

  forgetUpstream(upstreamId: string): void {
    this.prefixes.forget(upstreamId);
    this.reading.forget(upstreamId);
    this.decoding.forget(upstreamId);
    this.stated.forget(upstreamId);
  }

  capacityOf(upstreams: readonly UsableUpstream[], now: number): number {
    const usual = this.reading.peekSpeedOf('', now).lastingMilliseconds;
    return upstreams.reduce((sum, {upstreamId}) => {
      const speed = this.reading.peekSpeedOf(upstreamId, now);
      return sum + usual / speed.lastingMilliseconds;
    }, 0);
  }

  statementsOf(
    upstreams: readonly UsableUpstream[],
    now: number,
  ): readonly LoadStatement[] {
    return upstreams.map(({upstreamId, bornAt}) => {
      const work = this.work.at(upstreamId);
      const {lastingMilliseconds} = this.reading.speedOf(upstreamId, now);
      const wait = waitAt(
        {
          work,
          millisecondsPerToken: lastingMilliseconds,
          lagMilliseconds: this.lagMilliseconds,
          stated: undefined,
        },
        Infinity,
        now,
      );
      const speed = this.reading.statementOf(upstreamId);
      return {
        upstreamId,
        bornAt,
        running: work.running,
        waitMilliseconds: Math.round(wait.milliseconds),
        ...(speed !== undefined && {speed}),
      };
    });
  }

  recordStatements(statements: readonly LoadStatement[], now: number): void {
    this.stated.record(statements, now);
    for (const {upstreamId, speed} of statements) {
      if (speed !== undefined) {
        this.reading.merge(upstreamId, speed, now);
      }
    }
  }

  private count(
    front: string,
    demand: PlacementDemand,
    choice: ChosenUpstream,
    now: number,
    isUncertain: boolean,
  ): void {
    const {upstreamId} = choice.upstream;
    const {attemptId, priority, promptTokens, parts} = demand;
    const waitingTokens = Math.max(0, promptTokens - choice.cachedTokens);
    const request = {attemptId, upstreamId, waitingTokens, priority};
    this.work.add(front, request, now, isUncertain);
    this.prefixes.recordRead(upstreamId, parts, now);
  }

  /**
   * Returns whether the engine may have read tokens of the prompt before this
   * host knew of it, so that they are no measure of its speed.
   */
  private mayHaveBeenRead(
    {demand, knowledge}: PlacementTask,
    {cachedTokens}: EngineChoice,
  ): boolean {
    const {dispatcherForMilliseconds = 0} = knowledge;
    return (
      dispatcherForMilliseconds < this.cacheRetentionMilliseconds &&
      cachedTokens < sharedTokensOf(demand.parts)
    );
  }

  private recordLag(milliseconds: number): void {
    const bounded = Math.min(
      MAXIMUM_LOAD_AGE_MILLISECONDS,
      Math.max(0, milliseconds),
    );
    this.lagMilliseconds +=
      (bounded - this.lagMilliseconds) * NEWEST_LAG_WEIGHT;
  }

  /** Evaluates the engines for a request; changes nothing itself. */
  private evaluate(
    task: PlacementTask,
    now: number,
    speedIn: SpeedReader,
  ): SpreadEvaluation {
    const {demand, candidates} = task;
    const knowledge = this.knowledgeOf(task, now);
    const preferred = rendezvousOrder(
      affinityKey(demand),
      candidates.map(({upstreamId}) => upstreamId),
      PREFERRED_ENGINES,
    );
    const expectations = candidates.map(upstream => {
      const rank = preferred.indexOf(upstream.upstreamId);
      const facts = this.factsOf(upstream, rank, task, knowledge, now, speedIn);
      return expectAt(upstream, facts, task, now);
    });
    const usual = speedIn(this.reading, '').lastingMilliseconds;
    return evaluateSpread(expectations, {
      knowledge,
      busyShare: this.busyShare,
      meanReadMilliseconds: this.meanReadMilliseconds,
      idleReadMilliseconds: demand.promptTokens * usual,
    });
  }

  private knowledgeOf(
    {candidates, knowledge}: PlacementTask,
    now: number,
  ): SpreadKnowledge {
    const dispatcherFor = knowledge.dispatcherForMilliseconds;
    const silentFor = Math.max(0, now - this.work.lastHeardAt);
    if (dispatcherFor !== undefined && silentFor < SILENCE_MILLISECONDS) {
      const isComplete = dispatcherFor >= NEW_DISPATCHER_MILLISECONDS;
      return {
        isComplete,
        isInformed: true,
        ageMilliseconds: isComplete
          ? 0
          : NEW_DISPATCHER_MILLISECONDS - dispatcherFor,
      };
    }
    const ages = candidates.map(({upstreamId}) => {
      const stated = this.stated.of(upstreamId, now);
      return stated === undefined ? Infinity : now - stated.statedAt;
    });
    const oldest = Math.max(0, ...ages);
    return {
      isComplete: false,
      isInformed: oldest < Infinity,
      ageMilliseconds: Math.min(MAXIMUM_LOAD_AGE_MILLISECONDS, oldest),
    };
  }

  private factsOf(
    {upstreamId}: UsableUpstream,
    preferredRank: number,
    {demand}: PlacementTask,
    {isComplete}: SpreadKnowledge,
    now: number,
    speedIn: SpeedReader,
  ): EngineFacts {
    const stated = isComplete ? undefined : this.stated.of(upstreamId, now);
    return {
      work: this.work.at(upstreamId),
      lagMilliseconds: this.lagMilliseconds,
      stated,
      speed: speedIn(this.reading, upstreamId),
      answerMilliseconds: speedIn(this.decoding, upstreamId)
        .lastingMilliseconds,
      meanReadMilliseconds: this.meanReadMilliseconds,
      rememberedTokens: this.prefixes.cachedTokens(
        upstreamId,
        demand.parts,
        now,
      ),
      preferredRank,
      isComplete,
    };
  }
}
