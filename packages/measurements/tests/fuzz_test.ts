/** Runs the stateful fuzzing with fixed seeds. */
import * as fc from 'fast-check';
import {describe, it} from 'vitest';

import {
  dutySteps,
  fuzzCommands,
  FuzzSystem,
  runDutySteps,
} from '../src/index.js';

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

describe('the duties under fuzzing', () => {
  it.each([1, 2, 3])('keep their guarantees with seed %i', seed => {
    fc.assert(fc.property(dutySteps(), runDutySteps), {
      numRuns: RUNS,
      seed,
    });
  });
});
