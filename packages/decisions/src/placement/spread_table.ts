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
  type PromptPart,
} from './choose_engine.js';
import {waitAt} from './engine_wait.js';
import {PlacedWork} from './placed_work.js';
import type {PlacedAttempt, PlacedRequest} from './placement_table.js';
import {PrefixMemory} from './prefix_memory.js';
import type {
  FirstOutput,
  PlacementTask,
  ServiceTable,
} from './service_table.js';
import {chooseSpread, type UnknownLoad} from './spread_choice.js';
import {
  type LoadStatement,
  MAXIMUM_LOAD_AGE_MILLISECONDS,
  StatedLoads,
} from './stated_loads.js';
import {DECODE_WORK, PROMPT_WORK, WorkSpeeds} from './work_speeds.js';

/**
 * Milliseconds after which a new dispatcher has placed nearly all requests that
 * still wait, so that it knows the load.
 */
const NEW_DISPATCHER_MILLISECONDS = 500;

/** Time without a message after which the known loads count as old. */
const SILENCE_MILLISECONDS = 1500;

/** Milliseconds by which each running request delays a first token. */
const MILLISECONDS_PER_RUNNING_REQUEST = 0.5;

/** Milliseconds of the round trip to another failure domain. */
const OTHER_DOMAIN_MILLISECONDS = 6;

/**
 * Milliseconds that the bytes of a prompt token cost between failure domains,
 * where traffic is charged.
 */
const OTHER_DOMAIN_MILLISECONDS_PER_TOKEN = 0.001;

/**
 * Largest number of milliseconds by which a millisecond of reading delays other
 * requests in total.
 */
const MAXIMUM_DELAY_OF_OTHERS = 8;

/**
 * Chances that the preferred engines of a shared prompt part have read it, as far
 * as a host knows that does not see all requests.
 */
const PREFERRED_ENGINE_CHANCES: readonly number[] = [0.9, 0.4];

/**
 * Milliseconds for which a part that no engine has read waits for its preferred
 * engine, at which hosts that see only their own requests look for it.
 */
const PREFERENCE_MILLISECONDS = 30;

/** Standard deviation of the relative duration of a request. */
const DURATION_DEVIATION = 0.3;

/** Mean duration of reading a prompt before any was placed. */
const USUAL_READ_MILLISECONDS = 100;

/** Share of the engines that are reading before any load is known. */
const USUAL_BUSY_SHARE = 0.5;

/** Weight of the newest request in the mean duration of reading. */
const NEWEST_READ_WEIGHT = 0.05;

/** Weight of the newest report in the age of reports. */
const NEWEST_LAG_WEIGHT = 0.1;

/** An engine and the request there, as this host expects it. */
interface Expectation {
  readonly upstream: UsableUpstream;
  readonly waitTokens: number;
  readonly waitMilliseconds: number;
  /** Less urgent requests there that have to wait longer. */
  readonly overtakenRequests: number;
  readonly readTokens: number;
  readonly readMilliseconds: number;
  /** Part of the time that does not depend on other prompts. */
  readonly otherMilliseconds: number;
  /** Cost of an engine at which other hosts do not look for the prompt. */
  readonly preferenceMilliseconds: number;
  readonly costMilliseconds: number;
  readonly cachedTokens: number;
  readonly isBlocked: boolean;
  readonly capacity: number;
  readonly uncertainty: number;
}

/** The knowledge on which a choice rests. */
interface Knowledge {
  /** Whether this host knows all requests. */
  readonly isComplete: boolean;
  /** Whether it knows the load of all engines, however old. */
  readonly isInformed: boolean;
  readonly ageMilliseconds: number;
}

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
    cacheRetentionMilliseconds: number,
    /** Returns a number from 0 (inclusive) to 1 (exclusive). */
    private readonly random: () => number,
  ) {
    this.prefixes = new PrefixMemory(cacheRetentionMilliseconds);
  }

  placeTask(task: PlacementTask, now: number): EngineChoice | undefined {
    const {front, demand, candidates, grants, isAdmitted} = task;
    const knowledge = this.knowledgeOf(task, now);
    const preferred = rendezvousOrder(
      affinityKey(demand),
      candidates.map(({upstreamId}) => upstreamId),
      PREFERRED_ENGINE_CHANCES.length,
    );
    const expectations = candidates.map(upstream =>
      this.expect(
        upstream,
        preferred.indexOf(upstream.upstreamId),
        task,
        knowledge,
        now,
      ),
    );
    if (knowledge.isInformed) {
      this.busyShare = shareOf(expectations, ({waitTokens}) => waitTokens > 0);
    }
    const unknown: UnknownLoad = {
      ageMilliseconds: knowledge.ageMilliseconds,
      busyShare: this.busyShare,
      meanMilliseconds: this.meanReadMilliseconds,
    };
    const delayOfOthers = this.delayOfOthers();
    const chosen = chooseSpread(
      expectations.map(expected => ({
        waitMilliseconds: expected.waitMilliseconds,
        ownMilliseconds:
          expected.otherMilliseconds +
          expected.readMilliseconds *
            (1 + delayOfOthers + expected.overtakenRequests) +
          expected.preferenceMilliseconds +
          expected.costMilliseconds,
        capacity: expected.capacity,
      })),
      unknown,
      this.random(),
    );
    const expected = expectations[chosen?.index ?? -1];
    if (chosen === undefined || expected === undefined) {
      return undefined;
    }
    const choice = choiceOf(expected, chosen.unknownMilliseconds, knowledge);
    if (!isAdmitted(choice)) {
      return undefined;
    }
    // A grant depends on the requests that are in progress besides this one.
    const grantWaitMilliseconds = grants.take(choice.upstream);
    this.add(front, demand, choice, now);
    this.meanReadMilliseconds +=
      (expected.readMilliseconds - this.meanReadMilliseconds) *
      NEWEST_READ_WEIGHT;
    return grantWaitMilliseconds === undefined
      ? choice
      : {...choice, grantWaitMilliseconds};
  }

  add(
    front: string,
    demand: PlacementDemand,
    choice: Pick<EngineChoice, 'cachedTokens'> & {
      readonly upstream: Pick<UsableUpstream, 'upstreamId'>;
    },
    now: number,
  ): void {
    const {upstreamId} = choice.upstream;
    const {attemptId, priority, promptTokens, parts} = demand;
    const waitingTokens = Math.max(0, promptTokens - choice.cachedTokens);
    this.work.add(front, {attemptId, upstreamId, waitingTokens, priority}, now);
    this.prefixes.recordRead(upstreamId, parts, now);
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

  forgetSilentFronts(ownHostId: string, now: number): void {
    this.work.forgetSilentFronts(ownHostId, now);
  }

  forgetUpstream(upstreamId: string): void {
    this.prefixes.forget(upstreamId);
    this.reading.forget(upstreamId);
    this.decoding.forget(upstreamId);
    this.stated.forget(upstreamId);
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

  private recordLag(milliseconds: number): void {
    const bounded = Math.min(
      MAXIMUM_LOAD_AGE_MILLISECONDS,
      Math.max(0, milliseconds),
    );
    this.lagMilliseconds +=
      (bounded - this.lagMilliseconds) * NEWEST_LAG_WEIGHT;
  }

  private knowledgeOf(
    {candidates, knowledge}: PlacementTask,
    now: number,
  ): Knowledge {
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

  /** Returns what this host expects of a request at one engine. */
  private expect(
    upstream: UsableUpstream,
    preferredRank: number,
    {demand, failureDomain, grants}: PlacementTask,
    {isComplete}: Knowledge,
    now: number,
  ): Expectation {
    const {upstreamId, slots} = upstream;
    const speed = this.reading.speedOf(upstreamId, now);
    const millisecondsPerToken = speed.millisecondsNow;
    const work = this.work.at(upstreamId);
    const stated = isComplete ? undefined : this.stated.of(upstreamId, now);
    const engine = {
      work,
      millisecondsPerToken,
      lagMilliseconds: this.lagMilliseconds,
      ...(stated !== undefined && {stated}),
    };
    const wait = waitAt(engine, demand.priority, now);
    const allWaiting = waitAt(engine, Infinity, now);
    const running = Math.max(
      work.running,
      stated === undefined ? 0 : this.runningSince(upstreamId, stated, now),
    );
    const {parts} = demand;
    const remembered = this.prefixes.cachedTokens(upstreamId, parts, now);
    const cachedTokens = isComplete
      ? remembered
      : Math.max(remembered, guessedTokens(parts, preferredRank));
    const readTokens = Math.max(0, demand.promptTokens - cachedTokens);
    const excessRequests = Math.max(0, running + 1 - slots);
    const grantWait = grants.waitOf(upstream);
    const held = this.decoding.speedOf(upstreamId, now).lastingMilliseconds;
    return {
      upstream,
      waitTokens: wait.tokens,
      waitMilliseconds: wait.milliseconds,
      overtakenRequests:
        Math.max(0, allWaiting.milliseconds - wait.milliseconds) /
        Math.max(1, this.meanReadMilliseconds),
      readTokens,
      readMilliseconds: readTokens * millisecondsPerToken,
      otherMilliseconds:
        grantWait +
        running * MILLISECONDS_PER_RUNNING_REQUEST +
        (excessRequests * held) / slots +
        upstream.coldMilliseconds,
      preferenceMilliseconds:
        remembered === 0 && preferredRank !== 0 ? PREFERENCE_MILLISECONDS : 0,
      costMilliseconds:
        upstream.failureDomain === failureDomain
          ? 0
          : OTHER_DOMAIN_MILLISECONDS +
            demand.promptTokens * OTHER_DOMAIN_MILLISECONDS_PER_TOKEN,
      cachedTokens,
      isBlocked: excessRequests > 0 || grantWait > 0,
      capacity: 1 / speed.lastingMilliseconds,
      uncertainty: Math.hypot(speed.uncertainty, DURATION_DEVIATION),
    };
  }

  /** Returns the requests that still run of those that were stated. */
  private runningSince(
    upstreamId: string,
    {running, statedAt}: {readonly running: number; readonly statedAt: number},
    now: number,
  ): number {
    const {lastingMilliseconds} = this.decoding.speedOf(upstreamId, now);
    return running * Math.exp(-(now - statedAt) / lastingMilliseconds);
  }

  /**
   * Returns the milliseconds by which others are delayed in total if an engine
   * reads for a millisecond: nobody while engines are idle, more the busier they
   * are.
   */
  private delayOfOthers(): number {
    return Math.min(
      MAXIMUM_DELAY_OF_OTHERS,
      this.busyShare / Math.max(1e-3, 1 - this.busyShare),
    );
  }
}

function choiceOf(
  expected: Expectation,
  unknownMilliseconds: number,
  {ageMilliseconds}: Knowledge,
): EngineChoice {
  const {upstream, waitTokens, readTokens, cachedTokens} = expected;
  const work = expected.waitMilliseconds + expected.readMilliseconds;
  return {
    upstream,
    tokensToRead: waitTokens + readTokens,
    mustWait: waitTokens > 0 || expected.isBlocked,
    estimateMilliseconds:
      work + expected.otherMilliseconds + unknownMilliseconds,
    errorMilliseconds: Math.hypot(
      work * expected.uncertainty,
      unknownMilliseconds,
    ),
    knowledgeAgeMilliseconds: ageMilliseconds,
    cachedTokens,
  };
}

/**
 * Returns the tokens that the preferred engine of a rank is expected to have
 * cached; -1 is the rank of other engines.
 */
function guessedTokens(
  parts: readonly PromptPart[],
  preferredRank: number,
): number {
  const chance = PREFERRED_ENGINE_CHANCES[preferredRank] ?? 0;
  return chance === 0
    ? 0
    : Math.round(
        chance * parts.slice(0, -1).reduce((sum, {tokens}) => sum + tokens, 0),
      );
}

function shareOf<Item>(
  items: readonly Item[],
  test: (item: Item) => boolean,
): number {
  return items.filter(test).length / Math.max(1, items.length);
}
