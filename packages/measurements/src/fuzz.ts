/**
 * `npm run --silent fuzz -- --seconds N [--seed S]`: fuzzes the protocol code
 * for N seconds or until the first failure, and prints the number of runs and
 * commands and the failure as JSON.
 */
import {settingsOrExit} from '@lacewingwinch/stand-ins';
import * as fc from 'fast-check';

import {fuzzCommands} from './fuzz_commands.js';
import {dutySteps, runDutySteps} from './fuzz_duties.js';
import {FuzzSystem} from './fuzz_system.js';
import {FUZZ_COMMAND, readFuzzArguments} from './measurement_arguments.js';

/** Runs between two checks of the elapsed time. */
const RUNS_PER_ROUND = 500;

const {seconds, seed} = settingsOrExit(
  FUZZ_COMMAND,
  readFuzzArguments(process.argv.slice(2)),
);

let runs = 0;
let commands = 0;
const endTime = performance.now() + seconds * 1000;
let failure: string | undefined;
while (performance.now() < endTime && failure === undefined) {
  const result = fc.check(
    fc.property(fuzzCommands(), sequence => {
      const system = new FuzzSystem();
      const commandList = [...sequence];
      commands += commandList.length;
      runs += 1;
      fc.modelRun(() => ({model: {}, real: system}), commandList);
    }),
    {numRuns: RUNS_PER_ROUND, seed: seed + runs},
  );
  const dutyResult = fc.check(fc.property(dutySteps(), runDutySteps), {
    numRuns: RUNS_PER_ROUND,
    seed: seed + runs,
  });
  runs += dutyResult.numRuns;
  failure = describeFailure(result) ?? describeFailure(dutyResult);
}
process.stdout.write(
  `${JSON.stringify({fuzz: 'protocol', seed, runs, commands, failure: failure ?? null})}\n`,
);
process.exitCode = failure === undefined ? 0 : 1;

function describeFailure<T>(result: fc.RunDetails<T>): string | undefined {
  return result.failed
    ? `seed ${result.seed} path ${result.counterexamplePath ?? ''}: ${fc.stringify(result.counterexample)}: ${String(result.errorInstance)}`
    : undefined;
}
