/**
 * The decision whether a test run counts as passed.
 */

/** How a test ended. */
export type TestState = 'failed' | 'passed' | 'skipped';

/** A test of a run. */
export interface RunTest {
  /** Its file, the names of its groups, and its name, separated by ` > `. */
  readonly name: string;
  readonly state: TestState;
}

/** A run of the whole suite. */
export interface TestRun {
  readonly tests: readonly RunTest[];
  /** Errors outside tests, such as a file that cannot be loaded. */
  readonly errors: readonly string[];
  /** Whether only a part of the suite was run. */
  readonly isPartial: boolean;
}

/** The verdict on a run, with the lines to print. */
export interface RunVerdict {
  readonly isPassed: boolean;
  readonly lines: readonly string[];
}

/**
 * Judges a run. Listed tests may fail; every other failure, every error outside a
 * test, and an entry that names no test of the suite fail the run.
 */
export function judgeRun(run: TestRun, listed: readonly string[]): RunVerdict {
  const states = new Map(run.tests.map(({name, state}) => [name, state]));
  const unlisted = run.tests.filter(
    ({name, state}) => state === 'failed' && !listed.includes(name),
  );
  const unknown = run.isPartial ? [] : listed.filter(name => !states.has(name));
  const lines = [
    ...listed.flatMap(name => lineOf(name, states.get(name))),
    ...unlisted.map(({name}) => `failed: ${name}`),
    ...unknown.map(name => `KNOWN-RED.txt names no test that exists: ${name}`),
    ...run.errors.map(error => `error outside a test: ${error}`),
  ];
  const problems = unlisted.length + unknown.length + run.errors.length;
  return {isPassed: problems === 0, lines};
}

function lineOf(name: string, state: TestState | undefined): readonly string[] {
  switch (state) {
    case 'failed':
      return [`known to be red, failed: ${name}`];
    case 'passed':
      return [`known to be red, passed this time: ${name}`];
    case 'skipped':
      return [`known to be red, not run: ${name}`];
    case undefined:
      return [];
  }
}
