/**
 * Runs the tests and passes over those that `KNOWN-RED.txt` lists. Arguments are
 * passed to vitest as filters of test files.
 */
import {readFileSync} from 'node:fs';
import {relative} from 'node:path';

import {startVitest, type TestCase, type Vitest} from 'vitest/node';

import {judgeRun, type RunTest, type TestRun} from './judge_run.js';
import {listedTests, parseKnownRedList} from './known_red_list.js';

const LIST_FILE = 'KNOWN-RED.txt';

const filters = process.argv.slice(2);
const list = parseKnownRedList(readFileSync(LIST_FILE, 'utf8'));
if (list.kind === 'faulty') {
  process.stderr.write(
    `${list.faults.map(fault => `${LIST_FILE}: ${fault}`).join('\n')}\n`,
  );
  process.exit(1);
}
const vitest = await startVitest('test', filters, {watch: false});
const run = resultOf(vitest);
await vitest.close();
const {isPassed, lines} = judgeRun(run, listedTests(list.entries));
process.stdout.write(lines.map(line => `${line}\n`).join(''));
process.exit(isPassed ? 0 : 1);

function resultOf({state, config}: Vitest): TestRun {
  const modules = state.getTestModules();
  return {
    tests: modules.flatMap(module => {
      const file = relative(config.root, module.moduleId);
      return [...module.children.allTests()].map(test => toRunTest(file, test));
    }),
    errors: [
      ...modules.flatMap(module =>
        [
          ...module.errors(),
          ...[...module.children.allSuites()].flatMap(suite => suite.errors()),
        ].map(({message}) => `${module.moduleId}: ${message}`),
      ),
      ...state.getUnhandledErrors().map(error => messageOf(error)),
      ...(modules.length === 0 ? ['no test was run'] : []),
    ],
    isPartial: filters.length > 0,
  };
}

function toRunTest(file: string, test: TestCase): RunTest {
  const {state} = test.result();
  return {
    name: `${file} > ${test.fullName}`,
    state: state === 'pending' ? 'failed' : state,
  };
}

function messageOf(error: unknown): string {
  return typeof error === 'object' && error !== null && 'message' in error
    ? String(error.message)
    : String(error);
}
