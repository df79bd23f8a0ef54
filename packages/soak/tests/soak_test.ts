/** The soak with a few seeds, and with every seed that failed once. */
import {execFileSync} from 'node:child_process';

import {beforeAll, describe, expect, it} from 'vitest';

import {REGRESSION_SEEDS, runSeed, USUAL_SIZE} from '../src/index.js';

/** Only ends a test that would never end; a run takes some 10 s. */
const RUN_MILLISECONDS = 180_000;

/**
 * In 31 streams break off within an event; in 38 upstreams drop what may run
 * once; in 59 the store is down when a key is taken away. Programs without the
 * guards against that fail them.
 */
const SEEDS = [31, 38, 59, ...REGRESSION_SEEDS.map(({seed}) => seed)];

beforeAll(() => {
  execFileSync(process.execPath, ['scripts/bundle.mjs'], {
    cwd: new URL('../../..', import.meta.url),
  });
});

describe('real processes under faults', () => {
  it.each(SEEDS)(
    'keep their promises with seed %i',
    async seed => {
      const result = await runSeed(seed, {...USUAL_SIZE, hosts: 4});
      expect(result.violations).toEqual([]);
      expect(result.hasRecovered).toBe(true);
      expect(result.answered).toBeGreaterThan(0);
    },
    RUN_MILLISECONDS,
  );
});
