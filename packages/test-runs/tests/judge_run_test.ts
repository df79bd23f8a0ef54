/** Tests of the decision whether a test run counts as passed. */
import {describe, expect, it} from 'vitest';

import {judgeRun, type TestRun} from '../src/index.js';

const LISTED = 'a_test.ts > listed';

function runOf(overrides: Partial<TestRun>): TestRun {
  return {
    tests: [
      {name: LISTED, state: 'passed'},
      {name: 'a_test.ts > other', state: 'passed'},
    ],
    errors: [],
    isPartial: false,
    ...overrides,
  };
}

describe('a test run', () => {
  it.each<{
    readonly name: string;
    readonly run: Partial<TestRun>;
    readonly isPassed: boolean;
    readonly line: RegExp;
  }>([
    {
      name: 'in which a listed test fails',
      run: {tests: [{name: LISTED, state: 'failed'}]},
      isPassed: true,
      line: /known to be red, failed: a_test.ts > listed/,
    },
    {
      name: 'in which a listed test passes',
      run: {},
      isPassed: true,
      line: /known to be red, passed this time/,
    },
    {
      name: 'in which another test fails',
      run: {
        tests: [
          {name: LISTED, state: 'failed'},
          {name: 'a_test.ts > other', state: 'failed'},
        ],
      },
      isPassed: false,
      line: /^failed: a_test.ts > other/m,
    },
    {
      name: 'without the listed test',
      run: {tests: [{name: 'a_test.ts > other', state: 'passed'}]},
      isPassed: false,
      line: /names no test that exists: a_test.ts > listed/,
    },
    {
      name: 'of other files only',
      run: {
        tests: [{name: 'b_test.ts > other', state: 'passed'}],
        isPartial: true,
      },
      isPassed: true,
      line: /^$/,
    },
    {
      name: 'with an error outside a test',
      run: {errors: ['cannot load b_test.ts']},
      isPassed: false,
      line: /error outside a test: cannot load b_test.ts/,
    },
  ])('$name', ({run, isPassed, line}) => {
    const verdict = judgeRun(runOf(run), [LISTED]);
    expect(verdict.isPassed).toBe(isPassed);
    expect(verdict.lines.join('\n')).toMatch(line);
  });
});
