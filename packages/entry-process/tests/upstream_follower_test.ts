/**
 * Tests of a list of upstreams that is both read from the store and relayed by
 * other hosts.
 */
import type {EventLog} from '@lacewingwinch/observability';
import {StoreClient} from '@lacewingwinch/platform';
import {RoutedEngineStandIn, StoreStandIn} from '@lacewingwinch/stand-ins';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {UpstreamFollower} from '../src/routed_interface/state/upstream_follower.js';
import {createProcessClocks} from '../src/util/clocks.js';

let store: StoreStandIn;
let client: StoreClient;
let follower: UpstreamFollower;
/** Ids of the entries that were logged as naming no upstream. */
let logged: unknown[];

const events: EventLog = {
  write: (number, fields) => {
    if (number === 3030) {
      logged.push((fields as {readonly upstreamId: unknown}).upstreamId);
    }
  },
};

beforeEach(async () => {
  logged = [];
  store = new StoreStandIn();
  await store.listen();
  client = new StoreClient(store.address);
  follower = new UpstreamFollower({
    store: client,
    events,
    clocks: createProcessClocks(),
    isStoreReader: () => true,
    onChanges: () => undefined,
    isFirstStart: true,
  });
});

afterEach(async () => {
  await client.close();
  await store.close();
});

const ENTRY = new RoutedEngineStandIn('engine').entry('engines', {
  address: '127.0.0.1:1',
});

describe('a list relayed by another host', () => {
  it.each([
    {
      name: 'does not restore an upstream that this host has read as withdrawn',
      readTo: 1,
      listed: [],
    },
    {name: 'is used if it was read further', readTo: 3, listed: ['engine']},
  ])('$name', async ({readTo, listed}) => {
    store.put('keyed.servers', 'engine', ENTRY);
    await follower.readOnce();
    const relayed = follower.list.relay(undefined, 0);
    store.put('keyed.servers', 'engine', undefined);
    await follower.readOnce();
    const later = follower.confirmedAt + 1000;
    follower.acceptRelayed(relayed, readTo, later);
    expect(follower.list.all().map(({upstreamId}) => upstreamId)).toEqual(
      listed,
    );
    expect(follower.confirmedAt).toBe(later);
  });
});

describe('entries that another writer has written', () => {
  const FAULTY: readonly (readonly [string, unknown])[] = [
    ['no-address', {...ENTRY, address: undefined}],
    ['text-slots', {...ENTRY, slots: 'many'}],
    ['unknown-state', {...ENTRY, state: 'resting'}],
    ['no-bytes', Buffer.from([0xff, 0x00, 0x7b])],
  ];

  function idsOf(service: string): readonly string[] {
    return follower.list.usable(service, 0).map(({upstreamId}) => upstreamId);
  }

  it.each([
    {name: 'in the first read', readsBefore: false},
    {name: 'in a later read', readsBefore: true},
  ])('leave the others as they are: $name', async ({readsBefore}) => {
    if (readsBefore) {
      await follower.readOnce();
    }
    store.put('keyed.servers', 'before', ENTRY);
    FAULTY.forEach(([id, entry]) => store.put('keyed.servers', id, entry));
    store.put('keyed.servers', 'other', {...ENTRY, service: 'nowhere'});
    store.put('keyed.servers', 'later', ENTRY);
    await follower.readOnce();
    await follower.readOnce();
    expect(idsOf('engines')).toEqual(['before', 'later']);
    expect(follower.isKnown).toBe(true);
    expect(logged).toEqual(FAULTY.map(([id]) => id));
  });

  it('are logged once until they are mended', async () => {
    await follower.readOnce();
    for (const entry of [{}, {}, ENTRY, {}, undefined, {}]) {
      store.put('keyed.servers', 'one', entry);
      await follower.readOnce();
    }
    expect(logged).toEqual(['one', 'one', 'one']);
    expect(idsOf('engines')).toEqual([]);
  });

  it('are logged up to a bound', async () => {
    for (let index = 0; index < 1000; index += 1) {
      store.put('keyed.servers', `faulty-${index}`, {});
    }
    await follower.readOnce();
    expect(logged).toHaveLength(256);
  });

  it('replace an upstream under its id until that one writes again', async () => {
    store.put('keyed.servers', 'one', ENTRY);
    await follower.readOnce();
    store.put('keyed.servers', 'one', {...ENTRY, born: 1.5});
    await follower.readOnce();
    expect(idsOf('engines')).toEqual([]);
    store.put('keyed.servers', 'one', ENTRY);
    await follower.readOnce();
    expect(idsOf('engines')).toEqual(['one']);
  });
});
