/** Tests of the time for which a host has dispatched a shard. */
import type {PeerClient} from '@lacewingwinch/entry-hosts';
import {expect, it} from 'vitest';

import {DispatcherCalls} from '../src/routed_interface/placement/dispatcher_calls.js';
import {servingMember} from './host_fixtures.js';

it.each([
  {name: 'that stayed', kept: ['shard'], expected: 5000},
  {name: 'that was gone meanwhile', kept: [], expected: 0},
])('a shard $name is known for $expected ms', ({kept, expected}) => {
  let now = 0;
  const dispatchers = new DispatcherCalls({
    hostId: 'host-0',
    peers: {} as PeerClient,
    events: {write: () => undefined},
    dispatchingHosts: () => [servingMember('host-0')],
    clock: () => now,
  });
  expect(dispatchers.dispatcherFor('shard')).toBe(0);
  dispatchers.keepOnly(new Set(kept));
  now = 5000;
  expect(dispatchers.dispatcherFor('shard')).toBe(expected);
});
