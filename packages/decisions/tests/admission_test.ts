/** Tests of the decision to admit or refuse a request by its rank. */
import {describe, expect, it} from 'vitest';

import {
  type AdmissionTerms,
  isDeadlineUnreachable,
  type MetLoad,
  type PlacementEstimate,
  RankArrivals,
  reasonToRefuse,
  RefusalFloor,
} from '../src/index.js';

const TERMS: AdmissionTerms = {
  objectiveMilliseconds: 1000,
  millisecondsLeft: 8000,
  patienceMilliseconds: 4000,
  workspace: 'w',
};

const IDLE: MetLoad = {
  readMilliseconds: 0,
  urgentShare: 0,
  totalShare: 0,
  urgentObjectiveMilliseconds: Infinity,
  reservedMilliseconds: 0,
  usedShare: 0,
};

function estimate(
  estimateMilliseconds: number,
  overrides: Partial<PlacementEstimate> = {},
): PlacementEstimate {
  return {
    tokensToRead: 1000,
    mustWait: true,
    estimateMilliseconds,
    errorMilliseconds: 0,
    cachedTokens: 0,
    ...overrides,
  };
}

describe('a request', () => {
  it.each<{
    readonly name: string;
    readonly wait: number;
    readonly overrides?: Partial<PlacementEstimate>;
    readonly terms?: Partial<AdmissionTerms>;
    readonly pressure?: Partial<MetLoad>;
    readonly reason: string | undefined;
  }>([
    {
      name: 'is never refused while an engine is free',
      wait: 9000,
      overrides: {mustWait: false},
      pressure: {urgentShare: 2, totalShare: 3},
      reason: undefined,
    },
    {
      name: 'may be late while half of the capacity is left',
      wait: 3500,
      pressure: {totalShare: 0.5},
      reason: undefined,
    },
    {
      name: 'is refused if its client would have left',
      wait: 4100,
      reason: 'deadline',
    },
    {
      name: 'is refused if it cannot meet its deadline',
      wait: 700,
      terms: {millisecondsLeft: 600},
      reason: 'deadline',
    },
    {
      name: 'is not refused for its deadline within the error of the estimate',
      wait: 4100,
      overrides: {errorMilliseconds: 500},
      pressure: {totalShare: 0},
      reason: 'late',
    },
    {
      name: 'is refused if it would be late and all capacity is requested',
      wait: 1100,
      pressure: {totalShare: 1},
      reason: 'late',
    },
    {
      name: 'is refused if more urgent ones overtake it until it is late',
      wait: 600,
      pressure: {urgentShare: 0.5, totalShare: 1},
      reason: 'late',
    },
    {
      name: 'is refused if its backlog would make a more urgent one late',
      wait: 700,
      pressure: {urgentObjectiveMilliseconds: 400},
      reason: 'held-back',
    },
    {
      name: 'is refused if places promised to others would make it late',
      wait: 700,
      pressure: {reservedMilliseconds: 400, totalShare: 1},
      reason: 'late',
    },
    {
      name: 'of a workspace that gets twice its share is refused before it is late',
      wait: 700,
      pressure: {usedShare: 2, totalShare: 1},
      reason: 'share',
    },
    {
      name: 'of a workspace slightly above its share is admitted',
      wait: 700,
      pressure: {usedShare: 1.1, totalShare: 1},
      reason: undefined,
    },
    {
      name: 'is admitted beside urgent ones that have the time',
      wait: 700,
      pressure: {urgentShare: 0.2, urgentObjectiveMilliseconds: 800},
      reason: undefined,
    },
  ])('$name', ({wait, overrides, terms, pressure, reason}) => {
    expect(
      reasonToRefuse(
        estimate(wait, overrides),
        {...TERMS, ...terms},
        {...IDLE, ...pressure},
      ),
    ).toBe(reason);
  });

  it('of the most urgent rank is refused after the less urgent ones (rank upside down)', () => {
    const arrivals = new RankArrivals();
    const kinds = [
      {rank: 0, tokens: 60, objectiveMilliseconds: 800},
      {rank: 2, tokens: 20, objectiveMilliseconds: 1500},
    ];
    for (let now = 0; now < 3000; now += 100) {
      kinds.forEach(kind => arrivals.record(kind, now));
    }
    const longestWait = (kind: (typeof kinds)[number]): number => {
      const pressure = {
        ...IDLE,
        ...arrivals.pressureOn(kind.rank, 1, 3000),
      };
      let wait = 0;
      while (
        reasonToRefuse(estimate(wait), {...TERMS, ...kind}, pressure) ===
        undefined
      ) {
        wait += 10;
      }
      return wait;
    };
    const [urgent, least] = kinds.map(longestWait);
    expect(urgent).toBeGreaterThan(least ?? Infinity);
  });

  it('with an unknown error may take half as long again', () => {
    const unknown = (wait: number): PlacementEstimate => ({
      tokensToRead: 1000,
      mustWait: true,
      estimateMilliseconds: wait,
      cachedTokens: 0,
    });
    expect(isDeadlineUnreachable(unknown(7000), TERMS)).toBe(false);
    expect(isDeadlineUnreachable(unknown(8100), TERMS)).toBe(true);
  });
});

describe('the load of a shard', () => {
  it('shows a burst within half a second and keeps it for some', () => {
    const arrivals = new RankArrivals();
    const usual = {rank: 0, tokens: 10, objectiveMilliseconds: 800};
    for (let now = 0; now < 10_000; now += 100) {
      arrivals.record(usual, now);
    }
    const shareAt = (now: number): number =>
      arrivals.pressureOn(1, 1, now).urgentShare;
    expect(shareAt(10_000)).toBeCloseTo(0.1, 1);
    for (let now = 10_000; now < 10_500; now += 10) {
      arrivals.record(usual, now);
    }
    expect(shareAt(10_500)).toBeGreaterThan(0.5);
    expect(shareAt(11_500)).toBeGreaterThan(0.1);
  });

  it('takes no objective into account that has not been seen for a while', () => {
    const arrivals = new RankArrivals();
    arrivals.record({rank: 0, tokens: 1, objectiveMilliseconds: 100}, 0);
    const at = (now: number): number =>
      arrivals.pressureOn(1, 1, now).urgentObjectiveMilliseconds;
    expect([at(1000), at(6000)]).toEqual([100, Infinity]);
  });
});

describe('the floor', () => {
  const displaced = {rank: 2, workspace: 'w', promptTokens: 1000};

  function admittedIn(
    seconds: number,
    classes: readonly (typeof displaced)[],
  ): number[] {
    const floor = new RefusalFloor();
    const counts = classes.map(() => 0);
    for (let now = 0; now < seconds * 1000; now += 10) {
      classes.forEach((requestClass, index) => {
        counts[index] =
          (counts[index] ?? 0) +
          Number(floor.admitsNext(requestClass, 50, 1, now));
      });
    }
    return counts;
  }

  it('gives a twentieth of the capacity to refused requests at most', () => {
    const [admitted = 0] = admittedIn(10, [displaced]);
    expect((admitted * 50) / 10_000).toBeGreaterThan(0.04);
    expect((admitted * 50) / 10_000).toBeLessThan(0.055);
  });

  it('serves each size and workspace', () => {
    const counts = admittedIn(20, [
      displaced,
      {...displaced, promptTokens: 16_000},
      {...displaced, workspace: 'other'},
    ]);
    expect(Math.min(...counts)).toBeGreaterThan(5);
  });
});
