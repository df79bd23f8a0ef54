/** Tests of the usage of a window: its sums, and when they are fixed and reported. */
import {describe, expect, it} from 'vitest';

import {
  type DutyRecord,
  UsageWindows,
  windowsToReport,
  withFixedWindows,
} from '../src/index.js';

const RECORD: DutyRecord = {
  holder: 'host-1',
  processId: 'process-1',
  fixedUsage: {},
  reportedTo: -1,
  mostLastingEngines: {},
  era: 0,
  closedTo: -1,
};

describe('the usage of a window', () => {
  const WINDOW = 5000;

  it('is the sum of the counts of all processes, however often they are sent', () => {
    const usage = new UsageWindows(WINDOW);
    usage.add('own', 'large', 12_000);
    usage.add('own', 'large', 14_999);
    usage.add('own', 'large', 15_000);
    const received = {
      processId: 'other',
      window: 2,
      counts: {large: 5, small: 1},
    };
    usage.merge(received);
    usage.merge(received);
    usage.merge({...received, counts: {large: 3}});
    expect(usage.total(2)).toEqual({large: 7, small: 1});
    expect(usage.total(3)).toEqual({large: 1});
  });

  it('is fixed once after it has settled and never changes', () => {
    const usage = new UsageWindows(WINDOW);
    usage.add('own', 'large', 12_000);
    expect(usage.windowsToFix(RECORD, 16_000)).toEqual([]);
    expect(usage.windowsToFix(RECORD, 18_000)).toEqual([2]);
    const fixed = withFixedWindows(RECORD, [[2, usage.total(2)]]);
    usage.add('own', 'large', 12_001);
    const again = withFixedWindows(fixed, [[2, usage.total(2)]]);
    expect(again.fixedUsage).toEqual({'2': {large: 1}});
    expect(usage.windowsToFix(again, 19_000)).toEqual([]);
  });

  it('is reported until the platform has accepted it', () => {
    const fixed = withFixedWindows(RECORD, [
      [7, {a: 1}],
      [8, {a: 2}],
    ]);
    expect(windowsToReport(fixed)).toEqual([7, 8]);
    expect(windowsToReport({...fixed, reportedTo: 7})).toEqual([8]);
  });

  it('is dropped long after the window has ended', () => {
    const usage = new UsageWindows(WINDOW);
    usage.add('own', 'large', 0);
    usage.dropOldWindows(100_000);
    expect(usage.list()).toEqual([]);
  });
});
