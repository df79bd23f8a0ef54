/** Tests of the health of an upstream, from the results of all hosts. */
import {describe, expect, it} from 'vitest';

import {FleetHealth, type ReportedResult} from '../src/index.js';

describe('the health of an upstream for all hosts', () => {
  it.each<{
    readonly name: string;
    readonly results: readonly (readonly [string, ReportedResult['result']])[];
    readonly isEjected: boolean;
  }>([
    {
      name: 'connections lost by one host',
      results: Array.from({length: 9}, () => ['cut', 'disconnected'] as const),
      isEjected: false,
    },
    {
      name: 'connections lost by two hosts',
      results: [
        ['one', 'disconnected'],
        ['two', 'disconnected'],
        ['one', 'disconnected'],
        ['two', 'disconnected'],
      ],
      isEjected: true,
    },
    {
      name: 'connections lost by two hosts, answers to a third',
      results: [
        ['one', 'disconnected'],
        ['three', 'answered'],
        ['two', 'disconnected'],
        ['three', 'answered'],
        ['one', 'disconnected'],
      ],
      isEjected: false,
    },
    {
      name: 'an upstream that several hosts do not reach',
      results: [['one', 'unreachable']],
      isEjected: true,
    },
    {
      name: 'invalid answers to one host',
      results: [
        ['one', 'failed'],
        ['one', 'failed'],
        ['one', 'failed'],
      ],
      isEjected: true,
    },
  ])('$name: $isEjected', ({results, isEjected}) => {
    const health = new FleetHealth();
    results.forEach(([front, result], index) =>
      health.recordResult({upstreamId: 'a', front, result}, index),
    );
    expect(health.isEjected('a', 100)).toBe(isEjected);
  });
});
