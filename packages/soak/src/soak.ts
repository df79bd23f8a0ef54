/**
 * The program behind `npm run --silent soak -- --seeds A..B [--hosts N]`. Runs
 * the seeds, prints a line for each and a JSON summary at the end.
 */
import {settingsOrExit} from '@lacewingwinch/stand-ins';

import {DEFAULT_SIZE, runSeed, type SeedResult} from './run_seed.js';
import {readSoakArguments, SOAK_COMMAND} from './soak_arguments.js';

const {first, last, hosts, otherProgram} = settingsOrExit(
  SOAK_COMMAND,
  readSoakArguments(process.argv.slice(2)),
);

const failed: SeedResult[] = [];
let calls = 0;
for (let seed = first; seed <= last; seed += 1) {
  const result = await runSeed(seed, {...DEFAULT_SIZE, hosts, otherProgram});
  calls += result.calls;
  const hasFailed = result.folder !== undefined;
  process.stdout.write(
    `seed ${seed}: ${result.faults} faults, ${result.answered} of ${result.calls} calls answered, ` +
      `${result.reports} reports: ${hasFailed ? 'FAILED' : 'kept'}\n`,
  );
  if (hasFailed) {
    failed.push(result);
    for (const {guarantee, detail} of result.violations) {
      process.stdout.write(`  ${guarantee}: ${detail}\n`);
    }
    process.stdout.write(
      `  recovered: ${result.hasRecovered}; logs: ${result.folder}\n`,
    );
  }
}
process.stdout.write(
  `${JSON.stringify({soak: 'seeds', first, last, hosts, calls, failed: failed.map(({seed}) => seed)})}\n`,
);
process.exitCode = failed.length === 0 ? 0 : 1;
