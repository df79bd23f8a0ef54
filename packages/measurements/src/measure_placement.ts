/**
 * Compares rules of placement on knowledge that is old, with engines of
 * different speeds.
 */
import {figureOf} from './figures.js';
import {
  PlacementModel,
  type PlacementPolicy,
  type PlacementRun,
  type PlacingHosts,
} from './placement_model.js';
import type {PlacementFigures} from './placement_results.js';

/** A fleet whose placements are compared. */
export type PlacementCase = Omit<PlacementRun, 'policy' | 'seed'>;

const POLICIES: readonly PlacementPolicy[] = [
  'previous',
  'least-reported-load',
  'two-choices',
  'spread',
];

const SEEDS: readonly number[] = [1, 2, 3];

/** Hosts and engines of the compared fleets. */
const FLEETS: readonly Pick<PlacementCase, 'engines' | 'hosts'>[] = [
  {hosts: 7, engines: 8},
  {hosts: 58, engines: 24},
  {hosts: 195, engines: 98},
];

const AGES: readonly number[] = [0, 500, 1000, 2000];

const LOADS: readonly number[] = [0.2, 0.35];

const PLACED_BY: readonly PlacingHosts[] = ['dispatcher', 'each-host'];

/** Returns the median figures of several runs. */
export function placementFigures(
  fleet: PlacementCase,
  policy: PlacementPolicy,
  seeds: readonly number[] = SEEDS,
): PlacementFigures {
  const runs = seeds.map(seed =>
    new PlacementModel({...fleet, policy, seed}).result().figures(),
  );
  const medianOf = (valueOf: (figures: PlacementFigures) => number): number =>
    figureOf(runs.map(valueOf)).median;
  return {
    firstTokenMedian: medianOf(figures => figures.firstTokenMedian),
    firstTokenP99: medianOf(figures => figures.firstTokenP99),
    longestQueueTokens: medianOf(figures => figures.longestQueueTokens),
    idleWhileQueued: medianOf(figures => figures.idleWhileQueued),
    readTokens: medianOf(figures => figures.readTokens),
    estimateError: medianOf(figures => figures.estimateError),
  };
}

/** Compares the policies in each fleet, at each age of knowledge. */
export function measurePlacement(): Promise<unknown> {
  const figures = PLACED_BY.flatMap(placedBy =>
    FLEETS.flatMap(fleet =>
      LOADS.flatMap(load =>
        AGES.flatMap(ageMilliseconds =>
          POLICIES.map(policy =>
            measureRow(
              {...fleet, placedBy, load, ageMilliseconds, hasNoise: true},
              policy,
            ),
          ),
        ),
      ),
    ),
  );
  return Promise.resolve(figures);
}

function measureRow(fleet: PlacementCase, policy: PlacementPolicy): unknown {
  const figures = placementFigures(fleet, policy);
  const {placedBy, hosts, engines, load, ageMilliseconds} = fleet;
  process.stdout.write(
    `${placedBy}, ${hosts} hosts, ${engines} engines, load ${load}, ${ageMilliseconds} ms old, ${policy}: ` +
      `first token ${figures.firstTokenMedian.toFixed(0)} and p99 ${figures.firstTokenP99.toFixed(0)} ms, ` +
      `longest queue ${figures.longestQueueTokens.toFixed(0)} tokens, idle ${figures.idleWhileQueued.toFixed(3)}, ` +
      `${figures.readTokens.toFixed(0)} tokens read a request, error ${figures.estimateError.toFixed(0)} ms\n`,
  );
  return {...fleet, policy, ...figures};
}
