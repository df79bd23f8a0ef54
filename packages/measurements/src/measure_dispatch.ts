/**
 * Measures the dispatcher at several loads and compares it with a random choice
 * of the engine and with the choice of the least reported load.
 */
import {figureOf, percentile, renderFigure} from './figures.js';
import {randomFrom, SEEDS} from './random_numbers.js';
import {Simulation} from './simulate.js';
import type {DispatchPolicy, SimulationResult} from './simulation_options.js';
import {makeWorkload, WORKLOAD_SHAPES, type WorkloadShape} from './workload.js';

/** Loads as fractions of the capacity of a fleet. */
const LOADS = [0.5, 0.8, 0.95, 1, 1.2] as const;
const POLICIES: readonly DispatchPolicy[] = [
  'random',
  'least-reported-load',
  'dispatcher',
];

/** Virtual milliseconds over which requests arrive. */
const ARRIVAL_PERIOD_MILLISECONDS = 120_000;

/** Milliseconds that a permit request may wait at the dispatcher. */
const MAXIMUM_WAIT_MILLISECONDS = 150;

/** Target for the 95th percentile of the milliseconds to the first token. */
export const FIRST_TOKEN_TARGET_MILLISECONDS = 320;

/** Target for the 95th percentile of the milliseconds between two tokens. */
const BETWEEN_TOKENS_TARGET_MILLISECONDS = 38;

/** Figures of one run. */
interface RunFigures {
  /** 95th percentile of the milliseconds to the first token. */
  readonly firstTokenP95: number;
  /** 95th percentile of the milliseconds between two tokens. */
  readonly betweenTokensP95: number;
  readonly costPerThousandTokens: number;
  /** Fraction of the prefix blocks that were cached. */
  readonly prefixHitRatio: number;
  /** Tokens per second of answers that met both latency targets. */
  readonly goodput: number;
  /** Fraction of the requests that the dispatcher refused. */
  readonly refusedShare: number;
}

/** Measures each policy at each load and workload shape. */
export function measureDispatch(): Promise<unknown> {
  const figures = WORKLOAD_SHAPES.flatMap(shape =>
    LOADS.flatMap(load =>
      POLICIES.map(policy => measureCombination(shape, load, policy)),
    ),
  );
  return Promise.resolve(figures);
}

function measureCombination(
  shape: WorkloadShape,
  load: number,
  policy: DispatchPolicy,
): unknown {
  const runs = SEEDS.map(seed => {
    const random = randomFrom(seed);
    const requests = makeWorkload(
      shape,
      load,
      ARRIVAL_PERIOD_MILLISECONDS,
      random,
    );
    const result = new Simulation({
      shape,
      requests,
      policy,
      movePolicy: 'cheapest',
      reclaims: [],
      random,
      maximumWait: MAXIMUM_WAIT_MILLISECONDS,
    }).run();
    return runFiguresOf(result, requests.length);
  });
  const figureAcrossRuns = (
    pick: (run: RunFigures) => number,
  ): ReturnType<typeof figureOf> => figureOf(runs.map(pick));
  const figures = {
    firstTokenP95: figureAcrossRuns(run => run.firstTokenP95),
    betweenTokensP95: figureAcrossRuns(run => run.betweenTokensP95),
    costPerThousandTokens: figureAcrossRuns(run => run.costPerThousandTokens),
    prefixHitRatio: figureAcrossRuns(run => run.prefixHitRatio),
    goodput: figureAcrossRuns(run => run.goodput),
    refusedShare: figureAcrossRuns(run => run.refusedShare),
  };
  process.stdout.write(
    `${shape.name} at ${load * 100}%, ${policy}: first token p95 ${renderFigure(figures.firstTokenP95, 0)} ms, ` +
      `between tokens p95 ${renderFigure(figures.betweenTokensP95, 1)} ms, ` +
      `cost ${renderFigure(figures.costPerThousandTokens, 5)}, ` +
      `prefix hits ${renderFigure(figures.prefixHitRatio, 2)}, ` +
      `goodput ${renderFigure(figures.goodput, 0)}, refused ${renderFigure(figures.refusedShare, 3)}\n`,
  );
  return {shape: shape.name, load, policy, ...figures};
}

function runFiguresOf(result: SimulationResult, requests: number): RunFigures {
  const {answered} = result;
  const tokens = answered.reduce(
    (sum, {request}) => sum + request.outputTokens,
    0,
  );
  const tokensWithinTargets = answered
    .filter(
      ({firstTokenMilliseconds, millisecondsBetweenTokens}) =>
        firstTokenMilliseconds <= FIRST_TOKEN_TARGET_MILLISECONDS &&
        millisecondsBetweenTokens <= BETWEEN_TOKENS_TARGET_MILLISECONDS,
    )
    .reduce((sum, {request}) => sum + request.outputTokens, 0);
  return {
    firstTokenP95: percentile(
      answered.map(({firstTokenMilliseconds}) => firstTokenMilliseconds),
      0.95,
    ),
    betweenTokensP95: percentile(
      answered.map(({millisecondsBetweenTokens}) => millisecondsBetweenTokens),
      0.95,
    ),
    costPerThousandTokens: (result.cost / tokens) * 1000,
    prefixHitRatio: result.prefixHitRatio,
    goodput: (tokensWithinTargets / ARRIVAL_PERIOD_MILLISECONDS) * 1000,
    refusedShare: result.refused / requests,
  };
}
