/**
 * Reclaims: recomputed tokens, lost requests and the time until the first
 * token is back at its target.
 */
import {figureOf, percentile, renderFigure} from './figures.js';
import {FIRST_TOKEN_TARGET} from './measure_dispatch.js';
import {randomFrom, SEEDS} from './random_numbers.js';
import {
  type MovePolicy,
  type Reclaim,
  Simulation,
  type SimulationResult,
} from './simulate.js';
import {makeWorkload, type Shape, SHAPES, upstreamsOf} from './workload.js';

const DURATION = 90_000;
const RECLAIM_AT = 40_000;
const NOTICE = 2000;
const LOAD = 0.5;

/** Share of the hosts that can be reclaimed. */
const RECLAIMED_SHARE = 0.43;
const MAXIMUM_WAIT = 150;

interface Scenario {
  readonly name: string;
  readonly reclaims: (shape: Shape) => readonly Reclaim[];
}

function idsOf(
  shape: Shape,
  isChosen: (index: number, domain: string) => boolean,
): readonly string[] {
  return upstreamsOf(shape)
    .filter(({failureDomain}, index) => isChosen(index, failureDomain))
    .map(({id}) => id);
}

const SCENARIOS: readonly Scenario[] = [
  {
    name: 'one host',
    reclaims: shape => [
      {
        at: RECLAIM_AT,
        notice: NOTICE,
        engineIds: idsOf(shape, index => index === shape.onDemand),
      },
    ],
  },
  {
    name: 'a failure domain',
    reclaims: shape => [
      {
        at: RECLAIM_AT,
        notice: NOTICE,
        engineIds: idsOf(shape, (_, domain) => domain === 'b'),
      },
    ],
  },
  {
    name: 'two waves 10 s apart',
    reclaims: shape => [
      {
        at: RECLAIM_AT,
        notice: NOTICE,
        engineIds: idsOf(shape, index => index === shape.onDemand),
      },
      {
        at: RECLAIM_AT + 10_000,
        notice: NOTICE,
        engineIds: idsOf(shape, index => index === shape.onDemand + 1),
      },
    ],
  },
  {
    name: '43% of the hosts',
    reclaims: shape => [
      {
        at: RECLAIM_AT,
        notice: NOTICE,
        engineIds: idsOf(
          shape,
          index =>
            index >= shape.onDemand &&
            index < shape.onDemand + shape.engines * RECLAIMED_SHARE,
        ),
      },
    ],
  },
];

/** Measures reclaims. */
export function measureReclaim(): Promise<unknown> {
  const figures = SHAPES.flatMap(shape =>
    SCENARIOS.map(scenario => measureScenario(shape, scenario)),
  );
  return Promise.resolve(figures);
}

function measureScenario(shape: Shape, scenario: Scenario): unknown {
  const run = (seed: number, movePolicy: MovePolicy): SimulationResult => {
    const random = randomFrom(seed);
    return new Simulation({
      shape,
      requests: makeWorkload(shape, LOAD, DURATION, random),
      policy: 'dispatcher',
      movePolicy,
      reclaims: scenario.reclaims(shape),
      random,
      maximumWait: MAXIMUM_WAIT,
    }).run();
  };
  const moved = SEEDS.map(seed => run(seed, 'cheapest'));
  const prefilled = SEEDS.map(seed => run(seed, 'prefill'));
  const restarted = SEEDS.map(seed => run(seed, 'restart'));
  const share = figureOf(
    moved.map(
      ({recomputed}, index) => recomputed / (restarted[index]?.recomputed ?? 1),
    ),
  );
  const prefilledShare = figureOf(
    prefilled.map(
      ({recomputed}, index) => recomputed / (restarted[index]?.recomputed ?? 1),
    ),
  );
  const lost = figureOf(moved.map(result => result.lost));
  const refused = figureOf(moved.map(result => result.refused));
  const recovery = figureOf(moved.map(recoverySeconds));
  process.stdout.write(
    `${shape.name}, ${scenario.name}: recomputed ${renderFigure(share, 3)} of restarting (${renderFigure(prefilledShare, 3)} where no cache can move), ` +
      `lost ${renderFigure(lost, 0)}, refused ${renderFigure(refused, 0)}, ` +
      `first token at target after ${renderFigure(recovery, 1)} s\n`,
  );
  return {
    shape: shape.name,
    scenario: scenario.name,
    recomputedShare: share,
    recomputedShareWithoutCache: prefilledShare,
    lost,
    refused,
    recoverySeconds: recovery,
  };
}

/** Seconds until the p95 of each later second is at its target. */
function recoverySeconds({answered}: SimulationResult): number {
  const seconds = (DURATION - RECLAIM_AT) / 1000;
  let recovered = 0;
  for (let second = 0; second < seconds; second += 1) {
    const from = RECLAIM_AT + second * 1000;
    const values = answered
      .filter(
        ({request}) => request.arrival >= from && request.arrival < from + 1000,
      )
      .map(({firstToken}) => firstToken);
    if (values.length > 0 && percentile(values, 0.95) > FIRST_TOKEN_TARGET) {
      recovered = second + 1;
    }
  }
  return recovered;
}
