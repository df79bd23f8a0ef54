/**
 * Compares rules by which engines are ordered: the one before, the one by load, a
 * fixed least number, and the cheapest fixed number that would have served as
 * many requests on time.
 */
import {figureOf, renderFigure} from './figures.js';
import {USUAL_ENGINES} from './ordered_fleet.js';
import type {OrdersPolicy} from './ordering_rule.js';
import {OrdersModel, type OrdersResult} from './orders_model.js';
import {ORDERS_PATTERNS, type OrdersPattern} from './orders_patterns.js';
import {SEEDS} from './random_numbers.js';

/** Seeds of each comparison. */
const RUNS = SEEDS.slice(0, 2);

/** Share of the requests on time that hindsight may serve less than today. */
const HINDSIGHT_SLACK = 0.01;

/** Fixed numbers among which hindsight finds the least that is enough. */
const HINDSIGHT_ENGINES = [32, 24, 20, 16, 12, 9, 6] as const;

/** Compares the rules under each pattern. */
export function measureOrders(): Promise<unknown> {
  return Promise.resolve(ORDERS_PATTERNS.map(measurePattern));
}

function measurePattern(pattern: OrdersPattern): unknown {
  const usual = runsOf(pattern, {kind: 'usual'});
  const byLoad = runsOf(pattern, {kind: 'by-load'});
  const least = runsOf(pattern, {kind: 'fixed', engines: USUAL_ENGINES});
  const hindsight = cheapestInHindsight(pattern, onTimeShare(usual)) ?? usual;
  return {
    pattern: pattern.name,
    usual: report(pattern, 'before', usual),
    byLoad: report(pattern, 'by load', byLoad),
    least: report(pattern, 'fixed least', least),
    hindsight: report(pattern, 'hindsight', hindsight),
  };
}

/**
 * Returns the runs with the fewest engines that serve enough requests on time;
 * undefined if no number does.
 */
function cheapestInHindsight(
  pattern: OrdersPattern,
  usualShare: number,
): readonly OrdersResult[] | undefined {
  let cheapest: readonly OrdersResult[] | undefined;
  for (const engines of HINDSIGHT_ENGINES) {
    const runs = runsOf(pattern, {kind: 'fixed', engines});
    if (onTimeShare(runs) < usualShare - HINDSIGHT_SLACK) {
      return cheapest;
    }
    cheapest = runs;
  }
  return cheapest;
}

function runsOf(
  pattern: OrdersPattern,
  policy: OrdersPolicy,
): readonly OrdersResult[] {
  return RUNS.map(seed => new OrdersModel(pattern, policy, seed).result());
}

function onTimeShare(runs: readonly OrdersResult[]): number {
  const shares = runs.map(({onTime, requests}) => onTime / requests);
  return shares.reduce((sum, share) => sum + share, 0) / runs.length;
}

function report(
  {name}: OrdersPattern,
  rule: string,
  runs: readonly OrdersResult[],
): unknown {
  const figures = {
    cost: figureOf(runs.map(({cost}) => cost)),
    onTime: figureOf(runs.map(({onTime, requests}) => onTime / requests)),
    late: figureOf(runs.map(({late, requests}) => late / requests)),
    failed: figureOf(runs.map(({failed, requests}) => failed / requests)),
    worstWindow: figureOf(runs.map(({worstWindow}) => worstWindow)),
    rereadMegatokens: figureOf(
      runs.map(({rereadTokens}) => rereadTokens / 1e6),
    ),
    calls: figureOf(runs.map(({calls}) => calls)),
  };
  process.stdout.write(
    `${name}, ${rule}: cost ${renderFigure(figures.cost, 0)}, ` +
      `on time ${renderFigure(figures.onTime, 3)}, late ${renderFigure(figures.late, 3)}, ` +
      `refused or lost ${renderFigure(figures.failed, 3)}, worst two seconds ${renderFigure(figures.worstWindow, 2)}, ` +
      `read again ${renderFigure(figures.rereadMegatokens, 1)} million tokens, calls ${renderFigure(figures.calls, 0)}\n`,
  );
  return figures;
}
