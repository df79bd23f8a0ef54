/**
 * The engines among which a request is placed, as a host weighs them before it
 * chooses one.
 */
import type {EngineChoice} from './choose_engine.js';
import {drawIndex, type SpreadWeighing} from './spread_choice.js';

/** An engine, and what a host expects of a request there. */
export interface WeighedEngine {
  readonly choice: EngineChoice;
  /** Requests in progress, as far as this host knows. */
  readonly running: number;
  /** Milliseconds until the prompts that wait there are read. */
  readonly waitMilliseconds: number;
  /** Milliseconds in which the prompt of the request is read. */
  readonly readMilliseconds: number;
  readonly tokensPerMillisecond: number;
  /** What the choice among the engines goes by. */
  readonly costMilliseconds: number;
  /** Share of the draws in which this engine is chosen, 0 to 1. */
  readonly share: number;
}

/** The engines, and how one of them is chosen. */
export interface WeighedEngines {
  readonly engines: readonly WeighedEngine[];
  readonly weighing: SpreadWeighing;
}

/**
 * Returns the engine that `random` draws, from 0 (inclusive) to 1 (exclusive),
 * or the one that is drawn most often if it is undefined.
 */
export function chooseWeighed(
  {engines, weighing}: WeighedEngines,
  random: number | undefined,
): EngineChoice | undefined {
  const index =
    random === undefined ? likeliestOf(engines) : drawIndex(weighing, random);
  return engines[index]?.choice;
}

function likeliestOf(engines: readonly WeighedEngine[]): number {
  const shares = engines.map(({share}) => share);
  return shares.indexOf(Math.max(...shares));
}
