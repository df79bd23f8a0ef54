/** Tests of the signs of life that confirm runs whose answers confirm nothing. */
import {beforeEach, describe, expect, it} from 'vitest';

import {UnconfirmedRuns} from '../src/tasks/unconfirmed_runs.js';

const UPSTREAM = {
  upstreamId: 'i',
  bornAt: 1000,
  service: 'engines',
  address: '10.0.0.1:80',
};

const ENDED_AT = 5000;
const SOUND_FROM = 5400;

let now: number;
let sound: string[];
let runs: UnconfirmedRuns;

beforeEach(() => {
  now = ENDED_AT;
  sound = [];
  runs = new UnconfirmedRuns({
    clock: () => now,
    isAlive: () => Promise.resolve(false),
    onSound: ({parts}) => sound.push(...parts),
  });
  const times = {endedAt: ENDED_AT, soundFrom: SOUND_FROM};
  runs.add({...UPSTREAM, ...times, parts: ['part']}, false);
});

describe('a run that ended without a sign', () => {
  it.each<{
    readonly name: string;
    readonly at: number;
    readonly bornAt?: number;
    /** Milliseconds for which the answering process has run at least. */
    readonly runningFor: number;
    readonly isSound: boolean;
  }>([
    {
      name: 'its process, later',
      at: SOUND_FROM,
      runningFor: 9000,
      isSound: true,
    },
    {
      name: 'its process, too early',
      at: SOUND_FROM - 1,
      runningFor: 9000,
      isSound: false,
    },
    {
      name: 'another start that is known',
      at: SOUND_FROM,
      bornAt: 1001,
      runningFor: 9000,
      isSound: false,
    },
    {
      // Guards against a crash that the next process under the id refuted.
      name: 'a process that may have started since, before that is known',
      at: ENDED_AT + 2500,
      runningFor: 2400,
      isSound: false,
    },
  ])('is sound after an answer of $name: $isSound', testCase => {
    const {at, bornAt = UPSTREAM.bornAt, runningFor, isSound} = testCase;
    now = at;
    runs.recordSignOfLife({upstreamId: 'i', bornAt}, runningFor);
    expect(sound).toEqual(isSound ? ['part'] : []);
  });
});
