import {describe, expect, it} from 'vitest';

import {UsedUpQuotas} from '../src/index.js';

interface Case {
  readonly name: string;
  readonly workspace: string;
  readonly amount: number;
  readonly now: number;
  readonly wait: number;
}

/** A holder refused 1,000 of the workspace `hot` at 100 for 500 ms. */
const CASES: readonly Case[] = [
  {
    name: 'an equal amount',
    workspace: 'hot',
    amount: 1000,
    now: 150,
    wait: 450,
  },
  {name: 'a larger one', workspace: 'hot', amount: 2000, now: 299, wait: 301},
  {name: 'a smaller one', workspace: 'hot', amount: 999, now: 150, wait: 0},
  {name: 'a later one', workspace: 'hot', amount: 1000, now: 300, wait: 0},
  {
    name: 'another workspace',
    workspace: 'calm',
    amount: 1000,
    now: 150,
    wait: 0,
  },
];

describe('a quota that a holder called used up', () => {
  it.each(CASES)(
    'refuses $name for $wait ms',
    ({workspace, amount, now, wait}) => {
      const quotas = new UsedUpQuotas();
      quotas.record('hot', 1000, 500, 100);
      expect(quotas.waitFor(workspace, amount, now)).toBe(wait);
    },
  );

  it('is decided by holders again when its part has grown', () => {
    const quotas = new UsedUpQuotas();
    quotas.record('hot', 1000, 50, 100);
    expect(quotas.waitFor('hot', 1000, 149)).toBe(1);
    expect(quotas.waitFor('hot', 1000, 150)).toBe(0);
  });
});
