/** Tests of the limit on events that clients cause. */
import {expect, test} from 'vitest';

import {EventThrottle} from '../src/index.js';

interface Admission {
  readonly at: number;
  /** Events that were left out before, or `left-out`. */
  readonly expected: number | 'left-out';
}

test.each<{readonly name: string; readonly admissions: readonly Admission[]}>([
  {
    name: 'up to the maximum',
    admissions: [
      {at: 0, expected: 0},
      {at: 1, expected: 0},
      {at: 2, expected: 'left-out'},
    ],
  },
  {
    name: 'again in the next second, with the number of those left out',
    admissions: [
      {at: 0, expected: 0},
      {at: 0, expected: 0},
      {at: 0, expected: 'left-out'},
      {at: 999, expected: 'left-out'},
      {at: 1000, expected: 2},
      {at: 1000, expected: 0},
    ],
  },
])('events are written $name', ({admissions}) => {
  const throttle = new EventThrottle(2);
  for (const {at, expected} of admissions) {
    expect(throttle.admit(at) ?? 'left-out').toBe(expected);
  }
});
