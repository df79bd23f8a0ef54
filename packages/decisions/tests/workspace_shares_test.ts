/** Tests of the fair shares of workspaces. */
import {describe, expect, it} from 'vitest';

import {shareWeightField, WorkspaceShares} from '../src/index.js';

interface Workspace {
  readonly offered: number;
  readonly admitted: number;
  readonly weight?: number;
}

/** Returns what each workspace gets of its share after ten steady seconds. */
function usedShares(
  capacity: number,
  workspaces: Readonly<Record<string, Workspace>>,
): Readonly<Record<string, number>> {
  const shares = new WorkspaceShares();
  const entries = Object.entries(workspaces);
  for (let now = 0; now < 10_000; now += 10) {
    for (const [name, {offered, admitted, weight}] of entries) {
      shares.recordOffered(name, weight, offered * 10, now);
      shares.recordAdmitted(name, admitted * 10, now);
    }
  }
  return Object.fromEntries(
    entries.map(([name]) => [name, shares.usedShareOf(name, capacity, 10_000)]),
  );
}

describe('a workspace', () => {
  it.each<{
    readonly name: string;
    readonly capacity: number;
    readonly workspaces: Readonly<Record<string, Workspace>>;
    readonly used: Readonly<Record<string, number>>;
  }>([
    {
      name: 'uses no share while all that is offered fits',
      capacity: 100,
      workspaces: {
        a: {offered: 70, admitted: 70},
        b: {offered: 20, admitted: 20},
      },
      used: {a: 0, b: 0},
    },
    {
      name: 'that bursts uses more than what the others leave',
      capacity: 100,
      workspaces: {
        a: {offered: 140, admitted: 90},
        b: {offered: 20, admitted: 10},
        c: {offered: 20, admitted: 10},
      },
      used: {a: 1.5, b: 0.17, c: 0.17},
    },
    {
      name: 'is not charged for what was refused',
      capacity: 100,
      workspaces: {
        a: {offered: 500, admitted: 50},
        b: {offered: 100, admitted: 50},
      },
      used: {a: 1, b: 1},
    },
    {
      name: 'has a share in proportion to its weight',
      capacity: 100,
      workspaces: {
        a: {offered: 100, admitted: 50, weight: 3000},
        b: {offered: 100, admitted: 50, weight: 1000},
      },
      used: {a: 0.67, b: 2},
    },
    {
      name: 'without a weight has the mean one',
      capacity: 100,
      workspaces: {
        a: {offered: 100, admitted: 50, weight: 3000},
        b: {offered: 100, admitted: 50, weight: 1000},
        c: {offered: 100, admitted: 33},
      },
      used: {a: 1, b: 3, c: 1},
    },
  ])('$name', ({capacity, workspaces, used}) => {
    const shares = usedShares(capacity, workspaces);
    for (const [name, expected] of Object.entries(used)) {
      expect(shares[name]).toBeCloseTo(expected, 1);
    }
  });
});

describe('the weight of a workspace', () => {
  const quota = {burst: 0, defaultTokens: 200};

  it.each([
    {
      name: 'is the rate of its quota',
      quota: {...quota, unit: 'tokens' as const, perSecond: 5000},
      field: {workspaceWeight: 5000},
    },
    {
      name: 'is unknown for a quota of requests',
      quota: {...quota, unit: 'requests' as const, perSecond: 5000},
      field: {},
    },
    {
      name: 'is unknown without a limit',
      quota: {...quota, unit: 'tokens' as const, perSecond: 0},
      field: {},
    },
    {name: 'is unknown without a quota', quota: undefined, field: {}},
  ])('$name', ({quota: stated, field}) => {
    expect(shareWeightField(stated)).toEqual(field);
  });
});
