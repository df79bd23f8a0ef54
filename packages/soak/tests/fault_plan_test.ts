/** Tests of the fault plan. */
import {describe, expect, it} from 'vitest';

import {
  type Fault,
  FAULT_WINDOW_MILLISECONDS,
  planFaults,
} from '../src/index.js';

const SEEDS = Array.from({length: 200}, (_, index) => index + 1);

describe('a fault plan', () => {
  it('is the same for the same seed', () => {
    expect(planFaults(7)).toEqual(planFaults(7));
    expect(planFaults(7)).not.toEqual(planFaults(8));
  });

  it.each(SEEDS.slice(0, 20))(
    'of seed %i is ordered and within the fault window',
    seed => {
      const times = planFaults(seed).map(
        ({startsAtMilliseconds}) => startsAtMilliseconds,
      );
      expect([...times].sort((left, right) => left - right)).toEqual(times);
      expect(
        times.every(time => time >= 0 && time <= FAULT_WINDOW_MILLISECONDS),
      ).toBe(true);
    },
  );

  it('covers all kinds of faults and has overlapping faults', () => {
    const plans = SEEDS.map(planFaults);
    const kinds = new Set(
      plans.flat().map(({fault}): Fault['kind'] => fault.kind),
    );
    expect([...kinds].sort()).toEqual([
      'clock',
      'crashing-part',
      'crowd',
      'engine',
      'engine-leaves',
      'engine-limits',
      'engine-link',
      'engine-pauses',
      'engine-versions',
      'freeze',
      'kill',
      'peer-link',
      'revoke',
      'stop',
      'store-comes-back',
      'store-down',
      'store-expires',
      'store-link',
      'store-loses',
      'upstream-links',
    ]);
    const overlapping = plans.filter(plan =>
      plan.some(
        ({startsAtMilliseconds}, index) =>
          index > 0 &&
          startsAtMilliseconds <
            (plan[index - 1]?.startsAtMilliseconds ?? 0) +
              (plan[index - 1]?.durationMilliseconds ?? 0),
      ),
    );
    expect(overlapping.length).toBeGreaterThan(SEEDS.length / 2);
  });
});
