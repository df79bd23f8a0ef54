/**
 * Tests that the retries of all hosts stay within their budget in any window while
 * every attempt fails and the hosts are killed and started in turn (issue 48).
 */
import {expect, it} from 'vitest';

import {SharedRetryBudget} from '../src/index.js';

const BOUNDS = {ratio: 0.2, slack: 60, windowMilliseconds: 10_000};
const RUN_MILLISECONDS = 60_000;
const ABSENCE_MILLISECONDS = 300;
const RETRIES_OF_REQUEST = 2;

interface RestartCase {
  readonly hosts: number;
  readonly requestsPerSecond: number;
  /** Milliseconds between two kills of hosts in turn; none if infinite. */
  readonly restartPeriod: number;
  /** Milliseconds of the run before the first kill. */
  readonly firstKill: number;
  /** Milliseconds of the run before the first attempt fails. */
  readonly firstFailure: number;
}

interface Process {
  readonly budget: SharedRetryBudget;
  readonly servesFrom: number;
}

/** Returns the times of all retries. */
function play(test: RestartCase): readonly number[] {
  const start = (startedAt: number, isFirstStart: boolean): Process => ({
    budget: new SharedRetryBudget(BOUNDS, {startedAt, isFirstStart}),
    servesFrom: isFirstStart ? startedAt : startedAt + ABSENCE_MILLISECONDS,
  });
  const processes = Array.from({length: test.hosts}, () => start(0, true));
  const retries: number[] = [];
  const period = 1000 / test.requestsPerSecond;
  let kills = 0;
  for (let count = 0; count * period < RUN_MILLISECONDS; count += 1) {
    const now = count * period;
    while (now >= test.firstKill + kills * test.restartPeriod) {
      processes[kills % test.hosts] = start(now, false);
      kills += 1;
    }
    const serving = processes.filter(({servesFrom}) => servesFrom <= now);
    const budget = serving[count % serving.length]?.budget;
    if (budget === undefined) {
      continue;
    }
    budget.addRequest(now);
    for (let retry = 0; retry < RETRIES_OF_REQUEST; retry += 1) {
      if (now >= test.firstFailure && budget.take(test.hosts, now)) {
        retries.push(now);
      }
    }
  }
  return retries;
}

/** Returns the largest number of `times` within a window. */
function mostInWindow(times: readonly number[]): number {
  let first = 0;
  let most = 0;
  for (const [index, time] of times.entries()) {
    while (time - (times[first] ?? time) >= BOUNDS.windowMilliseconds) {
      first += 1;
    }
    most = Math.max(most, index - first + 1);
  }
  return most;
}

it.each<RestartCase>(
  [3, 7, 9].flatMap(hosts =>
    [60, 150].flatMap(requestsPerSecond =>
      [Infinity, 300, 700, 1100, 2000, 4000].flatMap(restartPeriod =>
        [10_100, 10_500, 12_000, 15_000].flatMap(firstKill =>
          [0, 5000, 10_000].map(firstFailure => ({
            hosts,
            requestsPerSecond,
            restartPeriod,
            firstKill,
            firstFailure,
          })),
        ),
      ),
    ),
  ),
)(
  '$hosts hosts, $requestsPerSecond requests a second, killed every $restartPeriod ms from $firstKill ms, failures from $firstFailure ms',
  test => {
    const allowed =
      (BOUNDS.ratio * test.requestsPerSecond * BOUNDS.windowMilliseconds) /
        1000 +
      BOUNDS.slack;
    expect(mostInWindow(play(test))).toBeLessThanOrEqual(allowed);
  },
);
