/** Replays of overload, each against the rules that came before. */
import {describe, expect, it} from 'vitest';

import {type AdmissionRow, admissionRow} from '../src/measure_admission.js';
import type {AdmissionPolicy} from '../src/overload_admission.js';
import {OverloadModel} from '../src/overload_model.js';
import {
  OVERLOAD_PATTERNS,
  type OverloadPattern,
  steadyPattern,
  URGENT_LARGE_KINDS,
  URGENT_SMALL_KINDS,
} from '../src/overload_patterns.js';

const SEEDS = 4;

const SEEDS_OF_SHARES: readonly number[] = [1, 2, 3, 4];

const EVERY_KIND_BURSTS = patternNamed('every kind bursts to 2.5');

const ONE_BURSTS: OverloadPattern = {
  ...patternNamed('one workspace sends 7 times its usual'),
  factorOf: ({rank}) => (rank === 2 ? 3 : 0.5),
};

/** The workspaces of `ONE_BURSTS` that send what they usually do. */
const OTHER_WORKSPACES = [1, 2, 3, 4, 5, 6, 7].map(
  index => `workspace-${index}`,
);

function patternNamed(name: string): OverloadPattern {
  const pattern = OVERLOAD_PATTERNS.find(other => other.name === name);
  if (pattern === undefined) {
    throw new Error(`no pattern is named ${name}`);
  }
  return pattern;
}

/** Rows by policy and pattern; each takes up to a second to replay. */
const rows = new Map<AdmissionPolicy, Map<OverloadPattern, AdmissionRow>>();

function rowOf(
  pattern: OverloadPattern,
  policy: AdmissionPolicy = 'by-rank',
): AdmissionRow {
  const ofPolicy = rows.get(policy) ?? new Map<OverloadPattern, AdmissionRow>();
  const row = ofPolicy.get(pattern) ?? admissionRow(pattern, policy, SEEDS);
  rows.set(policy, ofPolicy.set(pattern, row));
  return row;
}

describe.each([
  {name: 'large urgent requests', kinds: URGENT_LARGE_KINDS},
  {name: 'small urgent requests', kinds: URGENT_SMALL_KINDS},
])('twice the load that engines read, with $name', ({kinds}) => {
  const usual = rowOf(steadyPattern(1, kinds));
  const doubled = rowOf(steadyPattern(2, kinds));

  it('leaves the urgent ones served as often as at the usual load', () => {
    const share = (row: AdmissionRow): number =>
      row.kinds['urgent']?.onTime ?? 0;
    expect(share(doubled)).toBeGreaterThanOrEqual(share(usual) - 0.02);
  });

  it('leaves the goodput as at the usual load', () => {
    expect(doubled.goodput).toBeGreaterThanOrEqual(usual.goodput * 0.97);
  });

  it.each([
    {percent: 120, load: 1.2},
    {percent: 150, load: 1.5},
  ])('leaves the goodput as at the usual load at $percent%', ({load}) => {
    const {goodput} = rowOf(steadyPattern(load, kinds));
    expect(goodput).toBeGreaterThanOrEqual(usual.goodput * 0.97);
  });

  it('starves no kind', () => {
    for (const {onTime, late} of Object.values(doubled.kinds)) {
      expect(onTime + late).toBeGreaterThan(0.1);
    }
  });
});

describe('refused clients', () => {
  it.each([
    ...OVERLOAD_PATTERNS,
    steadyPattern(1.2, URGENT_LARGE_KINDS),
    steadyPattern(2, URGENT_SMALL_KINDS),
  ])('that return to a promised place are served when $name', pattern => {
    const {givenPlace, servedAtPlace} = rowOf(pattern);
    expect(givenPlace > 0).toBe(pattern.clients === 'patient');
    if (givenPlace > 0) {
      expect(servedAtPlace).toBeGreaterThanOrEqual(0.9);
    }
  });

  const patternWith = (clients: OverloadPattern['clients']): OverloadPattern =>
    clients === 'patient'
      ? EVERY_KIND_BURSTS
      : patternNamed('clients retry at once and often');

  it('gain nothing by returning at once and often', () => {
    const served = (clients: OverloadPattern['clients']): number => {
      const {kinds} = rowOf(patternWith(clients));
      return Object.values(kinds).reduce(
        (sum, {onTime, late}) => sum + onTime + late,
        0,
      );
    };
    expect(served('abusive')).toBeLessThanOrEqual(served('patient'));
  });
});

describe('a workspace that sends seven times its usual in an overloaded rank', () => {
  const othersOf = (policy: AdmissionPolicy): number => {
    const shares = SEEDS_OF_SHARES.map(seed => {
      const model = new OverloadModel({policy, pattern: ONE_BURSTS, seed});
      model.result();
      const {byWorkspace} = model;
      const others = OTHER_WORKSPACES.map(name =>
        byWorkspace.onTimeShare(name),
      );
      return others.reduce((sum, share) => sum + share, 0) / others.length;
    });
    return shares.reduce((sum, share) => sum + share, 0) / shares.length;
  };

  it('is refused before the others', () => {
    expect(othersOf('by-rank')).toBeGreaterThan(0.95);
    expect(othersOf('by-rank')).toBeGreaterThan(othersOf('by-objective'));
  });
});

describe('ranked admission', () => {
  it.each(OVERLOAD_PATTERNS)('serves more on time when $name', pattern => {
    const {goodput, kinds} = rowOf(pattern);
    const before = rowOf(pattern, 'by-objective');
    expect(goodput).toBeGreaterThan(before.goodput);
    expect(kinds['urgent']?.onTime).toBeGreaterThanOrEqual(
      before.kinds['urgent']?.onTime ?? 0,
    );
  });

  it.each(OVERLOAD_PATTERNS)(
    'refuses the least urgent first when $name',
    pattern => {
      const {urgent, middle, least} = rowOf(pattern).kinds;
      const slack = 0.05;
      expect(urgent?.onTime).toBeGreaterThan((middle?.onTime ?? 0) - slack);
      expect(middle?.onTime).toBeGreaterThan((least?.onTime ?? 0) - slack);
    },
  );
});
