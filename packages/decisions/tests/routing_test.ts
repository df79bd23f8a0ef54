/** Tests of the admission of routed requests. */
import {describe, expect, it} from 'vitest';

import {
  admitRoutedCall,
  buildRoutingConfiguration,
  type ConfirmedValue,
  type RoutedCallFacts,
  type RoutingConfiguration,
  type RoutingRule,
} from '../src/index.js';

const MAXIMUM_AGE = 4500;
const NOW = 100_000;

function rule(name: string, overrides: Partial<RoutingRule>): RoutingRule {
  return {
    name,
    host: 'host.example',
    pathPrefix: '/a/',
    execution: 'repeatable',
    isStreamed: false,
    targets: [{service: 'first', weight: 1}],
    timeoutMilliseconds: 5000,
    eventGapMilliseconds: undefined,
    objectiveMilliseconds: 500,
    maximumAttempts: 2,
    priority: 3,
    isPublic: false,
    ...overrides,
  };
}

function service(
  name: string,
): RoutingConfiguration['services'] extends ReadonlyMap<string, infer Service>
  ? Service
  : never {
  return {name, connectionLimit: 10, engine: undefined, scaling: undefined};
}

const CONFIGURATION = buildRoutingConfiguration({
  version: 7,
  rules: [
    rule('short', {}),
    rule('long', {pathPrefix: '/a/b/'}),
    rule('open', {pathPrefix: '/open/', isPublic: true}),
    rule('nowhere', {pathPrefix: '/nowhere/', targets: []}),
    rule('other-host', {host: 'other.example', pathPrefix: '/x/'}),
  ],
  services: [service('first'), service('second')],
  workspaces: [
    {name: 'large', keys: ['key-1', 'key-2'], priority: 1, quota: undefined},
    {name: 'small', keys: ['key-3'], priority: undefined, quota: undefined},
  ],
  limits: {
    headerBytes: 100,
    bodyBytes: 1000,
    headerTimeoutMilliseconds: 3000,
    idleTimeoutMilliseconds: 15_000,
  },
});

function confirmedConfiguration(
  age: number,
): ConfirmedValue<RoutingConfiguration> {
  return {value: CONFIGURATION, confirmedAt: NOW - age};
}

function facts(overrides: Partial<RoutedCallFacts>): RoutedCallFacts {
  return {
    attemptId: 'attempt',
    host: 'host.example',
    path: '/a/b/c',
    workspaceKey: 'key-1',
    deadlineMilliseconds: 2000,
    bodyBytes: 10,
    ...overrides,
  };
}

describe('a routed request', () => {
  it.each<{
    readonly name: string;
    readonly call: Partial<RoutedCallFacts>;
    readonly age: number;
    readonly outcome: string;
  }>([
    {
      name: 'matches the rule with the longer prefix',
      call: {},
      age: 0,
      outcome: 'long',
    },
    {
      name: 'matches the rule with the shorter prefix if the longer one differs',
      call: {path: '/a/c'},
      age: 0,
      outcome: 'short',
    },
    {
      name: 'does not match a rule of another host',
      call: {path: '/x/1'},
      age: 0,
      outcome: 'path-unknown',
    },
    {
      name: 'does not match a prefix without its final slash',
      call: {path: '/ab'},
      age: 0,
      outcome: 'path-unknown',
    },
    {
      name: 'is rejected without a key',
      call: {workspaceKey: undefined},
      age: 0,
      outcome: 'workspace-key-rejected',
    },
    {
      name: 'is rejected with an unknown key',
      call: {workspaceKey: 'key-9'},
      age: 0,
      outcome: 'workspace-key-rejected',
    },
    {
      name: 'needs no key on a public rule',
      call: {path: '/open/1', workspaceKey: undefined},
      age: 0,
      outcome: 'open',
    },
    {
      name: 'is served while the keys are recent enough',
      call: {},
      age: MAXIMUM_AGE,
      outcome: 'long',
    },
    {
      name: 'is refused, not rejected, when the keys are too old',
      call: {workspaceKey: 'key-9'},
      age: MAXIMUM_AGE + 1,
      outcome: 'not-ready',
    },
    {
      name: 'is served by a public rule however old the keys are',
      call: {path: '/open/1'},
      age: 60_000,
      outcome: 'open',
    },
    {
      name: 'gets no 404 from a configuration that is too old',
      call: {path: '/new/1'},
      age: MAXIMUM_AGE + 1,
      outcome: 'not-ready',
    },
    {
      name: 'is refused if its body is too large',
      call: {bodyBytes: 1001},
      age: 0,
      outcome: 'request-too-large',
    },
    {
      name: 'is refused if the rule names no known service',
      call: {path: '/nowhere/1'},
      age: 0,
      outcome: 'no-upstream',
    },
  ])('$name', ({call, age, outcome}) => {
    const verdict = admitRoutedCall(
      facts(call),
      confirmedConfiguration(age),
      MAXIMUM_AGE,
      NOW,
    );
    expect(
      verdict.kind === 'refused' ? verdict.error : verdict.admission.rule.name,
    ).toBe(outcome);
  });

  it('is refused while no configuration is known', () => {
    expect(
      admitRoutedCall(facts({}), undefined, MAXIMUM_AGE, NOW),
    ).toMatchObject({kind: 'refused', error: 'not-ready'});
  });

  it.each([
    {key: 'key-2', deadline: 2000, priority: 1, budget: 2000},
    {key: 'key-3', deadline: 9000, priority: 3, budget: 5000},
    {key: 'key-3', deadline: undefined, priority: 3, budget: 5000},
  ])(
    'with $key and a deadline of $deadline ms has priority $priority and a budget of $budget ms',
    ({key, deadline, priority, budget}) => {
      const verdict = admitRoutedCall(
        facts({workspaceKey: key, deadlineMilliseconds: deadline}),
        confirmedConfiguration(0),
        MAXIMUM_AGE,
        NOW,
      );
      expect(verdict).toMatchObject({
        kind: 'admitted',
        admission: {priority, budgetMilliseconds: budget},
      });
    },
  );

  it('is routed to the targets in proportion to their weights', () => {
    const splitConfiguration = buildRoutingConfiguration({
      ...CONFIGURATION,
      rules: [
        rule('split', {
          targets: [
            {service: 'first', weight: 90},
            {service: 'second', weight: 10},
            {service: 'unknown', weight: 50},
          ],
        }),
      ],
      services: [...CONFIGURATION.services.values()],
    });
    const counts = new Map<string, number>();
    for (let index = 0; index < 5000; index += 1) {
      const verdict = admitRoutedCall(
        facts({attemptId: `attempt-${index}`}),
        {value: splitConfiguration, confirmedAt: NOW},
        MAXIMUM_AGE,
        NOW,
      );
      const serviceName =
        verdict.kind === 'admitted' ? verdict.admission.service.name : '';
      counts.set(serviceName, (counts.get(serviceName) ?? 0) + 1);
    }
    expect([...counts.keys()].sort()).toEqual(['first', 'second']);
    expect((counts.get('second') ?? 0) / 5000).toBeCloseTo(0.1, 1);
  });
});
