/**
 * What a host expects of a request at one engine: its wait, the time that its
 * own prompt takes, and what that costs others.
 */
import type {UsableUpstream} from '../upstreams/listed_upstream.js';
import type {EngineChoice, PromptPart} from './choose_engine.js';
import {type KnownEngine, waitAt} from './engine_wait.js';
import type {PlacementTask} from './service_table.js';
import type {SpreadCandidate} from './spread_choice.js';
import type {StatedLoad} from './stated_loads.js';
import type {UpstreamWork} from './upstream_work.js';
import type {WorkSpeed} from './work_speeds.js';

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
 * Chances that the preferred engines of a shared prompt part have read it, as far
 * as a host knows that does not see all requests.
 */
const PREFERRED_ENGINE_CHANCES: readonly number[] = [0.9, 0.4];

/** Number of preferred engines of a shared prompt part. */
export const PREFERRED_ENGINES = PREFERRED_ENGINE_CHANCES.length;

/**
 * Milliseconds for which a part that no engine has read waits for its preferred
 * engine, at which hosts that see only their own requests look for it.
 */
const PREFERENCE_MILLISECONDS = 60;

/** Standard deviation of the relative duration of a request. */
const DURATION_DEVIATION = 0.3;

/** Milliseconds for which a choice of another shard is requested. */
const OTHER_SHARD_MILLISECONDS = 20;

/** What is known of an engine when a request is placed. */
export interface EngineFacts {
  readonly work: Readonly<UpstreamWork>;
  /** Age in milliseconds of the newest report of a first token. */
  readonly lagMilliseconds: number;
  /** Load that another host stated; undefined if this host knows it itself. */
  readonly stated: StatedLoad | undefined;
  readonly speed: WorkSpeed;
  /** Milliseconds from the first token of an answer to its end. */
  readonly answerMilliseconds: number;
  /** Mean milliseconds for which a prompt is read. */
  readonly meanReadMilliseconds: number;
  /** Tokens of the prompt that the engine has read before. */
  readonly rememberedTokens: number;
  /** Rank among the preferred engines of the prompt; -1 for others. */
  readonly preferredRank: number;
  /** Whether this host knows all requests at the engine. */
  readonly isComplete: boolean;
}

/** An engine and the request there, as this host expects it. */
export interface Expectation {
  readonly upstream: UsableUpstream;
  /** Requests in progress. */
  readonly running: number;
  readonly tokensPerMillisecond: number;
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

/** Returns what a host expects of the request of `task` at one engine. */
export function expectAt(
  upstream: UsableUpstream,
  facts: EngineFacts,
  {demand, failureDomain, grants}: PlacementTask,
  now: number,
): Expectation {
  const {work, stated, speed, answerMilliseconds, rememberedTokens} = facts;
  const millisecondsPerToken = speed.millisecondsNow;
  const engine: KnownEngine = {
    work,
    millisecondsPerToken,
    lagMilliseconds: facts.lagMilliseconds,
    stated,
  };
  const wait = waitAt(engine, demand.priority, now);
  const allWaiting =
    wait.milliseconds === 0 ? wait : waitAt(engine, Infinity, now);
  const running = Math.max(
    work.running,
    stated === undefined
      ? 0
      : stated.running * Math.exp((stated.statedAt - now) / answerMilliseconds),
  );
  const cachedTokens = facts.isComplete
    ? rememberedTokens
    : Math.max(
        rememberedTokens,
        guessedTokens(demand.parts, facts.preferredRank),
      );
  const readTokens = Math.max(0, demand.promptTokens - cachedTokens);
  const excessRequests = Math.max(0, running + 1 - upstream.slots);
  const grantWait = grants.waitOf(upstream);
  return {
    upstream,
    running,
    tokensPerMillisecond: 1 / millisecondsPerToken,
    waitTokens: wait.tokens,
    waitMilliseconds: wait.milliseconds,
    overtakenRequests:
      Math.max(0, allWaiting.milliseconds - wait.milliseconds) /
      Math.max(1, facts.meanReadMilliseconds),
    readTokens,
    readMilliseconds: readTokens * millisecondsPerToken,
    otherMilliseconds:
      grantWait +
      running * MILLISECONDS_PER_RUNNING_REQUEST +
      (excessRequests * answerMilliseconds) / upstream.slots +
      upstream.coldMilliseconds,
    preferenceMilliseconds:
      rememberedTokens === 0 && facts.preferredRank !== 0
        ? PREFERENCE_MILLISECONDS
        : 0,
    costMilliseconds:
      upstream.failureDomain === failureDomain
        ? 0
        : OTHER_DOMAIN_MILLISECONDS +
          demand.promptTokens * OTHER_DOMAIN_MILLISECONDS_PER_TOKEN,
    cachedTokens,
    isBlocked: excessRequests > 0 || grantWait > 0,
    capacity: 1 / speed.lastingMilliseconds,
    uncertainty: speed.uncertainty,
  };
}

/**
 * Returns the engine as a candidate, where reading for a millisecond delays
 * others by `delayOfOthers` milliseconds in total.
 */
export function candidateOf(
  expected: Expectation,
  delayOfOthers: number,
): SpreadCandidate {
  return {
    waitMilliseconds: expected.waitMilliseconds,
    ownMilliseconds:
      expected.otherMilliseconds +
      expected.readMilliseconds *
        (1 + delayOfOthers + expected.overtakenRequests) +
      expected.preferenceMilliseconds +
      expected.costMilliseconds,
    capacity: expected.capacity,
  };
}

/** What a choice rests on besides the expectation at the chosen engine. */
export interface ChoiceBasis {
  readonly unknownMilliseconds: number;
  readonly ageMilliseconds: number;
  readonly delayOfOthers: number;
  /** Milliseconds in which a usual engine reads the prompt. */
  readonly idleReadMilliseconds: number;
}

/** Returns the choice of the engine that `expected` describes. */
export function choiceOf(
  expected: Expectation,
  basis: ChoiceBasis,
): EngineChoice {
  const {upstream, waitTokens, readTokens, cachedTokens} = expected;
  const {unknownMilliseconds, ageMilliseconds, delayOfOthers} = basis;
  const {waitMilliseconds, ownMilliseconds} = candidateOf(
    expected,
    delayOfOthers,
  );
  const work = waitMilliseconds + expected.readMilliseconds;
  return {
    upstream,
    tokensToRead: waitTokens + readTokens,
    mustWait: waitTokens > 0 || expected.isBlocked,
    costMilliseconds: waitMilliseconds + ownMilliseconds,
    isCheaperWhenIdle:
      work > basis.idleReadMilliseconds + OTHER_SHARD_MILLISECONDS,
    estimateMilliseconds:
      work + expected.otherMilliseconds + unknownMilliseconds,
    errorMilliseconds: Math.hypot(
      work * Math.hypot(expected.uncertainty, DURATION_DEVIATION),
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
  return chance === 0 ? 0 : Math.round(chance * sharedTokensOf(parts));
}

/** Returns the tokens of the parts that other requests can share. */
export function sharedTokensOf(parts: readonly PromptPart[]): number {
  return parts.slice(0, -1).reduce((sum, {tokens}) => sum + tokens, 0);
}
