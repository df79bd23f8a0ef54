/** Tests of the configuration fold and the rule list. */
import {describe, expect, it} from 'vitest';

import {
  checkRules,
  type Configuration,
  configurationOf,
  EMPTY_CONFIGURATION,
  foldAfterLoss,
  foldConfiguration,
  type LogRecord,
  matchRule,
  type Rule,
  type RuleFacts,
  snapshotOf,
} from '../src/index.js';

function publish(
  offset: number,
  name: string,
  basedOn: number,
  object: unknown = {kind: 'service', name, upstreamKind: 'plain'},
): LogRecord {
  return {
    offset,
    time: offset,
    data: {
      type: 'publish',
      publishId: `p${offset}`,
      operator: 'o',
      key: `service/${name}`,
      object,
      basedOn,
    },
  };
}

function foldAll(records: readonly LogRecord[]): Configuration {
  return records.reduce(foldConfiguration, EMPTY_CONFIGURATION);
}

describe('the configuration fold', () => {
  const cases = [
    {
      name: 'a new object',
      records: [publish(0, 'a', -1)],
      version: 0,
      outcomes: ['accepted'],
    },
    {
      name: 'two operators on the same version',
      records: [publish(0, 'a', -1), publish(1, 'a', 0), publish(2, 'a', 0)],
      version: 1,
      outcomes: ['accepted', 'accepted', 'conflict'],
    },
    {
      name: 'two operators on different objects',
      records: [publish(0, 'a', -1), publish(1, 'b', -1)],
      version: 1,
      outcomes: ['accepted', 'accepted'],
    },
    {
      name: 'an invalid object',
      records: [publish(0, 'a', -1, {kind: 'service', name: 'a'})],
      version: -1,
      outcomes: ['invalid'],
    },
    {
      name: 'an object under the key of another',
      records: [
        publish(0, 'a', -1, {
          kind: 'service',
          name: 'b',
          upstreamKind: 'plain',
        }),
      ],
      version: -1,
      outcomes: ['invalid'],
    },
    {
      name: 'a duplicate record after a removal',
      records: [
        publish(0, 'a', -1),
        publish(1, 'a', 0, null),
        publish(2, 'a', -1),
      ],
      version: 1,
      outcomes: ['accepted', 'accepted', 'conflict'],
    },
  ];

  it.each(cases)('decides $name', ({records, version, outcomes}) => {
    const state = foldAll(records);
    expect(state.version).toBe(version);
    expect([...state.outcomes.values()].map(({kind}) => kind)).toEqual(
      outcomes,
    );
  });

  it('ignores a record that was already folded', () => {
    const once = foldAll([publish(0, 'a', -1)]);
    expect(foldConfiguration(once, publish(0, 'b', -1))).toBe(once);
  });

  const history = [
    publish(0, 'a', -1),
    publish(1, 'b', -1),
    publish(2, 'a', 0, null),
    publish(3, 'b', 1),
  ];

  it('continues from a snapshot as if every record had been read', () => {
    const earlyState = foldAll(history.slice(0, 2));
    const snapshot = {offset: 4, time: 4, data: snapshotOf(earlyState)};
    const laterRecords = [publish(5, 'b', 3), publish(6, 'a', -1)];
    const complete = foldAll([...history, snapshot, ...laterRecords]);
    const recovered = foldAfterLoss(
      [...history.slice(2), snapshot, ...laterRecords],
      2,
    );
    expect(recovered?.objects).toEqual(complete.objects);
    expect(recovered?.readTo).toBe(complete.readTo);
    expect(recovered?.version).toBe(complete.version);
  });

  it('does not recover from a loss that no snapshot covers', () => {
    const staleSnapshot = snapshotOf(foldAll(history.slice(0, 1)));
    const records = [
      ...history.slice(3),
      {offset: 4, time: 4, data: staleSnapshot},
    ];
    expect(foldAfterLoss(records, 3)).toBeUndefined();
  });

  it('restores all objects from a snapshot', () => {
    const state = foldAll(history);
    const restored = configurationOf(snapshotOf(state));
    expect(restored?.objects).toEqual(state.objects);
  });
});

const SEND = {
  kind: 'send',
  hostClasses: ['reclaimable'],
  failureDomains: [],
  maximumAttempts: 1,
  holdAlone: false,
} as const;

function rule(name: string, when: Rule['when']): Rule {
  return {name, when, then: SEND};
}

const FACTS: RuleFacts = {
  workspace: 'w',
  service: 's',
  callKind: 'plain',
  bytes: 100,
  priority: 5,
  timeLeft: 1000,
  load: 0.5,
  reclaimWave: false,
};

describe('the rule list', () => {
  it.each([
    {name: 'no condition', when: {}, isMatch: true},
    {name: 'the workspace', when: {workspaces: ['w', 'x']}, isMatch: true},
    {name: 'another workspace', when: {workspaces: ['x']}, isMatch: false},
    {name: 'another service', when: {services: ['x']}, isMatch: false},
    {name: 'the call kind', when: {callKinds: ['plain']}, isMatch: true},
    {
      name: 'a maximum below the size',
      when: {maximumBytes: 99},
      isMatch: false,
    },
    {
      name: 'a minimum equal to the size',
      when: {minimumBytes: 100},
      isMatch: true,
    },
    {
      name: 'a minimum above the priority',
      when: {minimumPriority: 6},
      isMatch: false,
    },
    {
      name: 'a maximum below the time left',
      when: {maximumTimeLeft: 999},
      isMatch: false,
    },
    {
      name: 'a minimum above the load',
      when: {minimumLoad: 0.6},
      isMatch: false,
    },
    {name: 'a reclaim wave', when: {reclaimWave: true}, isMatch: false},
    {name: 'no reclaim wave', when: {reclaimWave: false}, isMatch: true},
  ] as const)('decides whether a rule matches: $name', ({when, isMatch}) => {
    const matched = matchRule([rule('only', when)], FACTS);
    expect(matched?.name).toBe(isMatch ? 'only' : undefined);
  });

  it('decides by the first rule that matches', () => {
    const rules = [
      rule('no', {services: ['x']}),
      rule('first', {services: ['s']}),
      rule('second', {}),
    ];
    expect(matchRule(rules, FACTS)?.name).toBe('first');
  });

  it.each([
    {
      name: 'a rule below one that matches everything',
      rules: [rule('all', {}), rule('below', {services: ['s']})],
      warnings: [{kind: 'covered', rule: 'below', by: 'all'}],
    },
    {
      name: 'a rule above one that matches everything',
      rules: [rule('above', {services: ['s']}), rule('all', {})],
      warnings: [],
    },
    {
      name: 'a minimum above its maximum',
      rules: [rule('never', {minimumBytes: 2, maximumBytes: 1})],
      warnings: [{kind: 'contradictory', rule: 'never'}],
    },
    {
      name: 'a duplicate name',
      rules: [rule('a', {services: ['s']}), rule('a', {services: ['t']})],
      warnings: [{kind: 'doubled-name', rule: 'a'}],
    },
    {
      name: 'a narrower range below a wider one',
      rules: [
        rule('wide', {maximumBytes: 10}),
        rule('narrow', {minimumBytes: 2, maximumBytes: 5}),
      ],
      warnings: [{kind: 'covered', rule: 'narrow', by: 'wide'}],
    },
  ] as const)('gives the expected warnings for $name', ({rules, warnings}) => {
    expect(checkRules(rules)).toEqual(warnings);
  });
});
