/** Tests of the histories of software versions that the store keeps. */
import {describe, expect, it} from 'vitest';

import {
  decodeOrigins,
  decodeVersionHistory,
  encodeOrigins,
  type KnownVersions,
  reviseVersionHistory,
  SoftwareVersions,
  type VersionHistory,
  type VersionPeriod,
} from '../src/index.js';

const SERVICE = 'engines';
/** Milliseconds since the epoch. */
const NOW = 1_000_000;
const LIFETIME = 24_000;

function history(
  versions: readonly VersionPeriod[],
  overrides: Partial<VersionHistory> = {},
): VersionHistory {
  return {service: SERVICE, era: 0, completeSince: 0, versions, ...overrides};
}

function known(
  listed: readonly string[],
  overrides: Partial<KnownVersions> = {},
): KnownVersions {
  return {
    service: SERVICE,
    era: 0,
    listed: new Set(listed),
    lastListed: new Map(),
    completeSince: 0,
    ...overrides,
  };
}

const V1: VersionPeriod = {softwareVersion: 'v1'};
const V2: VersionPeriod = {softwareVersion: 'v2'};

describe('a history', () => {
  it.each<{
    readonly name: string;
    readonly recorded?: VersionHistory;
    readonly known: KnownVersions;
    /** Undefined if nothing is written. */
    readonly written?: VersionHistory;
  }>([
    {
      name: 'is written for the first version',
      known: known(['v1']),
      written: history([V1]),
    },
    {
      name: 'is not written again while nothing changes',
      recorded: history([V1]),
      known: known(['v1']),
    },
    {
      name: 'gets a version that joins',
      recorded: history([V1]),
      known: known(['v1', 'v2']),
      written: history([V1, V2]),
    },
    {
      name: 'keeps a version for a moment that is not listed any more',
      recorded: history([V1, V2]),
      known: known(['v2'], {lastListed: new Map([['v1', NOW - 1000]])}),
    },
    {
      name: 'states until when a version was listed that has gone',
      recorded: history([V1, V2]),
      known: known(['v2'], {lastListed: new Map([['v1', NOW - 4000]])}),
      written: history([{...V1, listedUntil: NOW - 4000}, V2]),
    },
    {
      name: 'keeps a version that went while no host ran, of unknown time',
      recorded: history([V1, V2]),
      known: known(['v2'], {completeSince: NOW - 500}),
    },
    {
      name: 'has a version that is listed again',
      recorded: history([{...V1, listedUntil: NOW - 9000}, V2]),
      known: known(['v1', 'v2']),
      written: history([V1, V2]),
    },
    {
      name: 'states a later end of a version that came and went meanwhile',
      recorded: history([{...V1, listedUntil: NOW - 90_000}, V2]),
      known: known(['v2'], {lastListed: new Map([['v1', NOW - 9000]])}),
      written: history([{...V1, listedUntil: NOW - 9000}, V2]),
    },
    {
      name: 'leaves out a version that went long ago when it is written',
      recorded: history([{...V1, listedUntil: NOW - 700_000}]),
      known: known(['v2']),
      written: history([V2]),
    },
    {
      name: 'is not complete beside hosts that do not write it',
      recorded: history([V1]),
      known: known(['v1'], {completeSince: undefined}),
      written: {service: SERVICE, era: 0, versions: [V1]},
    },
    {
      name: 'is complete from what its writer knows when these have gone',
      recorded: {service: SERVICE, era: 0, versions: [V1]},
      known: known(['v1'], {completeSince: NOW - 5000}),
      written: history([V1], {completeSince: NOW - 5000}),
    },
    {
      name: 'of an earlier era is complete from what its writer knows',
      recorded: history([V1]),
      known: known(['v1'], {era: 1, completeSince: NOW - 5000}),
      written: history([V1], {era: 1, completeSince: NOW - 5000}),
    },
  ])('$name', ({recorded, known: state, written}) => {
    expect(reviseVersionHistory(recorded, state, NOW)).toEqual(written);
  });

  it.each([
    {name: 'itself', value: JSON.stringify(history([V1])), isRead: true},
    {
      name: 'one of a later build with more fields',
      value: JSON.stringify({...history([V1]), later: 1}),
      isRead: true,
    },
    {name: 'no JSON', value: '{', isRead: false},
    {name: 'another record', value: '{"service":1}', isRead: false},
  ])('is read from $name: $isRead', ({value, isRead}) => {
    expect(decodeVersionHistory(Buffer.from(value))).toEqual(
      isRead ? history([V1]) : undefined,
    );
  });
});

describe('a host that restores a history', () => {
  /** Clock of the host, which started at the time `NOW`. */
  const toClock = (time: number): number => time - NOW;

  it.each<{
    readonly name: string;
    readonly restored: VersionHistory;
    /** Versions that the host has seen listed since its start. */
    readonly listed: readonly string[];
    readonly after: number;
    /** Sorted; undefined if some version may be missing. */
    readonly versions: readonly string[] | undefined;
  }>([
    {
      name: 'knows the only version at once',
      restored: history([V1]),
      listed: ['v1'],
      after: 10,
      versions: ['v1'],
    },
    {
      name: 'knows a version that went while it did not run',
      restored: history([V1, V2]),
      listed: ['v1'],
      after: 10,
      versions: ['v1', 'v2'],
    },
    {
      name: 'forgets it after the lifetime of a stream',
      restored: history([V1, V2]),
      listed: ['v1'],
      after: LIFETIME + 10,
      versions: ['v1'],
    },
    {
      name: 'knows a version that went before for as long as a stream lives',
      restored: history([V1, {...V2, listedUntil: NOW - 20_000}]),
      listed: ['v1'],
      after: 10,
      versions: ['v1', 'v2'],
    },
    {
      name: 'does not count one that went longer ago',
      restored: history([V1, {...V2, listedUntil: NOW - 30_000}]),
      listed: ['v1'],
      after: 10,
      versions: ['v1'],
    },
    {
      name: 'knows nothing for certain if the history is not complete',
      restored: {service: SERVICE, era: 0, versions: [V1]},
      listed: ['v1'],
      after: 10,
      versions: undefined,
    },
    {
      name: 'knows nothing for certain if the history began lately',
      restored: history([V1], {completeSince: NOW - 9000}),
      listed: ['v1'],
      after: 10,
      versions: undefined,
    },
    {
      name: 'knows every version once it has read for a lifetime itself',
      restored: {service: SERVICE, era: 0, versions: [V1]},
      listed: ['v1'],
      after: LIFETIME + 10,
      versions: ['v1'],
    },
  ])('$name', ({restored, listed, after, versions}) => {
    const seen = new SoftwareVersions(false);
    const read = (now: number): void => {
      listed.forEach(softwareVersion =>
        seen.recordListing({service: SERVICE, softwareVersion}, now),
      );
      seen.recordRead('every-listing', now);
    };
    read(0);
    seen.restore(restored, toClock);
    read(after);
    const known = seen.seenWithin(SERVICE, LIFETIME, after);
    expect(known.isComplete ? [...known.versions].sort() : undefined).toEqual(
      versions,
    );
  });

  it('knows nothing for certain after a gap between its reads', () => {
    const seen = new SoftwareVersions(false);
    seen.recordListing({service: SERVICE, softwareVersion: 'v1'}, 0);
    seen.recordRead('listings-in-force', 0);
    seen.restore(history([V1]), toClock);
    expect(seen.seenWithin(SERVICE, LIFETIME, 1).isComplete).toBe(true);
    seen.recordRead('listings-in-force', 9000);
    expect(seen.gapCount).toBe(1);
    expect(seen.seenWithin(SERVICE, LIFETIME, 9000).isComplete).toBe(false);
    seen.restore(history([V1]), toClock);
    expect(seen.seenWithin(SERVICE, LIFETIME, 9000).isComplete).toBe(true);
  });
});

describe('the origins of streams in the store', () => {
  const ORIGIN = {
    attemptId: '9c41d07be2a35f68',
    service: SERVICE,
    softwareVersion: 'v1',
    lifetimeMilliseconds: LIFETIME,
  };

  it('are read as they were written', () => {
    const dated = [
      {origin: ORIGIN, until: NOW},
      {origin: {...ORIGIN, attemptId: 'a'}, until: NOW + 1},
      {origin: {...ORIGIN, attemptId: 'b', softwareVersion: 'v2'}, until: NOW},
    ];
    const value = encodeOrigins(dated);
    expect(decodeOrigins(value)).toEqual(dated);
    expect(value.length / dated.length).toBeLessThan(100);
  });

  it.each(['{', '[]', '{}', '[{"service":1}]'])('are none in %s', value => {
    expect(decodeOrigins(Buffer.from(value))).toEqual([]);
  });
});
