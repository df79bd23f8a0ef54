/** Tests of the dispatcher. */
import {describe, expect, it} from 'vitest';

import {
  type DispatchEffect,
  Dispatcher,
  PERMIT_LEASE_MILLISECONDS,
  type PermitRequest,
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

function permitRequest(
  permitId: string,
  changes: Partial<PermitRequest> = {},
): PermitRequest {
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
  const expensive = upstream('expensive', {
    hostClass: 'on-demand',
    pricePerHour: 3,
  });
  const west = upstream('west', {failureDomain: 'west'});
  it.each([
    {
      name: 'the cheaper one',
      upstreams: [expensive, cheap],
      changes: {},
      to: 'cheap',
    },
    {
      name: 'one of the allowed host class',
      upstreams: [expensive, cheap],
      changes: {hostClasses: ['on-demand']},
      to: 'expensive',
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
      name: 'one that is not leaving',
      upstreams: [{...cheap, isLeaving: true}, west],
      changes: {},
      to: 'west',
    },
  ] as const)('takes $name', ({upstreams, changes, to}) => {
    const dispatcher = dispatcherOf(upstreams, 4);
    const effects = dispatcher.handle(
      {kind: 'request', request: permitRequest('p', changes)},
      0,
    );
    expect(describeEffects(effects)).toEqual([`p to ${to}`]);
  });

  it('prefers the upstream that has the prefix in its cache', () => {
    const dispatcher = dispatcherOf([upstream('a'), upstream('b')], 8);
    const prefixes = ['x', 'y'];
    dispatcher.handle(
      {
        kind: 'request',
        request: permitRequest('p0', {excluded: ['a'], prefixes}),
      },
      0,
    );
    const effects = dispatcher.handle(
      {kind: 'request', request: permitRequest('p1', {prefixes})},
      0,
    );
    expect(describeEffects(effects)).toEqual(['p1 to b']);
  });
});

describe('the queue', () => {
  it('never exceeds the slots of an upstream', () => {
    const dispatcher = dispatcherOf([upstream('a')], 2);
    const effects = ['p0', 'p1', 'p2'].flatMap(id =>
      dispatcher.handle({kind: 'request', request: permitRequest(id)}, 0),
    );
    expect(describeEffects(effects)).toEqual(['p0 to a', 'p1 to a']);
    const released = dispatcher.handle({kind: 'release', permitId: 'p0'}, 10);
    expect(describeEffects(released)).toEqual(['p2 to a']);
  });

  it('serves higher priorities first without starving lower ones', () => {
    const dispatcher = dispatcherOf([upstream('a')], 1);
    const submit = (id: string, priority: number, now: number) =>
      dispatcher.handle(
        {
          kind: 'request',
          request: permitRequest(id, {priority, maximumWait: 60_000}),
        },
        now,
      );
    submit('running', 5, 0);
    submit('low', 0, 0);
    submit('high', 9, 1);
    expect(
      describeEffects(
        dispatcher.handle({kind: 'release', permitId: 'running'}, 2),
      ),
    ).toEqual(['high to a']);
    // After 10 aging levels, the old request of priority 0 precedes a new one
    // of priority 9.
    submit('late', 9, 5002);
    expect(
      describeEffects(
        dispatcher.handle({kind: 'release', permitId: 'high'}, 5003),
      ),
    ).toEqual(['low to a']);
  });

  it('serves the workspace with the fewest calls first', () => {
    const dispatcher = dispatcherOf([upstream('a')], 2);
    const submit = (id: string, workspace: string, now: number) =>
      dispatcher.handle(
        {kind: 'request', request: permitRequest(id, {workspace})},
        now,
      );
    submit('f0', 'flood', 0);
    submit('f1', 'flood', 0);
    submit('f2', 'flood', 0);
    submit('q0', 'quiet', 1);
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
  ] as const)('refuses immediately when $name', ({changes, now, error}) => {
    const dispatcher = dispatcherOf([upstream('a')], 1);
    const effects = dispatcher.handle(
      {kind: 'request', request: permitRequest('p', changes)},
      now,
    );
    expect(describeEffects(effects)).toEqual([`p refused: ${error}`]);
  });

  it('refuses immediately a request that it cannot start in time', () => {
    const dispatcher = dispatcherOf([upstream('a')], 1);
    dispatcher.handle({kind: 'request', request: permitRequest('p0')}, 0);
    dispatcher.handle({kind: 'release', permitId: 'p0'}, 2000);
    dispatcher.handle({kind: 'request', request: permitRequest('p1')}, 2000);
    dispatcher.handle({kind: 'request', request: permitRequest('p2')}, 2000);
    const effects = dispatcher.handle(
      {kind: 'request', request: permitRequest('p3')},
      2000,
    );
    expect(describeEffects(effects)).toEqual(['p3 refused: overloaded']);
  });

  it('refuses a request that has waited too long', () => {
    const dispatcher = dispatcherOf([upstream('a')], 1);
    dispatcher.handle({kind: 'request', request: permitRequest('p0')}, 0);
    dispatcher.handle({kind: 'request', request: permitRequest('p1')}, 0);
    expect(dispatcher.handle({kind: 'tick'}, 999)).toEqual([]);
    expect(describeEffects(dispatcher.handle({kind: 'tick'}, 1000))).toEqual([
      'p1 refused: overloaded',
    ]);
  });

  it('sends nothing to a leaving upstream, not even waiting requests', () => {
    const dispatcher = dispatcherOf([upstream('a')], 1);
    dispatcher.handle({kind: 'request', request: permitRequest('p0')}, 0);
    dispatcher.handle({kind: 'request', request: permitRequest('p1')}, 0);
    const leavingEffects = dispatcher.handle(
      {kind: 'leaving', upstreamId: 'a'},
      1,
    );
    expect(describeEffects(leavingEffects)).toEqual([
      'p1 refused: no-upstream',
    ]);
    // An outdated list of upstreams does not make it available again.
    dispatcher.handle(
      {kind: 'upstreams', upstreams: [upstream('a')], concurrency: 1},
      2,
    );
    const effects = dispatcher.handle(
      {kind: 'request', request: permitRequest('p2')},
      3,
    );
    expect(describeEffects(effects)).toEqual(['p2 refused: no-upstream']);
  });

  it('reserves an upstream for a call that must run alone', () => {
    const dispatcher = dispatcherOf([upstream('a'), upstream('b')], 2);
    const submit = (id: string, changes: Partial<PermitRequest>) =>
      describeEffects(
        dispatcher.handle(
          {kind: 'request', request: permitRequest(id, changes)},
          0,
        ),
      );
    submit('a0', {excluded: ['b']});
    submit('b0', {excluded: ['a']});
    expect(submit('alone', {isAlone: true})).toEqual([]);
    expect(submit('other', {})).toEqual(['other to b']);
    expect(
      describeEffects(dispatcher.handle({kind: 'release', permitId: 'a0'}, 1)),
    ).toEqual(['alone to a']);
    expect(submit('second', {excluded: ['b']})).toEqual([]);
  });

  it('expires the permits of a front that does not renew them', () => {
    const dispatcher = dispatcherOf([upstream('a')], 1);
    dispatcher.handle({kind: 'request', request: permitRequest('p0')}, 0);
    dispatcher.handle(
      {kind: 'request', request: permitRequest('p1', {maximumWait: 60_000})},
      1,
    );
    const effects = dispatcher.handle(
      {kind: 'tick'},
      PERMIT_LEASE_MILLISECONDS,
    );
    expect(describeEffects(effects)).toEqual(['p1 to a']);
  });

  it('counts the permits that an earlier dispatcher granted', () => {
    const dispatcher = dispatcherOf([upstream('a')], 1);
    const held = {
      permitId: 'old',
      upstreamId: 'a',
      isAlone: false,
      workspace: 'w',
    };
    dispatcher.handle({kind: 'renew', front: 'f', permits: [held]}, 0);
    const effects = dispatcher.handle(
      {kind: 'request', request: permitRequest('p')},
      1,
    );
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
    'divide $count upstreams into $shards of at most 32 each',
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
