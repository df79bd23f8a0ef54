/**
 * `npm run --silent fuzz -- --seconds N [--seed S]`: fuzzes the protocol code
 * for a while and prints the runs, the commands and the failures as JSON.
 */
import {parseArgs} from 'node:util';

import * as fc from 'fast-check';

import {fuzzCommands} from './fuzz_commands.js';
import {FuzzWorld} from './fuzz_world.js';

/** Runs between two looks at the clock. */
const RUNS_IN_ROUND = 500;

const {values} = parseArgs({
  options: {seconds: {type: 'string'}, seed: {type: 'string'}},
});
const seconds = Number(values.seconds ?? 10);
const seed = Number(values.seed ?? 1);
if (!(seconds > 0) || !Number.isInteger(seed)) {
  process.stderr.write('fuzz: --seconds N [--seed S], both numbers\n');
  process.exit(2);
}

let runs = 0;
let commands = 0;
const until = performance.now() + seconds * 1000;
let failure: string | undefined;
while (performance.now() < until && failure === undefined) {
  const result = fc.check(
    fc.property(fuzzCommands(), sequence => {
      const world = new FuzzWorld();
      const list = [...sequence];
      commands += list.length;
      runs += 1;
      fc.modelRun(() => ({model: {}, real: world}), list);
    }),
    {numRuns: RUNS_IN_ROUND, seed: seed + runs},
  );
  if (result.failed) {
    failure = `seed ${result.seed} path ${result.counterexamplePath ?? ''}: ${fc.stringify(result.counterexample)}: ${String(result.errorInstance)}`;
  }
}
process.stdout.write(
  `${JSON.stringify({fuzz: 'protocol', seed, runs, commands, failure: failure ?? null})}\n`,
);
process.exitCode = failure === undefined ? 0 : 1;
