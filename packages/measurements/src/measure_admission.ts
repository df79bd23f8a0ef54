/**
 * Measures who is served, late and refused under patterns of overload, by the
 * rule of admission.
 */
import {figureOf} from './figures.js';
import type {AdmissionPolicy} from './overload_admission.js';
import {
  OverloadModel,
  PATTERN_MILLISECONDS,
  TOKENS_PER_MILLISECOND,
} from './overload_model.js';
import {
  OVERLOAD_PATTERNS,
  type OverloadPattern,
  steadyPattern,
  URGENT_LARGE_KINDS,
  URGENT_SMALL_KINDS,
} from './overload_patterns.js';
import {SEEDS} from './random_numbers.js';

const POLICIES: readonly AdmissionPolicy[] = [
  'arrival-order',
  'by-objective',
  'by-rank',
];

/** Steady loads, as shares of the capacity with warm caches. */
const STEADY_LOADS: readonly number[] = [1, 1.2, 1.5, 2];

/** Seeds of each row. */
const SEED_COUNT = 4;

/** What the runs of a pattern under one policy showed, as medians. */
export interface AdmissionRow {
  readonly pattern: string;
  readonly policy: AdmissionPolicy;
  /** Work answered on time, as a share of the capacity with warm caches. */
  readonly goodput: number;
  /** Shares of the offered requests by kind. */
  readonly kinds: Readonly<Record<string, KindShares>>;
  /** Clients whose first return was served, as a share of those that returned. */
  readonly servedAtReturn: number;
  /** Returns to a promised place, as a share of the refused first attempts. */
  readonly givenPlace: number;
  /** Of the returns to a promised place, the share that was served. */
  readonly servedAtPlace: number;
}

/** Shares of the offered requests of a kind. */
export interface KindShares {
  readonly onTime: number;
  readonly late: number;
  readonly refused: number;
  readonly left: number;
}

/** Compares the policies under each pattern. */
export function measureAdmission(): readonly AdmissionRow[] {
  const patterns = [
    ...STEADY_LOADS.map(load => steadyPattern(load, URGENT_LARGE_KINDS)),
    ...STEADY_LOADS.map(load => steadyPattern(load, URGENT_SMALL_KINDS)),
    ...OVERLOAD_PATTERNS,
  ];
  return patterns.flatMap(pattern =>
    POLICIES.map(policy => {
      const row = admissionRow(pattern, policy, SEED_COUNT);
      process.stdout.write(`${render(row)}\n`);
      return row;
    }),
  );
}

/** Returns what the first `seeds` runs of `pattern` show. */
export function admissionRow(
  pattern: OverloadPattern,
  policy: AdmissionPolicy,
  seeds: number,
): AdmissionRow {
  const runs = SEEDS.slice(0, seeds).map(seed =>
    new OverloadModel({policy, pattern, seed}).result(),
  );
  const median = (values: readonly number[]): number => figureOf(values).median;
  const capacity =
    pattern.engines * TOKENS_PER_MILLISECOND * PATTERN_MILLISECONDS;
  const shares = (name: string): KindShares => {
    const share = (key: keyof KindShares): number =>
      median(runs.map(run => run.of(name)[key] / run.of(name).offered));
    return {
      onTime: share('onTime'),
      late: share('late'),
      refused: share('refused'),
      left: share('left'),
    };
  };
  const sumOf = (
    run: (typeof runs)[number],
    key: 'returned' | 'returnedToPlace' | 'servedAtPlace' | 'servedAtReturn',
  ): number =>
    pattern.kinds.reduce((sum, {name}) => sum + run.of(name)[key], 0);
  const shareOf = (
    part: Parameters<typeof sumOf>[1],
    whole: Parameters<typeof sumOf>[1],
  ): number =>
    median(runs.map(run => sumOf(run, part) / Math.max(1, sumOf(run, whole))));
  return {
    pattern: pattern.name,
    policy,
    goodput: median(
      runs.map(run =>
        pattern.kinds.reduce(
          (sum, {name, ownTokens}) =>
            sum + (run.of(name).onTime * ownTokens) / capacity,
          0,
        ),
      ),
    ),
    kinds: Object.fromEntries(
      pattern.kinds.map(({name}) => [name, shares(name)]),
    ),
    servedAtReturn: shareOf('servedAtReturn', 'returned'),
    givenPlace: shareOf('returnedToPlace', 'returned'),
    servedAtPlace: shareOf('servedAtPlace', 'returnedToPlace'),
  };
}

function render({
  pattern,
  policy,
  goodput,
  kinds,
  servedAtReturn,
  givenPlace,
  servedAtPlace,
}: AdmissionRow): string {
  const byKind = Object.entries(kinds).map(
    ([name, {onTime, late, refused, left}]) =>
      `${name} ${onTime.toFixed(2)} on time, ${late.toFixed(2)} late, ` +
      `${refused.toFixed(2)} refused, ${left.toFixed(2)} left`,
  );
  return (
    `${pattern}, ${policy}: goodput ${goodput.toFixed(2)}; ${byKind.join('; ')}; ` +
    `first return served ${servedAtReturn.toFixed(2)}, ` +
    `at a place ${givenPlace.toFixed(2)}, served there ${servedAtPlace.toFixed(2)}`
  );
}
