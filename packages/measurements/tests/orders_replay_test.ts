/**
 * Replays loads and troubles on ordered engines, in virtual time: what the rule
 * by load costs, and whom it serves, against the rule before.
 */
import {describe, expect, it} from 'vitest';

import {OrdersModel, type OrdersResult} from '../src/orders_model.js';
import {ORDERS_PATTERNS} from '../src/orders_patterns.js';

const SEED = 1;

/** Share of the requests that the rule by load may serve less than before. */
const LARGEST_LOSS = 0.01;

/** Orders a second that a holder may place on average. */
const MOST_CALLS_PER_SECOND = 2;

function resultOf(name: string, kind: 'by-load' | 'usual'): OrdersResult {
  const pattern = ORDERS_PATTERNS.find(found => found.name === name);
  if (pattern === undefined) {
    throw new Error(`no pattern is named ${name}`);
  }
  return new OrdersModel(pattern, {kind}, SEED).result();
}

describe('engines that are ordered by load', () => {
  it.each(ORDERS_PATTERNS)(
    'serve as many requests as twice the usual number: $name',
    ({name}) => {
      const before = resultOf(name, 'usual');
      const byLoad = resultOf(name, 'by-load');
      expect(byLoad.requests).toBe(before.requests);
      expect(byLoad.onTime / byLoad.requests).toBeGreaterThan(
        before.onTime / before.requests - LARGEST_LOSS,
      );
    },
    60_000,
  );

  it.each(ORDERS_PATTERNS)('do not swing: $name', ({name}) => {
    const {calls, plans} = resultOf(name, 'by-load');
    expect(calls).toBeLessThan(MOST_CALLS_PER_SECOND * 80);
    // A fall of 4% a second, in rounds of 0.9 s or less.
    const falls = plans.slice(1).map((plan, index) => plan / plans[index]!);
    expect(Math.min(...falls)).toBeGreaterThanOrEqual(0.96);
  });

  it.each([
    {name: 'calm at 30%', share: 0.9},
    {name: 'calm at 60%', share: 1},
  ])('cost less than before: $name', ({name, share}) => {
    const before = resultOf(name, 'usual');
    const byLoad = resultOf(name, 'by-load');
    expect(byLoad.cost).toBeLessThan(before.cost * share);
  });

  it('are ordered the same way by the next holder', () => {
    const kept = resultOf(
      'two domains reclaimed, nothing else to be had',
      'by-load',
    );
    const passedOn = resultOf('holder killed during a reclaim', 'by-load');
    expect(passedOn.onTime / passedOn.requests).toBeGreaterThan(
      kept.onTime / kept.requests - LARGEST_LOSS,
    );
    expect(passedOn.plans.at(-1)! / kept.plans.at(-1)!).toBeGreaterThan(0.7);
    expect(passedOn.plans.at(-1)! / kept.plans.at(-1)!).toBeLessThan(1.4);
  });
});
