/**
 * Dispatch at several loads, against random choice and least reported load.
 */
import {figureOf, percentile, renderFigure} from './figures.js';
import {randomFrom, SEEDS} from './random_numbers.js';
import {type Policy, Simulation, type SimulationResult} from './simulate.js';
import {makeWorkload, type Shape, SHAPES} from './workload.js';

const LOADS = [0.5, 0.8, 0.95, 1, 1.2] as const;
const POLICIES: readonly Policy[] = [
  'random',
  'least-reported-load',
  'dispatcher',
];

/** Virtual milliseconds of arrivals. */
const DURATION = 120_000;

/** Milliseconds that an ask may wait. */
const MAXIMUM_WAIT = 150;

/** Milliseconds to the first token, for 95 in 100. */
export const FIRST_TOKEN_TARGET = 320;

/** Milliseconds between two tokens, for 95 in 100. */
const BETWEEN_TOKENS_TARGET = 38;

interface Row {
  readonly firstTokenP95: number;
  readonly betweenTokensP95: number;
  readonly costPerThousandTokens: number;
  readonly prefixHitRatio: number;
  /** Tokens a second of answers that met the latency target. */
  readonly goodput: number;
  readonly refusedShare: number;
}

/** Measures dispatch. */
export function measureDispatch(): Promise<unknown> {
  const figures = SHAPES.flatMap(shape =>
    LOADS.flatMap(load =>
      POLICIES.map(policy => measureOne(shape, load, policy)),
    ),
  );
  return Promise.resolve(figures);
}

function measureOne(shape: Shape, load: number, policy: Policy): unknown {
  const rows = SEEDS.map(seed => {
    const random = randomFrom(seed);
    const requests = makeWorkload(shape, load, DURATION, random);
    const result = new Simulation({
      shape,
      requests,
      policy,
      movePolicy: 'cheapest',
      reclaims: [],
      random,
      maximumWait: MAXIMUM_WAIT,
    }).run();
    return rowOf(result, requests.length);
  });
  const of = (pick: (row: Row) => number): ReturnType<typeof figureOf> =>
    figureOf(rows.map(pick));
  const figures = {
    firstTokenP95: of(row => row.firstTokenP95),
    betweenTokensP95: of(row => row.betweenTokensP95),
    costPerThousandTokens: of(row => row.costPerThousandTokens),
    prefixHitRatio: of(row => row.prefixHitRatio),
    goodput: of(row => row.goodput),
    refusedShare: of(row => row.refusedShare),
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

function rowOf(result: SimulationResult, requests: number): Row {
  const {answered} = result;
  const tokens = answered.reduce(
    (sum, {request}) => sum + request.outputTokens,
    0,
  );
  const good = answered
    .filter(
      ({firstToken, betweenTokens}) =>
        firstToken <= FIRST_TOKEN_TARGET &&
        betweenTokens <= BETWEEN_TOKENS_TARGET,
    )
    .reduce((sum, {request}) => sum + request.outputTokens, 0);
  return {
    firstTokenP95: percentile(
      answered.map(({firstToken}) => firstToken),
      0.95,
    ),
    betweenTokensP95: percentile(
      answered.map(({betweenTokens}) => betweenTokens),
      0.95,
    ),
    costPerThousandTokens: (result.cost / tokens) * 1000,
    prefixHitRatio: result.prefixHitRatio,
    goodput: (good / DURATION) * 1000,
    refusedShare: result.refused / requests,
  };
}
