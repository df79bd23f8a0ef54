/** Tests of the verdict on a version on trial. */
import {describe, expect, it} from 'vitest';

import {
  isHarmless,
  isWorse,
  judgeVersion,
  type ResultSums,
  type RouteEvidence,
} from '../src/index.js';
import {results} from './rollout_fixtures.js';

function route(
  name: string,
  old: ResultSums,
  ...byEngine: readonly ResultSums[]
): RouteEvidence {
  return {
    route: name,
    old,
    byUpstream: new Map(byEngine.map((sums, index) => [`new-${index}`, sums])),
  };
}

describe('the comparison of two rates', () => {
  it.each([
    {
      name: 'no results',
      bad: 0,
      trials: 0,
      old: [0, 100],
      worse: false,
      harmless: false,
    },
    {
      name: 'half of a few',
      bad: 8,
      trials: 14,
      old: [1, 200],
      worse: true,
      harmless: false,
    },
    {
      name: 'a single failure',
      bad: 1,
      trials: 1,
      old: [1, 200],
      worse: false,
      harmless: false,
    },
    {
      name: 'none of many',
      bad: 0,
      trials: 60,
      old: [1, 200],
      worse: false,
      harmless: true,
    },
    {
      name: 'as many as before',
      bad: 20,
      trials: 100,
      old: [40, 200],
      worse: false,
      harmless: true,
    },
    {
      name: 'an old version that fails',
      bad: 0,
      trials: 100,
      old: [150, 200],
      worse: false,
      harmless: false,
    },
    {
      name: 'an unknown old version',
      bad: 10,
      trials: 10,
      old: [0, 0],
      worse: false,
      harmless: false,
    },
  ])(
    '$name',
    ({bad, trials, old: [oldBad = 0, oldTrials = 0], worse, harmless}) => {
      const candidate = {bad, trials};
      const old = {bad: oldBad, trials: oldTrials};
      expect(isWorse(candidate, old)).toBe(worse);
      expect(isHarmless(candidate, old, 0.2)).toBe(harmless);
    },
  );

  it('rejects a good version seldom, though it looks after each result', () => {
    let state = 1;
    const random = (): number => {
      state = (state * 48_271) % 2_147_483_647;
      return state / 2_147_483_647;
    };
    const old = {trials: 2000, bad: 100};
    let rejected = 0;
    for (let run = 0; run < 400; run += 1) {
      let bad = 0;
      for (let trials = 1; trials <= 200; trials += 1) {
        bad += random() < 0.05 ? 1 : 0;
        if (isWorse({trials, bad}, old)) {
          rejected += 1;
          break;
        }
      }
    }
    expect(rejected).toBeLessThanOrEqual(2);
  });
});

describe('the verdict on a version', () => {
  const old = results(400, 4);
  const good = results(30, 0);
  const bad = results(15, 15);
  it.each([
    {name: 'no results', routes: [], kind: 'open'},
    {
      name: 'good',
      routes: [route('a', old, good, good, good)],
      kind: 'accepted',
    },
    {
      name: 'too few results',
      routes: [route('a', old, results(2, 0), results(2, 0))],
      kind: 'open',
    },
    {
      name: 'failing',
      routes: [route('a', old, bad, bad, bad)],
      kind: 'rejected',
    },
    {
      name: 'failing on one route of two',
      routes: [
        route('a', old, good, good, good),
        route('b', old, results(6, 6), results(6, 6), results(6, 6)),
      ],
      kind: 'rejected',
    },
    {
      name: 'one engine bad by itself',
      routes: [route('a', old, good, good, bad)],
      kind: 'accepted',
    },
    {
      name: 'both versions failing',
      routes: [route('a', results(200, 200), bad, bad, bad)],
      kind: 'open',
    },
    {
      name: 'slow in part',
      routes: [0, 1].map(index =>
        route(
          `${index}`,
          old,
          ...[0, 1, 2].map(() => results(30, 0, {slow: 12})),
        ),
      ),
      kind: 'rejected',
    },
    {
      name: 'slow like the old one',
      routes: [
        route(
          'a',
          results(400, 0, {slow: 60}),
          ...[0, 1, 2].map(() => results(30, 0, {slow: 5})),
        ),
      ],
      kind: 'accepted',
    },
    {
      name: 'a route that is not known yet',
      routes: [
        route('a', old, good, good, good),
        route('b', old, results(2, 0)),
      ],
      kind: 'open',
    },
  ])('$name: $kind', ({routes, kind}) => {
    expect(judgeVersion(routes, id => `domain-${id}`).kind).toBe(kind);
  });

  it('does not accuse a version of a failure domain that is lost', () => {
    const lost = results(0, 20);
    const routes = [route('a', old, lost, lost, good, good)];
    const domainOf = (id: string): string => (id < 'new-2' ? 'lost' : 'kept');
    expect(judgeVersion(routes, domainOf).kind).not.toBe('rejected');
  });
});
