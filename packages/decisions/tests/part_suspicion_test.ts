/** Tests of the suspicions of prompt parts that crash upstreams. */
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';

import {
  blameParts,
  mergePartSuspicions,
  NEVER_SOUND,
  nextTrialAt,
  type PartSuspicion,
  type UpstreamCrash,
} from '../src/index.js';

const SERVICE = 'engines';
const PART = 'a1';
const START = 1_000_000;
const SECOND = 1000;
const MINUTE = 60 * SECOND;

/** A crash `after` milliseconds; by default of an upstream of its own. */
function crash(after: number, upstreamId = `i-${after}`): UpstreamCrash {
  return {upstreamId, bornAt: 1, time: START + after};
}

function suspicion(
  crashes: readonly UpstreamCrash[],
  soundAt = NEVER_SOUND,
): PartSuspicion {
  const [first, ...others] = crashes.map<PartSuspicion>(one => ({
    service: SERVICE,
    partId: PART,
    crashes: [one],
    soundAt,
    soundRuns: soundAt === NEVER_SOUND ? 0 : 8,
  }));
  return others.reduce(
    mergePartSuspicions,
    first ?? {
      service: SERVICE,
      partId: PART,
      crashes: [],
      soundAt,
      soundRuns: 0,
    },
  );
}

describe('a part is blamed', () => {
  it.each<{
    readonly name: string;
    readonly crashes: readonly UpstreamCrash[];
    /** Milliseconds from the start; undefined without a sound run. */
    readonly soundAt?: number;
    readonly judgedAfter?: number;
    readonly isBlamed: boolean;
  }>([
    {
      name: 'after three crashes of which no sound run is known',
      crashes: [crash(0), crash(100), crash(300)],
      isBlamed: true,
    },
    {
      name: 'not after two',
      crashes: [crash(0), crash(300)],
      isBlamed: false,
    },
    {
      name: 'not after many at one moment, as when a domain is reclaimed',
      crashes: Array.from({length: 9}, (_, index) => crash(index * 20)),
      isBlamed: false,
    },
    {
      name: 'not after one incarnation that several hosts report',
      crashes: [crash(0, 'i'), crash(300, 'i'), crash(700, 'i')],
      isBlamed: false,
    },
    {
      name: 'after one upstream that starts again under its id',
      crashes: [0, 300, 700].map(after => ({
        ...crash(after, 'i'),
        bornAt: after,
      })),
      isBlamed: true,
    },
    {
      name: 'after one upstream of unknown start that crashes again and again',
      crashes: [0, 300, 700].map(after => ({...crash(after, 'i'), bornAt: 0})),
      isBlamed: true,
    },
    {
      name: 'after two upstreams of unknown start, whenever the second begins',
      crashes: [50, 55, 250, 255, 450, 455].map((after, index) => ({
        ...crash(after, `i-${index % 2}`),
        bornAt: 0,
      })),
      isBlamed: true,
    },
    {
      name: 'not after one of unknown start that several hosts report',
      crashes: [0, 20, 40].map(after => ({...crash(after, 'i'), bornAt: 0})),
      isBlamed: false,
    },
    {
      name: 'not for crashes before a sound run',
      crashes: [crash(0), crash(300), crash(700)],
      soundAt: 800,
      isBlamed: false,
    },
    {
      name: 'not after three where it was known to be sound before',
      crashes: [crash(0), crash(300), crash(700)],
      soundAt: -10 * SECOND,
      isBlamed: false,
    },
    {
      name: 'after five at different moments where it was sound before',
      crashes: [0, 300, 700, 1000, 1400].map(after => crash(after)),
      soundAt: -10 * SECOND,
      isBlamed: true,
    },
    {
      name: 'not after two mass crashes where it was sound before',
      crashes: [0, 10, 20, 30, 4000, 4010, 4020].map(after => crash(after)),
      soundAt: -100,
      isBlamed: false,
    },
    {
      name: 'after three where the last sound run is long ago',
      crashes: [crash(0), crash(300), crash(700)],
      soundAt: -2 * MINUTE,
      isBlamed: true,
    },
    {
      name: 'not for crashes of long ago',
      crashes: [crash(0), crash(300), crash(700)],
      judgedAfter: 11 * MINUTE,
      isBlamed: false,
    },
  ])('$name', ({crashes, soundAt, judgedAfter = 2000, isBlamed}) => {
    const soundTime = soundAt === undefined ? NEVER_SOUND : START + soundAt;
    const verdicts = blameParts(
      [suspicion(crashes, soundTime)],
      START + judgedAfter,
    );
    expect(verdicts.size > 0).toBe(isBlamed);
  });
});

describe('of several accused parts', () => {
  const FIRST = [0, 300, 700].map(after => crash(after));
  const SECOND_PART = [100, 450, 900].map(after => crash(after));
  const SOUND_BEFORE = START - 10 * SECOND;

  it.each<{
    readonly name: string;
    /** Crashes and last sound run by part. */
    readonly accused: Readonly<
      Record<string, readonly [readonly UpstreamCrash[], number]>
    >;
    readonly blamed: readonly string[];
  }>([
    {
      name: 'the one in most crashes is blamed',
      accused: {
        a1: [FIRST, NEVER_SOUND],
        b2: [FIRST.slice(0, 2), NEVER_SOUND],
      },
      blamed: ['a1'],
    },
    {
      name: 'two are blamed, and not the sound one that both crashes share',
      accused: {
        a1: [FIRST, NEVER_SOUND],
        b2: [SECOND_PART, NEVER_SOUND],
        shared: [[...FIRST, ...SECOND_PART], SOUND_BEFORE],
      },
      blamed: ['a1', 'b2'],
    },
    {
      name: 'none is blamed while two explain the same three crashes',
      accused: {a1: [FIRST, NEVER_SOUND], b2: [FIRST, NEVER_SOUND]},
      blamed: [],
    },
    {
      name: 'both are blamed that explain the same five crashes',
      accused: {
        a1: [[...FIRST, crash(1000), crash(1300)], NEVER_SOUND],
        b2: [[...FIRST, crash(1000), crash(1300)], NEVER_SOUND],
      },
      blamed: ['a1', 'b2'],
    },
    {
      name: 'a sound one is blamed that has turned, and not rare ones beside it',
      accused: {
        a1: [
          [0, 300, 700, 1000, 1400].map(after => crash(after)),
          SOUND_BEFORE,
        ],
        b2: [[crash(0)], NEVER_SOUND],
        c3: [[crash(300)], NEVER_SOUND],
        d4: [[crash(700), crash(1000)], SOUND_BEFORE],
      },
      blamed: ['a1'],
    },
    {
      name: 'a blamed one explains later crashes too',
      accused: {
        a1: [[...FIRST, ...SECOND_PART], NEVER_SOUND],
        b2: [SECOND_PART, NEVER_SOUND],
      },
      blamed: ['a1'],
    },
  ])('$name', ({accused, blamed}) => {
    const suspicions = Object.entries(accused).map(
      ([partId, [crashes, soundAt]]) => ({
        ...suspicion(crashes, soundAt),
        partId,
      }),
    );
    const verdicts = blameParts(suspicions, START + 2000);
    expect([...verdicts.keys()].map(({partId}) => partId).sort()).toEqual(
      blamed,
    );
  });
});

describe('suspicions', () => {
  const crashes = fc
    .array(fc.nat({max: 20}), {minLength: 1, maxLength: 6})
    .map(times => times.map(time => crash(time * 100, `i-${time % 7}`)));
  const suspicions = fc
    .tuple(crashes, fc.nat({max: 2000}), fc.option(fc.nat({max: 3})))
    .map(([list, sound, verdict]) => ({
      ...suspicion(list, START + sound),
      ...(verdict === null
        ? {}
        : {verdict: {at: START + verdict, trialMilliseconds: 2000}}),
    }));

  it('merge to the same in any order, and twice to the same', () => {
    fc.assert(
      fc.property(suspicions, suspicions, suspicions, (a, b, c) => {
        const left = mergePartSuspicions(mergePartSuspicions(a, b), c);
        const right = mergePartSuspicions(mergePartSuspicions(c, b), a);
        expect(left).toEqual(right);
        expect(mergePartSuspicions(left, b)).toEqual(left);
      }),
    );
  });
});

describe('the next trial of a blamed part', () => {
  it.each<{
    readonly name: string;
    readonly trialMilliseconds: number;
    readonly crashes: readonly UpstreamCrash[];
    readonly dueAfter: number;
  }>([
    {
      name: 'comes soon where it was sound before',
      trialMilliseconds: 2000,
      crashes: [crash(-10)],
      dueAfter: 2000,
    },
    {
      name: 'is not delayed by requests that were under way',
      trialMilliseconds: 2000,
      crashes: [crash(-10), crash(900)],
      dueAfter: 2000,
    },
    {
      name: 'is eight times later after a trial that crashed',
      trialMilliseconds: 2000,
      crashes: [crash(-10), crash(2100)],
      dueAfter: 2100 + 16_000,
    },
    {
      name: 'comes late where it was never sound',
      trialMilliseconds: 600_000,
      crashes: [crash(-10)],
      dueAfter: 600_000,
    },
  ])('$name', ({trialMilliseconds, crashes, dueAfter}) => {
    const verdict = {at: START, trialMilliseconds};
    expect(nextTrialAt(suspicion(crashes), verdict)).toBe(START + dueAfter);
  });
});
