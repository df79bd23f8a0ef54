/** Tests of what is observed of retry budgets, ends of processes and numbers. */
import {describe, expect, it} from 'vitest';

import {observeBudget} from '../src/budget_observer.js';
import {checkGuarantees} from '../src/check_guarantees.js';
import {
  observeFences,
  observeOwnEnds,
  observeVersionsGoingBack,
} from '../src/host_observer.js';

describe('the retries of all hosts', () => {
  const BOUNDS = {ratio: 0.5, slack: 1, windowMilliseconds: 100};

  it.each([
    {
      name: 'no repeats',
      arrivals: {a: [0], b: [1]},
      requests: [0, 1],
      isKept: true,
    },
    {
      name: 'repeats within the slack',
      arrivals: {a: [0, 1]},
      requests: [],
      isKept: true,
    },
    {
      name: 'repeats within the share of the requests',
      arrivals: {a: [0, 1, 2]},
      requests: [0, 0],
      isKept: true,
    },
    {
      name: 'repeats that the requests of the window before allow',
      arrivals: {a: [0, 150, 160]},
      requests: [60, 60],
      isKept: true,
    },
    {
      name: 'too many repeats',
      arrivals: {a: [0, 1, 2], b: [0, 3]},
      requests: [0, 0],
      isKept: false,
    },
    {
      name: 'too many repeats in the second window',
      arrivals: {a: [0], b: [500, 501, 502], c: [500, 503]},
      requests: [500, 500],
      isKept: false,
    },
  ])('are judged with $name', ({arrivals, requests, isKept}) => {
    const arrived = Object.entries(arrivals).flatMap(([attemptId, times]) =>
      times.map(at => ({attemptId, at})),
    );
    const {repeats, tolerated} = observeBudget(
      'plain',
      arrived,
      requests,
      BOUNDS,
    );
    expect(repeats <= tolerated).toBe(isKept);
  });
});

describe('the end of a process', () => {
  it.each([
    {name: 'a stop', code: 0, signal: null, sent: ['SIGTERM'], isOwn: false},
    {
      name: 'a kill',
      code: null,
      signal: 'SIGKILL',
      sent: ['SIGKILL'],
      isOwn: false,
    },
    {
      name: 'an exit without a signal',
      code: 0,
      signal: null,
      sent: [],
      isOwn: true,
    },
    {
      name: 'a stop that fails',
      code: 1,
      signal: null,
      sent: ['SIGTERM'],
      isOwn: true,
    },
    {
      name: 'an abort',
      code: null,
      signal: 'SIGABRT',
      sent: ['SIGTERM'],
      isOwn: true,
    },
  ] as const)(
    'is judged by its cause: $name',
    ({code, signal, sent, isOwn}) => {
      const ends = [{hostId: 'host', code, signal, sent}];
      expect(observeOwnEnds(ends).length > 0).toBe(isOwn);
    },
  );
});

describe('numbers', () => {
  const start = '{"event":1001}';
  const inForce = (version: number): string =>
    `{"event":2001,"version":${version}}`;

  it.each([
    {name: 'rising versions', lines: [start, inForce(1), inForce(2)], count: 0},
    {
      name: 'a version that goes back',
      lines: [start, inForce(2), inForce(1)],
      count: 1,
    },
    {
      name: 'an older version after a start',
      lines: [start, inForce(2), start, inForce(1)],
      count: 0,
    },
    {
      name: 'a line that is cut off',
      lines: [start, inForce(2), '{"event":20'],
      count: 0,
    },
  ])('are read from a log with $name', ({lines, count}) => {
    expect(observeVersionsGoingBack('host', lines.join('\n'))).toHaveLength(
      count,
    );
  });

  it.each([
    {
      name: 'one holder',
      duties: [
        ['a', 1],
        ['a', 1],
        ['b', 2],
      ],
      count: 0,
    },
    {
      name: 'two holders',
      duties: [
        ['a', 1],
        ['b', 1],
      ],
      count: 1,
    },
    {
      name: 'a lower number',
      duties: [
        ['a', 2],
        ['b', 1],
      ],
      count: 1,
    },
  ] as const)('of duties are compared with $name', ({duties, count}) => {
    const accepted = duties.map(([holder, fence]) => ({
      path: '/usage',
      holder,
      fence,
    }));
    expect(observeFences(accepted)).toHaveLength(count);
  });

  it('and budgets and ends are violations of a run', () => {
    const run = {
      calls: [],
      executedAttemptIds: [],
      reports: [],
      revokedAt: undefined,
      revokedKey: '',
      revocationMilliseconds: 0,
      streamEvents: 0,
      budgets: [{service: 'plain', repeats: 2, tolerated: 1}],
      ownEnds: ['end'],
      numbersGoingBack: ['number'],
    };
    expect(checkGuarantees(run).map(({guarantee}) => guarantee)).toEqual([
      'budget-exceeded',
      'process-ended',
      'number-went-back',
    ]);
  });
});
