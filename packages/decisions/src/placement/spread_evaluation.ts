/**
 * The evaluation of the engines for one request, before one of them is chosen.
 */
import type {EngineChoice} from './choose_engine.js';
import {candidateOf, choiceOf, type Expectation} from './engine_expectation.js';
import {
  drawnShareOf,
  type SpreadCandidate,
  type SpreadChoice,
  spreadChoiceAt,
  type UnknownLoad,
  weighSpread,
} from './spread_choice.js';
import type {WeighedEngine, WeighedEngines} from './weighed_engines.js';

/**
 * Largest number of milliseconds by which a millisecond of reading delays other
 * requests in total.
 */
const MAXIMUM_DELAY_OF_OTHERS = 8;

/** The knowledge on which a choice rests. */
export interface SpreadKnowledge {
  /** Whether this host knows all requests. */
  readonly isComplete: boolean;
  /** Whether it knows the load of all engines, however old. */
  readonly isInformed: boolean;
  readonly ageMilliseconds: number;
}

/** The state of a table on which an evaluation rests. */
export interface SpreadBasis {
  readonly knowledge: SpreadKnowledge;
  /** Share of the engines that were reading when their loads were known. */
  readonly busyShare: number;
  readonly meanReadMilliseconds: number;
  /** Milliseconds in which a usual engine reads the prompt. */
  readonly idleReadMilliseconds: number;
}

/** The engines for one request. */
export interface SpreadEvaluation {
  readonly expectations: readonly Expectation[];
  readonly candidates: readonly SpreadCandidate[];
  readonly unknown: UnknownLoad;
  /** Share of the engines that are reading, as far as it is known now. */
  readonly busyShare: number;
  readonly delayOfOthers: number;
  readonly idleReadMilliseconds: number;
}

/** Evaluates the engines of which `expectations` were formed. */
export function evaluateSpread(
  expectations: readonly Expectation[],
  {knowledge, meanReadMilliseconds, ...basis}: SpreadBasis,
): SpreadEvaluation {
  const reading = expectations.filter(({waitTokens}) => waitTokens > 0);
  const busyShare = knowledge.isInformed
    ? reading.length / Math.max(1, expectations.length)
    : basis.busyShare;
  const delayOfOthers = delayOfOthersAt(busyShare);
  return {
    expectations,
    candidates: expectations.map(expected =>
      candidateOf(expected, delayOfOthers),
    ),
    unknown: {
      ageMilliseconds: knowledge.ageMilliseconds,
      busyShare,
      meanMilliseconds: meanReadMilliseconds,
    },
    busyShare,
    delayOfOthers,
    idleReadMilliseconds: basis.idleReadMilliseconds,
  };
}

/** Returns the choice of the engine at `index`; undefined if there is none. */
export function evaluatedChoice(
  evaluation: SpreadEvaluation,
  chosen: SpreadChoice | undefined,
): EngineChoice | undefined {
  const {expectations, unknown, delayOfOthers} = evaluation;
  const expected = expectations[chosen?.index ?? -1];
  return chosen === undefined || expected === undefined
    ? undefined
    : choiceOf(expected, {
        unknownMilliseconds: chosen.unknownMilliseconds,
        ageMilliseconds: unknown.ageMilliseconds,
        delayOfOthers,
        idleReadMilliseconds: evaluation.idleReadMilliseconds,
      });
}

/** Returns all engines with the shares in which they are chosen. */
export function weighedEngines(evaluation: SpreadEvaluation): WeighedEngines {
  const {expectations, candidates, unknown} = evaluation;
  const weighing = weighSpread(candidates, unknown);
  const engines = expectations.flatMap((expected, index): WeighedEngine[] => {
    const chosen = spreadChoiceAt(candidates, weighing, index);
    const choice = evaluatedChoice(evaluation, chosen);
    return choice === undefined
      ? []
      : [
          {
            choice,
            running: expected.running,
            waitMilliseconds: expected.waitMilliseconds,
            readMilliseconds: expected.readMilliseconds,
            tokensPerMillisecond: expected.tokensPerMillisecond,
            costMilliseconds: choice.costMilliseconds ?? 0,
            share: drawnShareOf(weighing, index),
          },
        ];
  });
  return {engines, weighing};
}

/**
 * Returns the milliseconds by which others are delayed in total if an engine
 * reads for a millisecond: none while engines are idle, more the busier they
 * are.
 */
function delayOfOthersAt(busyShare: number): number {
  return Math.min(
    MAXIMUM_DELAY_OF_OTHERS,
    busyShare / Math.max(1e-3, 1 - busyShare),
  );
}
