/**
 * Tests that records of contents and of prompt parts, which share a topic of the store,
 * are not taken for each other: hosts of different builds read both.
 */
import {describe, expect, it} from 'vitest';

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
const PART = partSuspicionOf(
  {service: 'engines', partId: 'a1'},
  {upstreamId: 'i-1', bornAt: 1, time: 1000},
);

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
    {name: 'a part', value: encode(PART), part: PART},
    {name: 'no JSON', value: Buffer.from('{')},
    {name: 'another type', value: encode([])},
  ])('that holds $name is read as such only', ({value, content, part}) => {
    expect(decodeSuspicion(value)).toEqual(content);
    expect(decodePartSuspicion(value)).toEqual(part);
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
    expect(quarantine.decided(maximum, QUARANTINE_MILLISECONDS, later)).toEqual(
      [],
    );
  });
});
