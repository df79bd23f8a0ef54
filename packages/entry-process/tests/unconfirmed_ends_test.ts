/** Tests of what the end of an answer without a framing shows of its upstream. */
import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';

import type {ProbedProcess} from '../src/paths/process_probe.js';
import {UnconfirmedEnds} from '../src/routed_interface/evidence/unconfirmed_ends.js';

const DETECTION_MILLISECONDS = 200;
const UPSTREAM = {
  upstreamId: 'i-1',
  address: '10.0.0.1:80',
  bornAt: 1000,
  runningSince: 2000,
};

beforeEach(() => {
  vi.useFakeTimers({now: 1_000_000});
});

afterEach(() => {
  vi.useRealTimers();
});

describe('an answer that ended with its connection', () => {
  it.each<{
    readonly name: string;
    readonly hasOpenConnection: boolean;
    readonly probed: ProbedProcess;
    readonly isToBlame: boolean;
    readonly shown: readonly string[];
  }>([
    {
      name: 'sound if another connection is open',
      hasOpenConnection: true,
      probed: 'none',
      isToBlame: true,
      shown: ['complete'],
    },
    {
      name: 'sound if its process answers',
      hasOpenConnection: false,
      probed: 'same',
      isToBlame: true,
      shown: ['complete'],
    },
    {
      name: 'sound if a process without a start answers',
      hasOpenConnection: false,
      probed: 'unstated',
      isToBlame: true,
      shown: ['complete'],
    },
    {
      name: 'a crash if another process answers',
      hasOpenConnection: false,
      probed: 'other',
      isToBlame: false,
      shown: ['crash', 'accused'],
    },
    {
      name: 'a crash if nothing listens and the upstream is to blame',
      hasOpenConnection: false,
      probed: 'none',
      isToBlame: true,
      shown: ['crash', 'accused'],
    },
    {
      name: 'neither if the links of the host may have failed',
      hasOpenConnection: false,
      probed: 'none',
      isToBlame: false,
      shown: [],
    },
  ])('is $name', async ({hasOpenConnection, probed, isToBlame, shown}) => {
    const seen: string[] = [];
    const ends = new UnconfirmedEnds({
      pool: {hasOpenConnection: () => hasOpenConnection},
      probe: () => Promise.resolve(probed),
      trueTime: () => Date.now(),
      crashes: {
        recordCompletion: () => seen.push('complete'),
        reportCrash: () => seen.push('crash'),
        reportIfToBlame: (_fingerprint, _ended, onCrash) => {
          if (isToBlame) {
            seen.push('crash');
            onCrash();
          }
          return Promise.resolve();
        },
      },
    });
    ends.record('content', UPSTREAM, () => seen.push('accused'));
    expect(seen).toEqual([]);
    await vi.advanceTimersByTimeAsync(DETECTION_MILLISECONDS);
    expect(seen).toEqual(shown);
  });
});
