/**
 * Set-up of all tests: the event logs of processes that run inside a test go to the
 * console, so that the test runner shows them for failing tests only.
 */
import {Writable} from 'node:stream';

import {vi} from 'vitest';

vi.mock(import('../src/bounded_output.js'), async importOriginal => {
  const original = await importOriginal();
  return {
    ...original,
    openStandardOutput: () =>
      new original.BoundedOutput(
        new Writable({
          decodeStrings: false,
          write: (line: Buffer | string, _encoding, callback) => {
            console.log(line.toString().trimEnd());
            callback();
          },
        }),
      ),
  };
});
