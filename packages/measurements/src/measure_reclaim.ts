/**
 * Measures reclaims of hosts: recomputed tokens, lost requests and the time
 * until the time to the first token meets its target again.
 */
import {figureOf, percentile, renderFigure} from './figures.js';
import {FIRST_TOKEN_TARGET_MILLISECONDS} from './measure_dispatch.js';
import {randomFrom, SEEDS} from './random_numbers.js';
import {Simulation} from './simulate.js';
import type {
  MovePolicy,
  Reclaim,
  SimulationResult,
} from './simulation_options.js';
import {
  makeWorkload,
  upstreamsOf,
  WORKLOAD_SHAPES,
  type WorkloadShape,
} from './workload.js';

/** Virtual milliseconds over which requests arrive. */
const ARRIVAL_PERIOD_MILLISECONDS = 90_000;

/** Virtual time of the first notice, in milliseconds. */
const FIRST_NOTICE_MILLISECONDS = 40_000;

/** Milliseconds from the notice to the reclaim. */
const NOTICE_PERIOD_MILLISECONDS = 2000;

/** Load as a fraction of the capacity of a fleet. */
const LOAD = 0.5;

/** Fraction of all hosts that the largest reclaim takes; all reclaimable. */
const LARGEST_RECLAIM_SHARE = 0.43;

/** Milliseconds that a permit request may wait at the dispatcher. */
const MAXIMUM_WAIT_MILLISECONDS = 150;

/** A named set of reclaims. */
interface Scenario {
  readonly name: string;
  readonly reclaims: (shape: WorkloadShape) => readonly Reclaim[];
}

function engineIdsWhere(
  shape: WorkloadShape,
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
        noticeTime: FIRST_NOTICE_MILLISECONDS,
        noticeMilliseconds: NOTICE_PERIOD_MILLISECONDS,
        engineIds: engineIdsWhere(shape, index => index === shape.onDemand),
      },
    ],
  },
  {
    name: 'a failure domain',
    reclaims: shape => [
      {
        noticeTime: FIRST_NOTICE_MILLISECONDS,
        noticeMilliseconds: NOTICE_PERIOD_MILLISECONDS,
        engineIds: engineIdsWhere(shape, (_, domain) => domain === 'b'),
      },
    ],
  },
  {
    name: 'two waves 10 s apart',
    reclaims: shape => [
      {
        noticeTime: FIRST_NOTICE_MILLISECONDS,
        noticeMilliseconds: NOTICE_PERIOD_MILLISECONDS,
        engineIds: engineIdsWhere(shape, index => index === shape.onDemand),
      },
      {
        noticeTime: FIRST_NOTICE_MILLISECONDS + 10_000,
        noticeMilliseconds: NOTICE_PERIOD_MILLISECONDS,
        engineIds: engineIdsWhere(shape, index => index === shape.onDemand + 1),
      },
    ],
  },
  {
    name: '43% of the hosts',
    reclaims: shape => [
      {
        noticeTime: FIRST_NOTICE_MILLISECONDS,
        noticeMilliseconds: NOTICE_PERIOD_MILLISECONDS,
        engineIds: engineIdsWhere(
          shape,
          index =>
            index >= shape.onDemand &&
            index < shape.onDemand + shape.engines * LARGEST_RECLAIM_SHARE,
        ),
      },
    ],
  },
];

/** Measures each scenario with each workload shape. */
export function measureReclaim(): Promise<unknown> {
  const figures = WORKLOAD_SHAPES.flatMap(shape =>
    SCENARIOS.map(scenario => measureScenario(shape, scenario)),
  );
  return Promise.resolve(figures);
}

function measureScenario(shape: WorkloadShape, scenario: Scenario): unknown {
  const run = (seed: number, movePolicy: MovePolicy): SimulationResult => {
    const random = randomFrom(seed);
    return new Simulation({
      shape,
      requests: makeWorkload(shape, LOAD, ARRIVAL_PERIOD_MILLISECONDS, random),
      policy: 'dispatcher',
      movePolicy,
      reclaims: scenario.reclaims(shape),
      random,
      maximumWait: MAXIMUM_WAIT_MILLISECONDS,
    }).run();
  };
  const moved = SEEDS.map(seed => run(seed, 'cheapest'));
  const prefilled = SEEDS.map(seed => run(seed, 'prefill'));
  const restarted = SEEDS.map(seed => run(seed, 'restart'));
  const share = figureOf(
    moved.map(
      ({recomputedTokens}, index) =>
        recomputedTokens / (restarted[index]?.recomputedTokens ?? 1),
    ),
  );
  const prefilledShare = figureOf(
    prefilled.map(
      ({recomputedTokens}, index) =>
        recomputedTokens / (restarted[index]?.recomputedTokens ?? 1),
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

/**
 * Returns the seconds after the first notice from which the 95th percentile of
 * every second meets the target of the time to the first token.
 */
function recoverySeconds({answered}: SimulationResult): number {
  const seconds =
    (ARRIVAL_PERIOD_MILLISECONDS - FIRST_NOTICE_MILLISECONDS) / 1000;
  let recoveredAfter = 0;
  for (let second = 0; second < seconds; second += 1) {
    const from = FIRST_NOTICE_MILLISECONDS + second * 1000;
    const values = answered
      .filter(
        ({request}) =>
          request.arrivalTime >= from && request.arrivalTime < from + 1000,
      )
      .map(({firstTokenMilliseconds}) => firstTokenMilliseconds);
    if (
      values.length > 0 &&
      percentile(values, 0.95) > FIRST_TOKEN_TARGET_MILLISECONDS
    ) {
      recoveredAfter = second + 1;
    }
  }
  return recoveredAfter;
}
