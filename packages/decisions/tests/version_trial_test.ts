/** Tests of the trial of a version: its engines, requests and reports. */
import {describe, expect, it} from 'vitest';

import {
  chooseTestUpstreams,
  isExposureLeft,
  RolloutEvidence,
  summarizeReports,
  type VersionResultReport,
} from '../src/index.js';
import {BOUNDS, engine, results} from './rollout_fixtures.js';

describe('the engines of a test', () => {
  const many = Array.from({length: 96}, (_, index) =>
    engine(`engine-${String(index).padStart(2, '0')}`, 'v2'),
  );
  it.each([
    {
      name: 'as few as have their later load',
      upstreams: many,
      share: 0.125,
      count: 10,
    },
    {name: 'three at least', upstreams: many, share: 0.01, count: 3},
    {name: 'all of two', upstreams: many.slice(0, 2), share: 0.5, count: 2},
  ])('are $name', ({upstreams, share, count}) => {
    const chosen = chooseTestUpstreams(upstreams, share, 'order', []);
    expect(chosen).toHaveLength(count);
    expect(new Set(chosen).size).toBe(count);
    expect(chooseTestUpstreams(upstreams, share, 'order', chosen)).toEqual(
      chosen,
    );
  });

  it('are in as many failure domains as possible', () => {
    const chosen = new Set(chooseTestUpstreams(many, 0.125, 'order', []));
    const domains = many
      .filter(({upstreamId}) => chosen.has(upstreamId))
      .map(({failureDomain}) => failureDomain);
    expect(new Set(domains).size).toBe(10);
  });
});

describe('the requests of one host to a version on trial', () => {
  it.each([
    {name: 'none yet', requests: 10, assigned: 0, hosts: 1, isLeft: true},
    {name: 'a tenth', requests: 1000, assigned: 100, hosts: 60, isLeft: false},
    {
      name: 'less than that',
      requests: 1000,
      assigned: 80,
      hosts: 60,
      isLeft: true,
    },
    {
      name: 'the first of a host of many',
      requests: 1,
      assigned: 0,
      hosts: 60,
      isLeft: false,
    },
  ])('$name', ({requests, assigned, hosts, isLeft}) => {
    const sent = {requests, assigned, elapsedPart: 0.9};
    expect(isExposureLeft(BOUNDS, sent, hosts)).toBe(isLeft);
  });
});

describe('the reports of hosts', () => {
  function report(
    processId: string,
    overrides: Partial<VersionResultReport> = {},
  ): VersionResultReport {
    return {
      processId,
      hostId: processId.slice(0, 6),
      service: 'service',
      orderId: 'order-1',
      sequence: 4,
      runningElsewhere: 2,
      requests: 100,
      assigned: 10,
      results: [{route: 'a', upstreamId: 'new-0', ...results(8, 1)}],
      ...overrides,
    };
  }

  function summaryOf(
    reports: readonly (readonly [VersionResultReport, number])[],
  ): object {
    const evidence = new RolloutEvidence();
    reports.forEach(([sent, at]) => evidence.merge(sent, at));
    const received = evidence.reportsOn('service', 'order-1');
    const hosts = ['host-0', 'host-1'];
    const times = {now: 10_000, millisecondsSinceOrder: 5000};
    const {traffic, followers, resultCount} = summarizeReports(
      received,
      hosts,
      times,
    );
    return {...followers, requests: traffic.requests, resultCount};
  }

  it.each([
    {name: 'no report', reports: [], summary: {lowestSequence: 0, requests: 0}},
    {
      name: 'a host that has not reported',
      reports: [[report('host-0a'), 9900]],
      summary: {lowestSequence: 0, requests: 100, resultCount: 9},
    },
    {
      name: 'all hosts',
      reports: [
        [report('host-0a'), 9900],
        [report('host-1a', {sequence: 3}), 9900],
      ],
      summary: {lowestSequence: 3, runningElsewhere: 4, requests: 200},
    },
    {
      name: 'a report that is old',
      reports: [
        [report('host-0a'), 9900],
        [report('host-1a'), 5000],
      ],
      summary: {lowestSequence: 0, runningElsewhere: 2, requests: 200},
    },
    {
      name: 'a process that was replaced',
      reports: [
        [report('host-0a', {sequence: 2}), 9000],
        [report('host-0b'), 9900],
        [report('host-1a'), 9900],
      ],
      summary: {lowestSequence: 4, runningElsewhere: 4, requests: 300},
    },
    {
      name: 'a report that overtook a later one',
      reports: [
        [report('host-0a', {requests: 120}), 9900],
        [report('host-0a'), 9950],
      ],
      summary: {requests: 120},
    },
    {
      name: 'another order',
      reports: [[report('host-0a', {orderId: 'order-0'}), 9900]],
      summary: {requests: 0},
    },
  ] as const)('$name', ({reports, summary}) => {
    expect(summaryOf(reports)).toMatchObject(summary);
  });
});
