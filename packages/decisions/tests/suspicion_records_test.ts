/**
 * Tests that records of contents and of prompt parts, which share a topic of the store,
 * are not taken for each other: hosts of different builds read both.
 */
import {describe, expect, it} from 'vitest';
import {z} from 'zod';

import {
  decodePartSuspicion,
  decodeSuspicion,
  partSuspicionOf,
  Quarantine,
  SHARED_POLICY,
  suspicionOfCrash,
} from '../src/index.js';

const CONTENT = suspicionOfCrash('content', {
  upstreamId: 'i-1',
  wasAlone: false,
  time: 1000,
});
/** How long the process had run at least, which older builds do not state. */
const RUNNING = {bornAt: 1, runningSince: 400};
const CONTENT_OF_START = suspicionOfCrash('content', {
  upstreamId: 'i-1',
  wasAlone: false,
  time: 1000,
  ...RUNNING,
});
const PART = partSuspicionOf(
  {service: 'engines', partId: 'a1'},
  {upstreamId: 'i-1', bornAt: 1, time: 1000},
);
const PART_OF_START = partSuspicionOf(
  {service: 'engines', partId: 'a1'},
  {upstreamId: 'i-1', time: 1000, ...RUNNING},
);

/** How builds before the running time read and merge the records. */
const FORMER_CONTENT_SCHEMA = z.object({
  fingerprint: z.string(),
  crashes: z.array(
    z.object({
      upstreamId: z.string(),
      wasAlone: z.boolean(),
      time: z.number(),
    }),
  ),
  lastCleared: z.number(),
});
const FORMER_PART_SCHEMA = z.object({
  service: z.string(),
  partId: z.string(),
  crashes: z.array(
    z.object({upstreamId: z.string(), bornAt: z.number(), time: z.number()}),
  ),
  soundAt: z.number(),
  soundRuns: z.number(),
});

function encode(record: unknown): Buffer {
  return Buffer.from(JSON.stringify(record));
}

describe('a record of the topic', () => {
  it.each([
    {name: 'a content', value: encode(CONTENT), content: CONTENT},
    {
      name: 'a content with a field of a later build',
      value: encode({...CONTENT, later: 1}),
      content: CONTENT,
    },
    {
      name: 'a content with the time of a trial',
      value: encode({...CONTENT, triedAt: 5}),
      content: {...CONTENT, triedAt: 5},
    },
    {
      name: 'a part with the time of a trial',
      value: encode({...PART, triedAt: 5}),
      part: {...PART, triedAt: 5},
    },
    {
      name: 'a content with the running times of upstreams',
      value: encode(CONTENT_OF_START),
      content: CONTENT_OF_START,
    },
    {name: 'a part', value: encode(PART), part: PART},
    {
      name: 'a part with the running times of upstreams',
      value: encode(PART_OF_START),
      part: PART_OF_START,
    },
    {name: 'no JSON', value: Buffer.from('{')},
    {name: 'another type', value: encode([])},
  ])('that holds $name is read as such only', ({value, content, part}) => {
    expect(decodeSuspicion(value)).toEqual(content);
    expect(decodePartSuspicion(value)).toEqual(part);
  });
});

describe('beside a build that does not state running times', () => {
  it('each build reads the records of the other', () => {
    expect(FORMER_CONTENT_SCHEMA.parse(CONTENT_OF_START)).toEqual(CONTENT);
    expect(FORMER_PART_SCHEMA.parse(PART_OF_START)).toEqual(PART);
    expect(decodeSuspicion(encode(CONTENT))).toEqual(CONTENT);
    expect(decodePartSuspicion(encode(PART))).toEqual(PART);
  });

  it.each([
    {
      name: 'a crash that both report counts once',
      reports: [{}, RUNNING],
      later: [0, 900],
      crashes: 1,
    },
    {
      name: 'crashes of one id that both report in turn count each',
      reports: [{}, {bornAt: 1, runningSince: 7000}, {}],
      later: [0, 8000, 16_000],
      crashes: 3,
    },
  ])('$name', ({reports, later, crashes}) => {
    const quarantine = new Quarantine(SHARED_POLICY);
    reports.forEach((running, index) => {
      const time = 1000 + (later[index] ?? 0);
      const crash = {upstreamId: 'i-1', wasAlone: false, time, ...running};
      quarantine.merge(suspicionOfCrash('content', crash));
    });
    expect(quarantine.find('content')?.crashes).toHaveLength(crashes);
  });
});

describe('the verdicts that are gossiped', () => {
  const QUARANTINE_MILLISECONDS = 60_000;

  function crashes(fingerprint: string, count: number, time: number) {
    return Array.from({length: count}, (_, index) =>
      suspicionOfCrash(fingerprint, {
        upstreamId: `i-${index}`,
        wasAlone: false,
        time,
      }),
    );
  }

  it.each([
    {
      name: 'none below the crashes that it takes',
      counts: [2],
      maximum: 9,
      sent: [],
    },
    {name: 'one with as many', counts: [3], maximum: 9, sent: ['content-0']},
    {
      name: 'the latest ones',
      counts: [3, 3, 2, 3],
      maximum: 2,
      sent: ['content-1', 'content-3'],
    },
  ])('are $name', ({counts, maximum, sent}) => {
    const quarantine = new Quarantine(SHARED_POLICY);
    counts.forEach((count, index) => {
      crashes(`content-${index}`, count, 1000 + index).forEach(suspicion =>
        quarantine.merge(suspicion),
      );
    });
    const decided = quarantine.decided(maximum, QUARANTINE_MILLISECONDS, 2000);
    expect(decided.map(({fingerprint}) => fingerprint)).toEqual(sent);
    const later = 2000 + QUARANTINE_MILLISECONDS;
    const stillDecided = quarantine.decided(
      maximum,
      QUARANTINE_MILLISECONDS,
      later,
    );
    expect(stillDecided.map(({fingerprint}) => fingerprint)).toEqual(sent);
    quarantine
      .list()
      .forEach(({fingerprint}) => quarantine.clear(fingerprint, 1999));
    expect(
      quarantine
        .decided(maximum, QUARANTINE_MILLISECONDS, 2000)
        .map(({fingerprint}) => fingerprint),
    ).toEqual(sent);
    expect(quarantine.decided(maximum, QUARANTINE_MILLISECONDS, later)).toEqual(
      [],
    );
  });
});
