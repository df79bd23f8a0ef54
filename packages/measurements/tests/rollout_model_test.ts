/** Replays of roll-outs of versions that are good or bad in different ways. */
import {describe, expect, it} from 'vitest';

import {RolloutModel} from '../src/rollout_model.js';
import type {VersionForm} from '../src/version_faults.js';

const SEEDS: readonly number[] = [3, 5, 8];

describe('a version that is', () => {
  const cases: readonly {
    readonly form: VersionForm;
    readonly hasTrouble: boolean;
    readonly phase: string;
  }[] = [
    {form: 'good', hasTrouble: false, phase: 'completed'},
    {form: 'failing', hasTrouble: false, phase: 'rolled-back'},
    {form: 'failing', hasTrouble: true, phase: 'rolled-back'},
    {form: 'slow', hasTrouble: false, phase: 'rolled-back'},
    {form: 'late', hasTrouble: false, phase: 'rolled-back'},
    {form: 'under-load', hasTrouble: false, phase: 'rolled-back'},
    {form: 'one-route', hasTrouble: false, phase: 'rolled-back'},
  ];

  it.each(cases)(
    '$form (beside trouble: $hasTrouble) is $phase',
    ({phase, ...parameters}) => {
      for (const seed of SEEDS) {
        const outcome = new RolloutModel({...parameters, seed}).result();
        expect(outcome.phase).toBe(phase);
        if (phase === 'rolled-back') {
          expect(outcome.exposure).toBeLessThan(1);
          expect(outcome.sentLate).toBe(0);
        }
      }
    },
  );

  it.each(SEEDS)('good is never rejected beside trouble, seed %i', seed => {
    const outcome = new RolloutModel({
      form: 'good',
      hasTrouble: true,
      seed,
    }).result();
    expect(outcome.reason).toMatch(/^$|^not proven in time/u);
  });
});
