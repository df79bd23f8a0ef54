/** Tests of requests and waits that cannot be served as they are stated. */
import {describe, expect, it} from 'vitest';

import {
  admitRoutedCall,
  buildRoutingConfiguration,
  ERROR_KINDS,
  errorRow,
  type RoutedCallFacts,
  type RoutingRule,
  ServingError,
} from '../src/index.js';

const RULE: RoutingRule = {
  name: 'rule',
  host: 'host.example',
  pathPrefix: '/a/',
  execution: 'at-most-once',
  isStreamed: false,
  timeoutMilliseconds: 2000,
  eventGapMilliseconds: undefined,
  objectiveMilliseconds: 200,
  priority: 1,
  maximumAttempts: 2,
  isPublic: true,
  targets: [{service: 'known', weight: 1}],
};

const FACTS: RoutedCallFacts = {
  attemptId: 'a',
  host: 'host.example',
  path: '/a/x',
  workspaceKey: undefined,
  deadlineMilliseconds: 1000,
  bodyBytes: 0,
};

function admit(
  facts: Partial<RoutedCallFacts>,
  rule: Partial<RoutingRule>,
): ReturnType<typeof admitRoutedCall> {
  const value = buildRoutingConfiguration({
    version: 1,
    rules: [{...RULE, ...rule}],
    services: [
      {
        name: 'known',
        connectionLimit: 10,
        engine: undefined,
        scaling: undefined,
      },
    ],
    workspaces: [],
    limits: {
      headerBytes: 1000,
      bodyBytes: 1000,
      headerTimeoutMilliseconds: 1000,
      idleTimeoutMilliseconds: 1000,
    },
  });
  return admitRoutedCall(
    {...FACTS, ...facts},
    {value, confirmedAt: 0},
    1000,
    0,
  );
}

describe('a request', () => {
  it.each<{
    readonly name: string;
    readonly facts: Partial<RoutedCallFacts>;
    readonly rule: Partial<RoutingRule>;
    readonly expected: object;
  }>([
    {
      name: 'with a deadline of 0 is refused as not run',
      facts: {deadlineMilliseconds: 0},
      rule: {},
      expected: {kind: 'refused', error: 'deadline-passed'},
    },
    {
      name: 'of a rule that names an unknown service is refused as not run',
      facts: {},
      rule: {targets: [{service: 'unknown', weight: 1}]},
      expected: {kind: 'refused', error: 'no-upstream'},
    },
    {
      name: 'of a rule that also names an unknown service goes to the known one',
      facts: {},
      rule: {
        targets: [
          {service: 'unknown', weight: 9},
          {service: 'known', weight: 1},
        ],
      },
      expected: {kind: 'admitted', admission: {service: {name: 'known'}}},
    },
    {
      name: 'of a rule with a timeout longer than a timer can be gets a day',
      facts: {deadlineMilliseconds: undefined},
      rule: {timeoutMilliseconds: 1e12},
      expected: {kind: 'admitted', admission: {budgetMilliseconds: 86_400_000}},
    },
    {
      name: 'with an absurd deadline gets the timeout of its rule',
      facts: {deadlineMilliseconds: 1e300},
      rule: {},
      expected: {kind: 'admitted', admission: {budgetMilliseconds: 2000}},
    },
  ])('$name', ({facts, rule, expected}) => {
    expect(admit(facts, rule)).toMatchObject(expected);
  });

  it('refused for its deadline is not said to have run', () => {
    expect(errorRow('deadline-passed').ran).toBe('no');
  });
});

describe('the wait that a refusal states', () => {
  it.each([
    {given: 0.25, stated: 0.25},
    {given: 1e300, stated: 3600},
    {given: Infinity, stated: 3600},
    {given: -5, stated: 0},
    {given: Number.NaN, stated: 2},
  ])('is bounded: $given becomes $stated', ({given, stated}) => {
    const error = new ServingError('overloaded', {retryAfterSeconds: given});
    expect(error.retryAfterSeconds).toBe(stated);
  });

  it.each(ERROR_KINDS)('of %s is within the bounds by default', kind => {
    expect(errorRow(kind).retryAfterSeconds ?? 0).toBeLessThanOrEqual(3600);
  });
});
