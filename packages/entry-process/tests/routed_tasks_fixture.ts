/** The tasks of a host on the platform, none of which runs. */
import type {ListedUpstream} from '@lacewingwinch/decisions';

import {RoutedTasks} from '../src/routed_interface/lifecycle/routed_tasks.js';
import {BOUNDS, CONFIGURATION} from './routed_fixtures.js';

const DOCUMENT = {
  ...CONFIGURATION,
  tenants: [
    ...CONFIGURATION.tenants,
    {
      name: 'limited',
      apiKeys: ['key-3'],
      unit: 'tokens',
      ratePerS: 10,
      burst: 120,
    },
    {name: 'keyless'},
  ],
};

/** An upstream that nothing listens for. */
export const IDLE_UPSTREAM: ListedUpstream = {
  upstreamId: 'i-0',
  service: 'plain',
  address: '127.0.0.1:1',
  failureDomain: 'north',
  slots: 4,
  isLeaving: false,
  leavesInMilliseconds: undefined,
  softwareVersion: 'v1',
  bornAt: 5,
  isReclaimable: false,
  coldMilliseconds: 0,
};

/** Starts the tasks of a host that knows its state and runs none of them. */
export function createIdleTasks(): RoutedTasks {
  const address = '127.0.0.1:1';
  const tasks = new RoutedTasks({
    settings: () => ({
      hostId: 'host-0',
      failureDomain: 'north',
      region: '',
      listenAddress: '127.0.0.1',
      failureDomains: ['north'],
      addresses: {
        callers: address,
        peers: address,
        discovery: address,
        readiness: address,
        relay: address,
      },
      freePorts: {first: 0, last: 0},
      seeds: [],
      isFirstStart: true,
      storeAddress: address,
      cloudAddress: undefined,
      duties: [],
      upstreamHeartbeatMilliseconds: 1200,
      memoryBytes: 0,
      limits: undefined,
      bounds: BOUNDS,
    }),
    isClosing: () => false,
    onConfigurationChange: () => undefined,
  });
  const now = tasks.clocks.suspensionAware();
  tasks.membership.declare('serving');
  tasks.configuration.acceptRelayed(
    DOCUMENT.version,
    Buffer.from(JSON.stringify(DOCUMENT)),
    now,
  );
  const listed = ['i-0', 'i-1'].map(upstreamId => ({
    upstream: {...IDLE_UPSTREAM, upstreamId},
  }));
  tasks.upstreams.acceptRelayed({kind: 'whole', listed}, 1, now);
  return tasks;
}
