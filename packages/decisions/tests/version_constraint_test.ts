/**
 * Tests of the software versions at which a request may run.
 */
import {describe, expect, it} from 'vitest';

import {satisfiesVersion, type VersionConstraint} from '../src/index.js';

interface Case {
  readonly name: string;
  readonly constraint: VersionConstraint | undefined;
  readonly allowed: readonly string[];
}

const VERSIONS = ['v1', 'v2', ''];

const CASES: readonly Case[] = [
  {name: 'no constraint', constraint: undefined, allowed: VERSIONS},
  {
    name: 'a stream that has begun',
    constraint: {kind: 'only', softwareVersion: 'v1'},
    allowed: ['v1'],
  },
  {
    name: 'a stream that an upstream without a version began',
    constraint: {kind: 'only', softwareVersion: ''},
    allowed: [''],
  },
  {
    name: 'a request outside a roll-out',
    constraint: {kind: 'except', softwareVersion: 'v2'},
    allowed: ['v1', ''],
  },
];

describe('the software versions that a request may run at', () => {
  it.each(CASES)('$name', ({constraint, allowed}) => {
    expect(
      VERSIONS.filter(softwareVersion =>
        satisfiesVersion({softwareVersion}, constraint),
      ),
    ).toEqual(allowed);
  });
});
