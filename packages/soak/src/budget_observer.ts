/**
 * How many attempts reached the upstreams of a service beyond the first of each
 * request, against the budget that all hosts share.
 */
import type {ArrivedAttempt} from '@lacewingwinch/stand-ins';

/** The budget, as the settings of the hosts state it. */
export interface BudgetBounds {
  /** Repeats allowed for each request. */
  readonly ratio: number;
  /** Further repeats allowed in a window. */
  readonly slack: number;
  readonly windowMilliseconds: number;
}

/** The bounds that hosts use without settings for them. */
export const DEFAULT_BUDGET: BudgetBounds = {
  ratio: 0.2,
  slack: 50,
  windowMilliseconds: 10_000,
};

/** The window with the most repeats beyond what is allowed. */
export interface ObservedBudget {
  readonly service: string;
  readonly repeats: number;
  readonly tolerated: number;
}

/**
 * Returns the worst window of a service. Requests count in the window, in the one
 * before or in the one half a window before, whichever has most; all times are in
 * milliseconds since the epoch.
 */
export function observeBudget(
  service: string,
  arrived: readonly ArrivedAttempt[],
  requestTimes: readonly number[],
  {ratio, slack, windowMilliseconds}: BudgetBounds = DEFAULT_BUDGET,
): ObservedBudget {
  const repeatTimes = repeatTimesOf(arrived);
  const countFrom = (times: readonly number[], start: number): number =>
    times.filter(time => time >= start && time < start + windowMilliseconds)
      .length;
  const windows = repeatTimes.map((start): ObservedBudget => {
    const starts = [
      start,
      start - windowMilliseconds / 2,
      start - windowMilliseconds,
    ];
    const requests = Math.max(
      ...starts.map(from => countFrom(requestTimes, from)),
    );
    const repeats = countFrom(repeatTimes, start);
    return {service, repeats, tolerated: ratio * requests + slack};
  });
  return windows.reduce(
    (worst, observed) =>
      observed.repeats - observed.tolerated > worst.repeats - worst.tolerated
        ? observed
        : worst,
    {service, repeats: 0, tolerated: slack},
  );
}

/** Returns the times of the arrivals beyond the first of each request. */
function repeatTimesOf(arrived: readonly ArrivedAttempt[]): readonly number[] {
  const known = new Set<string>();
  return [...arrived]
    .sort((left, right) => left.at - right.at)
    .flatMap(({attemptId, at}) => {
      const isRepeat = known.has(attemptId);
      known.add(attemptId);
      return isRepeat ? [at] : [];
    });
}
