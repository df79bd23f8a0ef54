/** Tests of the dispatcher. */
import {describe, expect, it} from 'vitest';

import {
  type DispatchEffect,
  Dispatcher,
  PERMIT_LEASE_MILLISECONDS,
  type PermitAsk,
  shardsOf,
  type Upstream,
} from '../src/index.js';

function upstream(id: string, changes: Partial<Upstream> = {}): Upstream {
  return {
    id,
    service: 's',
    address: `${id}:1`,
    failureDomain: 'east',
    hostClass: 'reclaimable',
    pricePerHour: 1,
    isLeaving: false,
    ...changes,
  };
}

function ask(permitId: string, changes: Partial<PermitAsk> = {}): PermitAsk {
  return {
    permitId,
    front: 'front',
    service: 's',
    workspace: 'w',
    priority: 5,
    deadline: 100_000,
    maximumWait: 1000,
    prefixes: [],
    hostClasses: ['reclaimable', 'on-demand'],
    failureDomains: [],
    excluded: [],
    isAlone: false,
    ...changes,
  };
}

function dispatcherOf(
  upstreams: readonly Upstream[],
  concurrency: number,
): Dispatcher {
  const dispatcher = new Dispatcher();
  dispatcher.handle({kind: 'upstreams', upstreams, concurrency}, 0);
  return dispatcher;
}

function describeEffects(
  effects: readonly DispatchEffect[],
): readonly string[] {
  return effects.map(effect => {
    switch (effect.kind) {
      case 'grant':
        return `${effect.permitId} to ${effect.upstream.id}`;
      case 'refuse':
        return `${effect.permitId} refused: ${effect.error}`;
    }
  });
}

describe('the choice of an upstream', () => {
  const cheap = upstream('cheap');
  const dear = upstream('dear', {hostClass: 'on-demand', pricePerHour: 3});
  const west = upstream('west', {failureDomain: 'west'});
  it.each([
    {
      name: 'the cheaper one',
      upstreams: [dear, cheap],
      changes: {},
      to: 'cheap',
    },
    {
      name: 'one of the allowed class',
      upstreams: [dear, cheap],
      changes: {hostClasses: ['on-demand']},
      to: 'dear',
    },
    {
      name: 'one of the preferred failure domain',
      upstreams: [cheap, west],
      changes: {failureDomains: ['west', 'east']},
      to: 'west',
    },
    {
      name: 'one that was not tried',
      upstreams: [cheap, west],
      changes: {excluded: ['cheap']},
      to: 'west',
    },
    {
      name: 'one that does not leave',
      upstreams: [{...cheap, isLeaving: true}, west],
      changes: {},
      to: 'west',
    },
  ] as const)('takes $name', ({upstreams, changes, to}) => {
    const dispatcher = dispatcherOf(upstreams, 4);
    const effects = dispatcher.handle({kind: 'ask', ask: ask('p', changes)}, 0);
    expect(describeEffects(effects)).toEqual([`p to ${to}`]);
  });

  it('prefers the upstream that has the prefix', () => {
    const dispatcher = dispatcherOf([upstream('a'), upstream('b')], 8);
    const prefixes = ['x', 'y'];
    dispatcher.handle(
      {kind: 'ask', ask: ask('p0', {excluded: ['a'], prefixes})},
      0,
    );
    const effects = dispatcher.handle(
      {kind: 'ask', ask: ask('p1', {prefixes})},
      0,
    );
    expect(describeEffects(effects)).toEqual(['p1 to b']);
  });
});

describe('the queue', () => {
  it('never exceeds the places of an upstream', () => {
    const dispatcher = dispatcherOf([upstream('a')], 2);
    const effects = ['p0', 'p1', 'p2'].flatMap(id =>
      dispatcher.handle({kind: 'ask', ask: ask(id)}, 0),
    );
    expect(describeEffects(effects)).toEqual(['p0 to a', 'p1 to a']);
    const released = dispatcher.handle({kind: 'release', permitId: 'p0'}, 10);
    expect(describeEffects(released)).toEqual(['p2 to a']);
  });

  it('serves the higher priority first, and nobody starves', () => {
    const dispatcher = dispatcherOf([upstream('a')], 1);
    const handle = (id: string, priority: number, now: number) =>
      dispatcher.handle(
        {kind: 'ask', ask: ask(id, {priority, maximumWait: 60_000})},
        now,
      );
    handle('running', 5, 0);
    handle('low', 0, 0);
    handle('high', 9, 1);
    expect(
      describeEffects(
        dispatcher.handle({kind: 'release', permitId: 'running'}, 2),
      ),
    ).toEqual(['high to a']);
    // After 10 levels of aging the old ask of priority 0 is before a new 9.
    handle('late', 9, 5002);
    expect(
      describeEffects(
        dispatcher.handle({kind: 'release', permitId: 'high'}, 5003),
      ),
    ).toEqual(['low to a']);
  });

  it('serves the workspace with the fewest calls first', () => {
    const dispatcher = dispatcherOf([upstream('a')], 2);
    const handle = (id: string, workspace: string, now: number) =>
      dispatcher.handle({kind: 'ask', ask: ask(id, {workspace})}, now);
    handle('f0', 'flood', 0);
    handle('f1', 'flood', 0);
    handle('f2', 'flood', 0);
    handle('q0', 'quiet', 1);
    expect(
      describeEffects(dispatcher.handle({kind: 'release', permitId: 'f0'}, 2)),
    ).toEqual(['q0 to a']);
  });

  it.each([
    {
      name: 'no upstream is allowed',
      changes: {hostClasses: []},
      now: 0,
      error: 'no-upstream',
    },
    {
      name: 'the deadline has passed',
      changes: {deadline: 5},
      now: 5,
      error: 'deadline-passed',
    },
  ] as const)('refuses at once when $name', ({changes, now, error}) => {
    const dispatcher = dispatcherOf([upstream('a')], 1);
    const effects = dispatcher.handle(
      {kind: 'ask', ask: ask('p', changes)},
      now,
    );
    expect(describeEffects(effects)).toEqual([`p refused: ${error}`]);
  });

  it('refuses at once what it cannot start in time', () => {
    const dispatcher = dispatcherOf([upstream('a')], 1);
    dispatcher.handle({kind: 'ask', ask: ask('p0')}, 0);
    dispatcher.handle({kind: 'release', permitId: 'p0'}, 2000);
    dispatcher.handle({kind: 'ask', ask: ask('p1')}, 2000);
    dispatcher.handle({kind: 'ask', ask: ask('p2')}, 2000);
    const effects = dispatcher.handle({kind: 'ask', ask: ask('p3')}, 2000);
    expect(describeEffects(effects)).toEqual(['p3 refused: overloaded']);
  });

  it('refuses what waited too long', () => {
    const dispatcher = dispatcherOf([upstream('a')], 1);
    dispatcher.handle({kind: 'ask', ask: ask('p0')}, 0);
    dispatcher.handle({kind: 'ask', ask: ask('p1')}, 0);
    expect(dispatcher.handle({kind: 'tick'}, 999)).toEqual([]);
    expect(describeEffects(dispatcher.handle({kind: 'tick'}, 1000))).toEqual([
      'p1 refused: overloaded',
    ]);
  });

  it('gives a leaving upstream nothing, not even what waits', () => {
    const dispatcher = dispatcherOf([upstream('a')], 1);
    dispatcher.handle({kind: 'ask', ask: ask('p0')}, 0);
    dispatcher.handle({kind: 'ask', ask: ask('p1')}, 0);
    const left = dispatcher.handle({kind: 'leaving', upstreamId: 'a'}, 1);
    expect(describeEffects(left)).toEqual(['p1 refused: no-upstream']);
    // A list that lags does not bring it back.
    dispatcher.handle(
      {kind: 'upstreams', upstreams: [upstream('a')], concurrency: 1},
      2,
    );
    const effects = dispatcher.handle({kind: 'ask', ask: ask('p2')}, 3);
    expect(describeEffects(effects)).toEqual(['p2 refused: no-upstream']);
  });

  it('empties an upstream for a call that must run alone', () => {
    const dispatcher = dispatcherOf([upstream('a'), upstream('b')], 2);
    const handle = (id: string, changes: Partial<PermitAsk>) =>
      describeEffects(
        dispatcher.handle({kind: 'ask', ask: ask(id, changes)}, 0),
      );
    handle('a0', {excluded: ['b']});
    handle('b0', {excluded: ['a']});
    expect(handle('alone', {isAlone: true})).toEqual([]);
    expect(handle('other', {})).toEqual(['other to b']);
    expect(
      describeEffects(dispatcher.handle({kind: 'release', permitId: 'a0'}, 1)),
    ).toEqual(['alone to a']);
    expect(handle('second', {excluded: ['b']})).toEqual([]);
  });

  it('voids the permits of a front that renews nothing', () => {
    const dispatcher = dispatcherOf([upstream('a')], 1);
    dispatcher.handle({kind: 'ask', ask: ask('p0')}, 0);
    dispatcher.handle({kind: 'ask', ask: ask('p1', {maximumWait: 60_000})}, 1);
    const effects = dispatcher.handle(
      {kind: 'tick'},
      PERMIT_LEASE_MILLISECONDS,
    );
    expect(describeEffects(effects)).toEqual(['p1 to a']);
  });

  it('learns the permits of an earlier dispatcher', () => {
    const dispatcher = dispatcherOf([upstream('a')], 1);
    const held = {
      permitId: 'old',
      upstreamId: 'a',
      isAlone: false,
      workspace: 'w',
    };
    dispatcher.handle({kind: 'renew', front: 'f', permits: [held]}, 0);
    const effects = dispatcher.handle({kind: 'ask', ask: ask('p')}, 1);
    expect(effects).toEqual([]);
  });
});

describe('the shards of a service', () => {
  it.each([
    {count: 1, shards: 1},
    {count: 32, shards: 1},
    {count: 33, shards: 4},
    {count: 400, shards: 32},
  ])(
    'of $count upstreams are $shards, of one domain each',
    ({count, shards}) => {
      const domains = ['north', 'east', 'south', 'west'];
      const upstreams = Array.from({length: count}, (_, index) =>
        upstream(`u${index}`, {failureDomain: domains[index % 4] ?? ''}),
      );
      const found = shardsOf('s', upstreams);
      expect(found.length).toBe(shards);
      const members = found.flatMap(shard => shard.upstreams);
      expect(new Set(members.map(({id}) => id)).size).toBe(count);
      expect(found.every(shard => shard.upstreams.length <= 32)).toBe(true);
    },
  );
});
