/** Tests of which reports of crashed upstreams are of the same crash. */
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';

import {type CrashReport, mergeCrashReports} from '../src/index.js';

const START = 1_000_000;
const SECOND = 1000;

/** A report of a process that ran from `since` on and crashed at `at`. */
function report(
  since: number,
  at: number,
  overrides: Partial<CrashReport> = {},
): CrashReport {
  return {
    upstreamId: 'i',
    bornAt: START,
    time: START + at,
    runningSince: START + since,
    ...overrides,
  };
}

/** A report of a build that does not state for how long the process ran. */
function reportOfPart(bornAt: number, at: number): CrashReport {
  return {upstreamId: 'i', bornAt, time: START + at};
}

/** A report of a build that does not state the start of the process. */
function reportOfContent(at: number): CrashReport {
  return {upstreamId: 'i', time: START + at};
}

describe('reports', () => {
  it.each<{
    readonly name: string;
    readonly reports: readonly CrashReport[];
    readonly crashes: number;
  }>([
    {
      name: 'of one crash, by two hosts',
      reports: [report(0, 5000), report(3000, 5040)],
      crashes: 1,
    },
    {
      name: 'of one crash, twice by one host',
      reports: [report(0, 5000), report(0, 5000)],
      crashes: 1,
    },
    {
      name: 'of one crash, of which a frozen host reports late',
      reports: [report(0, 5000), report(1000, 15_000)],
      crashes: 1,
    },
    {
      name: 'of two crashes, of which a frozen host reports the first late',
      reports: [report(0, 5000), report(8000, 9000), report(1000, 15_000)],
      crashes: 2,
    },
    {
      name: 'of one crash, by hosts that know different starts',
      reports: [
        report(0, 5000, {bornAt: START - 9000}),
        report(0, 5010, {bornAt: START - 1}),
      ],
      crashes: 1,
    },
    {
      name: 'of two crashes, the second before its new start is known',
      reports: [report(0, 5000), report(7000, 7500)],
      crashes: 2,
    },
    {
      name: 'of three crashes of one upstream that keeps its id',
      reports: [report(0, 5000), report(7000, 7500), report(9600, 9700)],
      crashes: 3,
    },
    {
      name: 'of one crash, by hosts whose clocks differ',
      reports: [report(0, 5000), report(5200, 5300)],
      crashes: 1,
    },
    {
      name: 'of two crashes, the second soon after a start that is known',
      reports: [report(0, 5000), report(5300, 5400, {bornAt: START + 5250})],
      crashes: 2,
    },
    {
      name: 'of two upstreams',
      reports: [report(0, 5000), report(0, 5000, {upstreamId: 'j'})],
      crashes: 2,
    },
    {
      name: 'of one crash, one without the running time',
      reports: [report(0, 5000), reportOfPart(START, 5600)],
      crashes: 1,
    },
    {
      name: 'of two starts, without the running time',
      reports: [reportOfPart(START, 5000), reportOfPart(START + 1, 5010)],
      crashes: 2,
    },
    {
      name: 'of an unknown start, within the time of a crash',
      reports: [reportOfPart(0, 5000), reportOfPart(0, 5090)],
      crashes: 1,
    },
    {
      name: 'of an unknown start, later',
      reports: [reportOfPart(0, 5000), reportOfPart(0, 5300)],
      crashes: 2,
    },
    {
      name: 'of one crash, one without a start',
      reports: [report(0, 5000), reportOfContent(6400)],
      crashes: 1,
    },
    {
      name: 'of two crashes without a start',
      reports: [reportOfContent(5000), reportOfContent(9000)],
      crashes: 2,
    },
  ])('$name make $crashes', ({reports, crashes}) => {
    expect(mergeCrashReports(reports)).toHaveLength(crashes);
    expect(mergeCrashReports([...reports].reverse())).toHaveLength(crashes);
  });

  it('of any hosts count each crash once, in any order', () => {
    const lives = fc.array(
      fc.record({
        /** Seconds until the next start, and until the crash after it. */
        downFor: fc.nat({max: 8}),
        upFor: fc.nat({max: 8}),
        /** Milliseconds by which each report is late, and its connection old. */
        reports: fc.array(
          fc.record({delay: fc.nat({max: 400}), age: fc.nat({max: 2000})}),
          {minLength: 1, maxLength: 4},
        ),
      }),
      {maxLength: 6},
    );
    fc.assert(
      fc.property(lives, fc.nat({max: 50}), (list, cut) => {
        let at = 0;
        const reports = list.flatMap(({downFor, upFor, reports: delays}) => {
          const since = at + (2 + downFor) * SECOND;
          at = since + (1 + upFor) * SECOND;
          return delays.map(({delay, age}) =>
            report(Math.max(since, at - age), at + delay),
          );
        });
        const merged = mergeCrashReports(reports);
        expect(merged).toHaveLength(list.length);
        const index = cut % (reports.length + 1);
        const others = mergeCrashReports(reports.slice(index));
        const rest = mergeCrashReports(reports.slice(0, index));
        expect(mergeCrashReports([...others, ...rest])).toEqual(merged);
        expect(mergeCrashReports([...merged, ...rest])).toEqual(merged);
      }),
    );
  });
});
