/**
 * Measures how often a roll-out ends as it should, how many requests a bad
 * version gets, and how soon it gets none, over drawn cases.
 */
import {percentile} from './figures.js';
import {type RolloutCase, RolloutModel} from './rollout_model.js';

const CASES = 500;

const SERIES: readonly Omit<RolloutCase, 'seed'>[] = [
  {form: 'good', hasTrouble: false},
  {form: 'good', hasTrouble: true},
  {form: 'failing', hasTrouble: false},
  {form: 'failing', hasTrouble: true},
  {form: 'slow', hasTrouble: false},
  {form: 'late', hasTrouble: false},
  {form: 'under-load', hasTrouble: false},
  {form: 'one-route', hasTrouble: false},
];

/** Plays each series of cases. */
export function measureRollouts(): Promise<unknown> {
  const rows = SERIES.map(series => {
    const outcomes = Array.from({length: CASES}, (_, index) =>
      new RolloutModel({...series, seed: index + 1}).result(),
    );
    const share = (phase: string): number =>
      outcomes.filter(outcome => outcome.phase === phase).length / CASES;
    const exposures = outcomes.map(({exposure}) => exposure);
    const reasons = new Map<string, number>();
    for (const {reason} of outcomes) {
      const kind = reason.split(':')[0] ?? '';
      reasons.set(kind, (reasons.get(kind) ?? 0) + 1);
    }
    const row = {
      ...series,
      completed: share('completed'),
      rolledBack: share('rolled-back'),
      largestExposure: Math.max(...exposures),
      beyondBound: exposures.filter(exposure => exposure > 1).length,
      casesSentLate: outcomes.filter(({sentLate}) => sentLate > 0).length,
      settledAfter: percentile(
        outcomes.map(({settledAfter}) => settledAfter),
        0.5,
      ),
      reasons: Object.fromEntries(reasons),
    };
    const bound =
      series.form === 'good'
        ? ''
        : `, exposure at most ${row.largestExposure.toFixed(2)} of the bound, beyond it in ${row.beyondBound}, sent late in ${row.casesSentLate}`;
    process.stdout.write(
      `${series.form}${series.hasTrouble ? ' beside trouble' : ''}: completed ${row.completed.toFixed(3)}, rolled back ${row.rolledBack.toFixed(3)}, settled after ${row.settledAfter} ms${bound}\n`,
    );
    return row;
  });
  return Promise.resolve(rows);
}
