/**
 * Set-up of all tests: the event logs of processes that run inside a test are kept,
 * and go to the console if the test fails.
 */
import {Writable} from 'node:stream';

import {beforeEach, vi} from 'vitest';

/** Largest number of lines that are kept; the oldest one is dropped. */
const MAXIMUM_LINES = 5000;

const lines: string[] = [];

vi.mock(import('../src/bounded_output.js'), async importOriginal => {
  const original = await importOriginal();
  return {
    ...original,
    openStandardOutput: () =>
      new original.BoundedOutput(
        new Writable({
          decodeStrings: false,
          write: (line: Buffer | string, _encoding, callback) => {
            lines.push(line.toString().trimEnd());
            if (lines.length > MAXIMUM_LINES) {
              lines.shift();
            }
            callback();
          },
        }),
      ),
  };
});

beforeEach(({onTestFailed}) => {
  lines.length = 0;
  onTestFailed(() => console.log(lines.join('\n')));
});
