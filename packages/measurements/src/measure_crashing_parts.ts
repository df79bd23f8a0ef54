/**
 * Measures what prompt parts cost that crash the engines: engines that end, and
 * sound requests that are refused or lost.
 */
import {
  CrashingPartsModel,
  type CrashingPartsResult,
  type CrashingPartsRun,
  type PartPolicy,
  type PartTrouble,
} from './crashing_parts_model.js';
import {type Figure, figureOf, renderFigure} from './figures.js';
import {SEEDS} from './random_numbers.js';

const POLICIES: readonly PartPolicy[] = [
  'whole-contents',
  'prompt-parts',
  'oracle',
];

const TROUBLES: readonly PartTrouble[] = ['none', 'mass-crash', 'cut', 'burst'];

/** Fleets, with the number of seeds that their size allows. */
const FLEETS = [
  {hosts: 7, engines: 8, seeds: 10},
  {hosts: 77, engines: 55, seeds: 2},
] as const;

const PART_COUNTS: readonly number[] = [1, 2, 3];

/** Compares the policies for each fleet, trouble and number of parts. */
export function measureCrashingParts(): Promise<unknown> {
  const rows = FLEETS.flatMap(({seeds, ...fleet}) =>
    TROUBLES.flatMap(trouble =>
      PART_COUNTS.flatMap(crashingParts =>
        POLICIES.map(policy =>
          measureOne({...fleet, trouble, crashingParts, policy}, seeds),
        ),
      ),
    ),
  );
  return Promise.resolve(rows);
}

function measureOne(
  run: Omit<CrashingPartsRun, 'seed'>,
  seeds: number,
): unknown {
  const results = SEEDS.slice(0, seeds).map(seed =>
    new CrashingPartsModel({...run, seed}).result(),
  );
  const figures = {
    enginesEnded: figureFor(results, ({enginesEnded}) => enginesEnded),
    sentLate: figureFor(results, ({sentLate}) => sentLate),
    soundRefused: figureFor(results, ({soundRefused}) => soundRefused * 100),
    soundLost: figureFor(results, ({soundLost}) => soundLost * 100),
  };
  process.stdout.write(
    `${run.hosts} hosts, ${run.crashingParts} parts, ${run.trouble}, ${run.policy}: ` +
      `engines ended ${renderFigure(figures.enginesEnded, 0)}, ` +
      `sent late ${renderFigure(figures.sentLate, 0)}, ` +
      `sound refused ${renderFigure(figures.soundRefused, 2)}%, ` +
      `lost ${renderFigure(figures.soundLost, 2)}%\n`,
  );
  return {...run, ...figures};
}

function figureFor(
  results: readonly CrashingPartsResult[],
  valueOf: (result: CrashingPartsResult) => number,
): Figure {
  return figureOf(results.map(valueOf));
}
