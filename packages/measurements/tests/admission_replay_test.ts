/** Replays of overload, each against the rules that came before. */
import {describe, expect, it} from 'vitest';

import {type AdmissionRow, admissionRow} from '../src/measure_admission.js';
import type {AdmissionPolicy} from '../src/overload_model.js';
import {
  OVERLOAD_PATTERNS,
  type OverloadPattern,
  steadyPattern,
  URGENT_LARGE_KINDS,
  URGENT_SMALL_KINDS,
} from '../src/overload_patterns.js';

const SEEDS = 4;

function rowOf(
  pattern: OverloadPattern,
  policy: AdmissionPolicy = 'by-rank',
): AdmissionRow {
  return admissionRow(pattern, policy, SEEDS);
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

  it('starves no kind', () => {
    for (const {onTime, late} of Object.values(doubled.kinds)) {
      expect(onTime + late).toBeGreaterThan(0.1);
    }
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
