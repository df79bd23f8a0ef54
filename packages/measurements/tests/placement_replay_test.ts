/** Replays of placement on old knowledge, against other rules. */
import {describe, expect, it} from 'vitest';

import {
  type PlacementCase,
  placementFigures,
} from '../src/measure_placement.js';
import type {PlacementPolicy} from '../src/placement_model.js';
import type {PlacementFigures} from '../src/placement_results.js';

/** Engines from which on one run is made. */
const MANY_ENGINES = 50;

/** Tokens of prompts that no other request shares, of what engines read. */
const USUAL_LOAD = 0.25;

const OLD_MILLISECONDS = 1000;

/** Largest p99 on old knowledge, as a multiple of that on fresh knowledge. */
const P99_TARGET = 1.25;

/** Largest number of tokens read, as a multiple of that of the other rule. */
const READ_TARGET = 1.05;

const FLEETS: readonly Pick<PlacementCase, 'engines' | 'hosts'>[] = [
  {hosts: 7, engines: 4},
  {hosts: 7, engines: 8},
  {hosts: 58, engines: 24},
  {hosts: 195, engines: 98},
];

const LONG_TEST_MILLISECONDS = 120_000;

const figures = new Map<string, PlacementFigures>();

/** Returns the figures of a fleet, which are computed once. */
function figuresOf(
  changes: Partial<PlacementCase>,
  policy: PlacementPolicy = 'spread',
): PlacementFigures {
  const fleet: PlacementCase = {
    hosts: 58,
    engines: 24,
    placedBy: 'dispatcher',
    load: USUAL_LOAD,
    ageMilliseconds: OLD_MILLISECONDS,
    hasNoise: true,
    ...changes,
  };
  const key = JSON.stringify([fleet, policy]);
  const known =
    figures.get(key) ?? placementFigures(fleet, policy, seedsOf(fleet));
  figures.set(key, known);
  return known;
}

/** Returns the seeds of the runs: fewer, the longer each one takes. */
function seedsOf({engines, load}: PlacementCase): readonly number[] {
  if (engines > MANY_ENGINES) {
    return [1];
  }
  return load > USUAL_LOAD ? [1, 2] : [1, 2, 3, 4];
}

describe.each(FLEETS)('$hosts hosts and $engines engines', fleet => {
  it.each([
    {name: 'steady engines', hasNoise: false},
    {name: 'engines that are slow at times', hasNoise: true},
  ])(
    'have a p99 on old knowledge near that on fresh knowledge with $name',
    ({hasNoise}) => {
      const old = figuresOf({...fleet, hasNoise});
      const fresh = figuresOf({...fleet, hasNoise, ageMilliseconds: 0});
      expect(old.firstTokenP99 / fresh.firstTokenP99).toBeLessThan(P99_TARGET);
    },
    LONG_TEST_MILLISECONDS,
  );

  it(
    'read no more on old knowledge than on fresh knowledge',
    () => {
      const old = figuresOf(fleet).readTokens;
      const fresh = figuresOf({...fleet, ageMilliseconds: 0}).readTokens;
      expect(old / fresh).toBeLessThan(READ_TARGET);
    },
    LONG_TEST_MILLISECONDS,
  );
});

describe.each([
  {name: 'on fresh knowledge', ageMilliseconds: 0},
  {name: 'on old knowledge', ageMilliseconds: OLD_MILLISECONDS},
])('spread placement $name', ({ageMilliseconds}) => {
  it.each<PlacementPolicy>(['previous', 'least-reported-load', 'two-choices'])(
    'starts requests sooner than %s, and reads no more',
    policy => {
      const spread = figuresOf({ageMilliseconds, load: 0.35});
      const other = figuresOf({ageMilliseconds, load: 0.35}, policy);
      expect(spread.firstTokenP99).toBeLessThan(other.firstTokenP99);
      expect(spread.readTokens).toBeLessThan(other.readTokens * READ_TARGET);
    },
    LONG_TEST_MILLISECONDS,
  );
});

describe('hosts that all place requests themselves', () => {
  it.each<PlacementPolicy>(['least-reported-load', 'two-choices'])(
    'start requests sooner than by %s',
    policy => {
      const byHosts = {placedBy: 'each-host', load: 0.15} as const;
      expect(figuresOf(byHosts).firstTokenP99).toBeLessThan(
        figuresOf(byHosts, policy).firstTokenP99,
      );
    },
    LONG_TEST_MILLISECONDS,
  );
});
