/** Runs the stateful fuzzing with fixed seeds. */
import * as fc from 'fast-check';
import {describe, it} from 'vitest';

import {fuzzCommands, FuzzSystem} from '../src/index.js';

const RUNS = 3000;

describe('the protocol code under fuzzing', () => {
  it.each([1, 2, 3])('keeps its guarantees with seed %i', seed => {
    fc.assert(
      fc.property(fuzzCommands(), commands => {
        fc.modelRun(() => ({model: {}, real: new FuzzSystem()}), commands);
      }),
      {numRuns: RUNS, seed},
    );
  });
});
