/** Tests of the list of upstreams and of their health. */
import {describe, expect, it} from 'vitest';

import {
  type ListedUpstream,
  RELIST_MILLISECONDS,
  type UpdateSource,
  UpstreamHealth,
  UpstreamList,
  type UpstreamResult,
  type UpstreamUpdate,
} from '../src/index.js';

function upstream(
  upstreamId: string,
  overrides: Partial<ListedUpstream> = {},
): ListedUpstream {
  return {
    upstreamId,
    service: 'engines',
    address: '10.0.0.1:80',
    failureDomain: 'north',
    slots: 8,
    isLeaving: false,
    leavesInMilliseconds: undefined,
    softwareVersion: 'v1',
    bornAt: 0,
    isReclaimable: false,
    coldMilliseconds: 0,
    ...overrides,
  };
}

function listed(
  listedUpstream: ListedUpstream,
  heartbeat?: number,
): UpstreamUpdate {
  return {kind: 'listed', upstream: listedUpstream, heartbeat};
}

const NOW = 1000;

function source(readTo = 0, relistedBy = -Infinity): UpdateSource {
  return {readTo, relistedBy};
}

describe('an upstream', () => {
  it.each<{
    readonly name: string;
    readonly updates: readonly UpstreamUpdate[];
    /** Time until which lapsed entries can be listed again. */
    readonly relistedBy: number;
    /** Milliseconds between the updates and the check. */
    readonly later: number;
    readonly usable: readonly string[];
  }>([
    {
      name: 'is usable once it is listed',
      updates: [],
      relistedBy: -Infinity,
      later: 0,
      usable: ['a', 'b'],
    },
    {
      name: 'gets no new work once it is leaving',
      updates: [listed(upstream('a', {isLeaving: true}))],
      relistedBy: -Infinity,
      later: 0,
      usable: ['b'],
    },
    {
      name: 'is removed once it is withdrawn',
      updates: [{kind: 'withdrawn', upstreamId: 'a'}],
      relistedBy: -Infinity,
      later: 0,
      usable: ['b'],
    },
    {
      name: 'that lapsed in an outage is kept while it can be listed again',
      updates: [{kind: 'withdrawn', upstreamId: 'a'}],
      relistedBy: NOW + RELIST_MILLISECONDS,
      later: RELIST_MILLISECONDS - 1,
      usable: ['a', 'b'],
    },
    {
      name: 'that lapsed in an outage is removed if it is not listed again',
      updates: [{kind: 'withdrawn', upstreamId: 'a'}],
      relistedBy: NOW + RELIST_MILLISECONDS,
      later: RELIST_MILLISECONDS,
      usable: ['b'],
    },
    {
      name: 'that was withdrawn late after an outage is removed at the end of that time',
      updates: [{kind: 'withdrawn', upstreamId: 'a'}],
      relistedBy: NOW + 500,
      later: 500,
      usable: ['b'],
    },
    {
      name: 'that is listed again after an outage is kept',
      updates: [{kind: 'withdrawn', upstreamId: 'a'}, listed(upstream('a'))],
      relistedBy: NOW + RELIST_MILLISECONDS,
      later: RELIST_MILLISECONDS * 2,
      usable: ['a', 'b'],
    },
    {
      name: 'that was leaving before an outage is removed immediately',
      updates: [
        listed(upstream('a', {isLeaving: true})),
        {kind: 'withdrawn', upstreamId: 'a'},
      ],
      relistedBy: NOW + RELIST_MILLISECONDS,
      later: 0,
      usable: ['b'],
    },
    {
      name: 'that moved to another service is not used for the former one',
      updates: [listed(upstream('a', {service: 'others'}))],
      relistedBy: -Infinity,
      later: 0,
      usable: ['b'],
    },
  ])('$name', ({updates, relistedBy, later, usable}) => {
    const list = new UpstreamList();
    list.replace([listed(upstream('a')), listed(upstream('b'))], source(), NOW);
    list.apply(updates, source(1, relistedBy), NOW);
    expect(
      list.usable('engines', NOW + later).map(({upstreamId}) => upstreamId),
    ).toEqual(usable);
  });

  it('counts as new after a restart under the same ID', () => {
    const list = new UpstreamList();
    list.apply([listed(upstream('a', {bornAt: 1}))], source(), NOW);
    list.apply([listed(upstream('a', {bornAt: 1}))], source(), NOW + 10);
    expect(list.usable('engines', NOW)[0]?.knownSince).toBe(NOW);
    list.apply([listed(upstream('a', {bornAt: 2}))], source(), NOW + 20);
    expect(list.usable('engines', NOW)[0]?.knownSince).toBe(NOW + 20);
  });

  it('that a complete read no longer contains is removed', () => {
    const list = new UpstreamList();
    list.replace([listed(upstream('a')), listed(upstream('b'))], source(), NOW);
    list.replace([listed(upstream('b'))], source(), NOW + 1);
    expect(list.all().map(({upstreamId}) => upstreamId)).toEqual(['b']);
  });
});

describe('the changes of a list', () => {
  it.each<{
    readonly name: string;
    readonly updates: readonly UpstreamUpdate[];
    readonly relistedBy: number;
    readonly changes: readonly string[];
  }>([
    {
      name: 'are empty when an upstream lists itself again',
      updates: [listed(upstream('a'))],
      relistedBy: -Infinity,
      changes: [],
    },
    {
      name: 'are empty when only its speed changed',
      updates: [listed(upstream('a', {coldMilliseconds: 50}))],
      relistedBy: -Infinity,
      changes: [],
    },
    {
      name: 'report a leaving upstream once',
      updates: [
        listed(upstream('a', {isLeaving: true, leavesInMilliseconds: 900})),
        listed(upstream('a', {isLeaving: true, leavesInMilliseconds: 300})),
      ],
      relistedBy: -Infinity,
      changes: ['a leaving'],
    },
    {
      name: 'report a restart under the same ID',
      updates: [listed(upstream('a', {bornAt: 5}))],
      relistedBy: -Infinity,
      changes: ['a listed again'],
    },
    {
      name: 'report a withdrawal',
      updates: [{kind: 'withdrawn', upstreamId: 'a'}],
      relistedBy: -Infinity,
      changes: ['a withdrawn'],
    },
    {
      name: 'are empty when an upstream lapses in an outage and is listed again',
      updates: [{kind: 'withdrawn', upstreamId: 'a'}, listed(upstream('a'))],
      relistedBy: NOW + RELIST_MILLISECONDS,
      changes: [],
    },
    {
      name: 'report an upstream that lapsed in an outage once it is removed',
      updates: [{kind: 'withdrawn', upstreamId: 'a'}],
      relistedBy: NOW + 10,
      changes: ['a withdrawn'],
    },
  ])('$name', ({updates, relistedBy, changes}) => {
    const list = new UpstreamList();
    list.replace([listed(upstream('a')), listed(upstream('b'))], source(), NOW);
    expect(list.takeChanges(NOW).length).toBe(2);
    list.apply(updates, source(1, relistedBy), NOW);
    expect(
      list
        .takeChanges(NOW + 10)
        .map(
          ({upstreamId, state, isRestarted}) =>
            `${upstreamId} ${state}${isRestarted ? ' again' : ''}`,
        ),
    ).toEqual(changes);
    expect(list.takeChanges(NOW + 10)).toEqual([]);
  });

  it('report upstreams that a complete read no longer contains', () => {
    const list = new UpstreamList();
    list.replace([listed(upstream('a')), listed(upstream('b'))], source(), NOW);
    list.takeChanges(NOW);
    list.replace([listed(upstream('b'))], source(1), NOW);
    expect(list.takeChanges(NOW).map(({state}) => state)).toEqual([
      'withdrawn',
    ]);
  });
});

describe('a list that another host relays', () => {
  it('keeps the time at which an entry lapses', () => {
    const ownList = new UpstreamList();
    ownList.replace(
      [listed(upstream('a')), listed(upstream('b'))],
      source(),
      NOW,
    );
    ownList.apply(
      [{kind: 'withdrawn', upstreamId: 'a'}],
      source(1, NOW + 500),
      NOW,
    );
    const otherList = new UpstreamList();
    // The suspension-aware clocks of two hosts are unrelated.
    otherList.applyRelayed(ownList.relay(undefined, NOW + 100), 1, 9000);
    expect(usableIds(otherList, 9399)).toEqual(['a', 'b']);
    expect(usableIds(otherList, 9400)).toEqual(['b']);
  });

  it('contains only the changes for a host that has read before', () => {
    const ownList = new UpstreamList();
    ownList.replace(
      [listed(upstream('a')), listed(upstream('b')), listed(upstream('c'))],
      source(10),
      NOW,
    );
    const otherList = new UpstreamList();
    otherList.applyRelayed(ownList.relay(undefined, NOW), 10, NOW);
    ownList.apply(
      [
        listed(upstream('a')),
        listed(upstream('b', {isLeaving: true})),
        {kind: 'withdrawn', upstreamId: 'c'},
        listed(upstream('d')),
      ],
      source(14),
      NOW,
    );
    const changes = ownList.relay(10, NOW);
    expect(changes).toEqual({
      kind: 'changes',
      listed: [
        {upstream: upstream('b', {isLeaving: true})},
        {upstream: upstream('d')},
      ],
      withdrawn: ['c'],
    });
    otherList.applyRelayed(changes, 14, NOW);
    expect(otherList.all()).toEqual(ownList.all());
    expect(ownList.relay(14, NOW)).toEqual({
      kind: 'changes',
      listed: [],
      withdrawn: [],
    });
  });

  it('is complete for a host that last read before this one did', () => {
    const list = new UpstreamList();
    list.replace([listed(upstream('a'))], source(10), NOW);
    expect(list.relay(9, NOW).kind).toBe('whole');
    expect(list.relay(10, NOW).kind).toBe('changes');
  });

  it('replaces the known list', () => {
    const list = new UpstreamList();
    list.replace([listed(upstream('a')), listed(upstream('b'))], source(), NOW);
    list.applyRelayed(
      {kind: 'whole', listed: [{upstream: upstream('b', {isLeaving: true})}]},
      1,
      NOW,
    );
    expect(list.all()).toEqual([upstream('b', {isLeaving: true})]);
  });
});

function usableIds(list: UpstreamList, now: number): readonly string[] {
  return list.usable('engines', now).map(({upstreamId}) => upstreamId);
}

describe('an upstream that gets requests', () => {
  it.each<{
    readonly name: string;
    readonly results: readonly UpstreamResult[];
    readonly isEjected: boolean;
  }>([
    {name: 'is not ejected at first', results: [], isEjected: false},
    {
      name: 'is not ejected after two failures',
      results: ['failed', 'failed'],
      isEjected: false,
    },
    {
      name: 'is ejected after three consecutive failures',
      results: ['failed', 'failed', 'failed'],
      isEjected: true,
    },
    {
      name: 'is not ejected after three consecutive error answers',
      results: ['errored', 'errored', 'errored'],
      isEjected: false,
    },
    {
      name: 'is ejected after four consecutive error answers',
      results: ['errored', 'errored', 'errored', 'errored'],
      isEjected: true,
    },
    {
      name: 'is not ejected if an answer comes between the failures',
      results: ['failed', 'answered', 'failed', 'failed'],
      isEjected: false,
    },
    {
      name: 'is ejected after a high share of failures',
      results: ['failed', 'failed', 'answered', 'failed', 'failed'],
      isEjected: true,
    },
    {
      name: 'is ejected after a failed connection',
      results: ['unreachable'],
      isEjected: true,
    },
  ])('$name', ({results, isEjected}) => {
    const health = new UpstreamHealth();
    results.forEach(result => health.recordResult('a', result, NOW));
    expect(health.isEjected('a', NOW)).toBe(isEjected);
  });

  it('is ejected for a time that doubles with each ejection', () => {
    const health = new UpstreamHealth();
    health.recordResult('a', 'unreachable', 0);
    expect(health.isEjected('a', 999)).toBe(true);
    expect(health.isEjected('a', 1000)).toBe(false);
    health.recordResult('a', 'unreachable', 1000);
    expect(health.isEjected('a', 2999)).toBe(true);
    expect(health.isEjected('a', 3000)).toBe(false);
  });
});
