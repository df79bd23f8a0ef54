/** Tests of the software versions at which streams may go on. */
import {describe, expect, it} from 'vitest';

import {
  type Continuation,
  decideContinuation,
  judgeOriginProcess,
  type OriginKnowledge,
  type OriginProcess,
  type SeenVersions,
  SoftwareVersions,
  type StreamOrigin,
  StreamOrigins,
} from '../src/index.js';

const LIFETIME_MILLISECONDS = 24_000;
const NOW = 1_000_000;
const COMPLETE_V1: SeenVersions = {versions: ['v1'], isComplete: true};
const PARTIAL_V1: SeenVersions = {versions: ['v1'], isComplete: false};
const PARTIAL_V2: SeenVersions = {versions: ['v2'], isComplete: false};
const NONE: SeenVersions = {versions: [], isComplete: true};

function originAt(softwareVersion: string, service = 'engines'): StreamOrigin {
  return {
    attemptId: 'attempt',
    service,
    softwareVersion,
    lifetimeMilliseconds: LIFETIME_MILLISECONDS,
  };
}

describe('a stream is continued', () => {
  it.each<{
    readonly name: string;
    readonly knowledge: readonly OriginKnowledge[];
    readonly continuation: Continuation;
  }>([
    {
      name: 'at the version of its origin',
      knowledge: [{seen: COMPLETE_V1}, {origin: originAt('v2'), seen: NONE}],
      continuation: {
        kind: 'at-version',
        softwareVersion: 'v2',
        basis: 'record',
      },
    },
    {
      name: 'at the only version of a complete history',
      knowledge: [{seen: PARTIAL_V1}, {seen: COMPLETE_V1}],
      continuation: {
        kind: 'at-version',
        softwareVersion: 'v1',
        basis: 'history',
      },
    },
    {
      name: 'nowhere if no history is complete',
      knowledge: [{seen: PARTIAL_V1}, {seen: PARTIAL_V1}],
      continuation: {kind: 'unknown', cause: 'incomplete-history'},
    },
    {
      name: 'nowhere if another host has seen another version',
      knowledge: [{seen: COMPLETE_V1}, {seen: PARTIAL_V2}],
      continuation: {kind: 'unknown', cause: 'ambiguous-history'},
    },
    {
      name: 'nowhere if no version was listed',
      knowledge: [{seen: NONE}],
      continuation: {kind: 'unknown', cause: 'ambiguous-history'},
    },
    {
      name: 'nowhere if it began at another service',
      knowledge: [{origin: originAt('v1', 'others'), seen: COMPLETE_V1}],
      continuation: {kind: 'unknown', cause: 'contradictory-records'},
    },
    {
      name: 'nowhere if two hosts disagree on its origin',
      knowledge: [
        {origin: originAt('v1'), seen: NONE},
        {origin: originAt('v2'), seen: NONE},
      ],
      continuation: {kind: 'unknown', cause: 'contradictory-records'},
    },
  ])('$name', ({knowledge, continuation}) => {
    expect(decideContinuation('engines', knowledge)).toEqual(continuation);
  });
});

describe('the versions that a host has seen', () => {
  function listed(versions: SoftwareVersions, version: string, at: number) {
    versions.recordListing({service: 'engines', softwareVersion: version}, at);
  }

  it.each<{
    readonly name: string;
    readonly isFirstStart: boolean;
    readonly reads: readonly {
      readonly coverage: 'every-listing' | 'listings-in-force';
      readonly at: number;
    }[];
    readonly isComplete: boolean;
  }>([
    {
      name: 'are complete from the first start of the fleet on',
      isFirstStart: true,
      reads: [{coverage: 'listings-in-force', at: NOW}],
      isComplete: true,
    },
    {
      name: 'are not complete after a later start',
      isFirstStart: false,
      reads: [{coverage: 'listings-in-force', at: NOW}],
      isComplete: false,
    },
    {
      name: 'are complete a lifetime after a later start',
      isFirstStart: false,
      reads: [
        {coverage: 'listings-in-force', at: NOW - LIFETIME_MILLISECONDS},
        {coverage: 'every-listing', at: NOW},
      ],
      isComplete: true,
    },
    {
      name: 'are not complete after a gap without a log',
      isFirstStart: true,
      reads: [
        {coverage: 'listings-in-force', at: NOW - 5000},
        {coverage: 'listings-in-force', at: NOW},
      ],
      isComplete: false,
    },
    {
      name: 'are not complete while the list is old',
      isFirstStart: true,
      reads: [{coverage: 'every-listing', at: NOW - 2500}],
      isComplete: false,
    },
  ])('$name', ({isFirstStart, reads, isComplete}) => {
    const versions = new SoftwareVersions(isFirstStart);
    for (const {coverage, at} of reads) {
      listed(versions, 'v1', at);
      versions.recordRead(coverage, at);
    }
    expect(versions.seenWithin('engines', LIFETIME_MILLISECONDS, NOW)).toEqual({
      versions: ['v1'],
      isComplete,
    });
  });

  it('leave out what was listed too long ago', () => {
    const versions = new SoftwareVersions(true);
    listed(versions, 'v1', NOW - LIFETIME_MILLISECONDS - 1);
    listed(versions, 'v2', NOW - LIFETIME_MILLISECONDS);
    versions.recordRead('every-listing', NOW);
    const seen = versions.seenWithin('engines', LIFETIME_MILLISECONDS, NOW);
    expect(seen.versions).toEqual(['v2']);
  });
});

describe('the origin of a stream', () => {
  it('is kept for the lifetime of the stream', () => {
    const origins = new StreamOrigins();
    origins.record(originAt('v1'), NOW);
    const last = NOW + LIFETIME_MILLISECONDS - 1;
    expect(origins.find('attempt', last)?.softwareVersion).toBe('v1');
    expect(origins.find('attempt', last + 1)).toBeUndefined();
  });

  it('stays the first one of its attempt', () => {
    const origins = new StreamOrigins();
    origins.record(originAt('v1'), NOW);
    origins.record(originAt('v2'), NOW + 1);
    expect(origins.find('attempt', NOW + 2)?.softwareVersion).toBe('v1');
  });

  it('is dropped for a newer one when too many are kept', () => {
    const origins = new StreamOrigins();
    for (let index = 0; index <= 20_000; index += 1) {
      origins.record({...originAt('v1'), attemptId: `${index}`}, NOW);
    }
    expect(origins.find('0', NOW)).toBeUndefined();
    expect(origins.find('20000', NOW)).toBeDefined();
    expect(origins.all(NOW)).toHaveLength(20_000);
  });
});

describe('the process that began a stream', () => {
  const SENT_AT = NOW;
  const FIRST_EVENT_AT = NOW + 400;
  const LISTED_START = NOW - 60_000;

  it.each<{
    readonly name: string;
    readonly listedStart?: number;
    readonly presentStart: number | undefined;
    readonly origin: OriginProcess['kind'];
  }>([
    {
      name: 'is the listed one while it is still listed',
      presentStart: LISTED_START,
      origin: 'as-listed',
    },
    {
      name: 'is the listed one if it has been withdrawn',
      presentStart: undefined,
      origin: 'as-listed',
    },
    {
      name: 'is the listed one if another one started after the first event',
      presentStart: FIRST_EVENT_AT + 300,
      origin: 'as-listed',
    },
    {
      name: 'is the listed one if an older entry was read again',
      presentStart: LISTED_START - 1,
      origin: 'as-listed',
    },
    {
      name: 'is the listed one if it reported no start',
      listedStart: 0,
      presentStart: SENT_AT - 1000,
      origin: 'as-listed',
    },
    {
      name: 'is the one that started before the request was sent',
      presentStart: SENT_AT - 300,
      origin: 'replacement',
    },
    {
      name: 'is not known if the other one started as the request was sent',
      presentStart: SENT_AT - 200,
      origin: 'unknown',
    },
    {
      name: 'is not known if the other one started before the first event',
      presentStart: FIRST_EVENT_AT,
      origin: 'unknown',
    },
  ])('$name', ({listedStart = LISTED_START, presentStart, origin}) => {
    const beginning = {
      listedStart,
      sentAt: SENT_AT,
      firstEventAt: FIRST_EVENT_AT,
    };
    const present =
      presentStart === undefined
        ? undefined
        : {bornAt: presentStart, softwareVersion: 'v2'};
    expect(judgeOriginProcess(beginning, present).kind).toBe(origin);
  });
});
