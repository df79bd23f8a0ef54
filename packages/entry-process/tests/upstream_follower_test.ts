/**
 * Tests of a list of upstreams that is both read from the store and relayed by
 * other hosts.
 */
import {createEventLog} from '@lacewingwinch/observability';
import {StoreClient} from '@lacewingwinch/platform';
import {RoutedEngineStandIn, StoreStandIn} from '@lacewingwinch/stand-ins';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {UpstreamFollower} from '../src/routed_interface/state/upstream_follower.js';
import {createProcessClocks} from '../src/util/clocks.js';

let store: StoreStandIn;
let client: StoreClient;
let follower: UpstreamFollower;

beforeEach(async () => {
  store = new StoreStandIn();
  await store.listen();
  client = new StoreClient(store.address);
  follower = new UpstreamFollower({
    store: client,
    events: createEventLog('test', 'error'),
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
