/** Tests of what a host reports of a roll-out. */
import {beforeEach, describe, expect, it} from 'vitest';

import {countTimes, type RolloutFront, RolloutSteps} from '../src/index.js';
import {
  BOTH,
  COMMON,
  createFront,
  ORDER,
  testing,
} from './rollout_front_fixtures.js';

let steps: RolloutSteps;
let front: RolloutFront;

beforeEach(() => {
  steps = new RolloutSteps();
  front = createFront(steps);
});

describe('the report of a host', () => {
  beforeEach(() => {
    steps.acceptOrder(ORDER);
  });

  it('states results, work left elsewhere and the step that it follows', () => {
    steps.acceptRecord(testing(), 0);
    front.recordBegun('service', 'v1');
    front.recordBegun('service', 'v2');
    for (const upstream of BOTH) {
      const attempt = {
        service: 'service',
        route: 'a',
        upstream,
        isGuess: false,
      };
      front.recordStart({...attempt, milliseconds: 8, tokensToRead: 0}, 1);
      front.recordResult(
        {...attempt, outcome: 'failed', gapMilliseconds: undefined},
        1,
      );
    }
    expect(front.reports(1)).toMatchObject([
      {
        orderId: 'order-1',
        sequence: 4,
        runningElsewhere: 1,
        results: [
          {route: 'a', failed: 1},
          {route: 'a', upstreamId: 'new', failed: 1},
        ],
      },
    ]);
  });

  it.each([
    {name: 'known', isGuess: false, counted: [1, 1]},
    {name: 'guessed', isGuess: true, counted: [1, 0]},
  ])(
    'states times of answers with $name work before them, and all results',
    ({isGuess, counted}) => {
      steps.acceptRecord(testing(), 0);
      for (const upstream of BOTH) {
        const attempt = {service: 'service', route: 'a', upstream, isGuess};
        front.recordStart(
          {...attempt, milliseconds: 900, tokensToRead: 100},
          1,
        );
        front.recordResult(
          {...attempt, outcome: 'answered', gapMilliseconds: 300},
          1,
        );
      }
      const results = front.reports(1).flatMap(report => report.results);
      expect(results.map(({starts}) => countTimes(starts))).toEqual(counted);
      expect(results.map(({gaps}) => countTimes(gaps))).toEqual(counted);
      expect(results.map(({answered}) => answered)).toEqual([1, 1]);
    },
  );

  it.each([
    {
      name: 'whose permit has lapsed',
      records: [testing()],
      now: 2501,
      sequences: [0],
    },
    {name: 'without a record', records: [], now: 1, sequences: [0]},
    {
      name: 'after the end',
      records: [{...COMMON, phase: 'rolled-back', reason: ''} as const],
      now: 1,
      sequences: [],
    },
  ])('$name follows $sequences', ({records, now, sequences}) => {
    records.forEach(record => steps.acceptRecord(record, 0));
    expect(front.reports(now).map(({sequence}) => sequence)).toEqual(sequences);
  });
});
