/** Tests of the state that a process must have confirmed to use it. */
import {
  freeLoopbackAddresses,
  type RoutedEngineStandIn,
  StoreStandIn,
} from '@lacewingwinch/stand-ins';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {
  type Answer,
  CONFIGURATION,
  RoutedInstallation,
  waitUntil,
} from './routed_fixtures.js';

let installation: RoutedInstallation;
let store: StoreStandIn;
let engines: RoutedEngineStandIn[];

beforeEach(async () => {
  installation = await RoutedInstallation.start();
  ({store, engines} = installation);
});

afterEach(() => installation.stop());

const startProcess: RoutedInstallation['startProcess'] = overrides =>
  installation.startProcess(overrides);

function call(
  ...parameters: Parameters<RoutedInstallation['call']>
): Promise<Answer> {
  return installation.call(...parameters);
}

describe('confirmed state', () => {
  it('of a key expires when the store is unavailable for too long', async () => {
    await startProcess();
    expect((await call({path: '/again/1'})).status).toBe(200);
    store.faults.isUnresponsive = true;
    store.dropConnections();
    await waitUntil(
      async () => (await call({path: '/again/2'})).status === 503,
    );
    store.faults.isUnresponsive = false;
    store.dropConnections();
    await waitUntil(
      async () => (await call({path: '/again/3'})).status === 200,
    );
  });

  it('is relayed by another host that can still read the store', async () => {
    const gate = new StoreStandIn();
    await gate.listen();
    gate.put('keyed.op', 'config', CONFIGURATION);
    for (const engine of engines) {
      gate.put('keyed.servers', engine.upstreamId, engine.entry('plain'));
    }
    const addresses = await freeLoopbackAddresses();
    await startProcess({addresses});
    await startProcess({
      seeds: [addresses.peers],
      storeAddress: gate.address,
      duties: [],
    });
    gate.faults.isDown = true;
    store.put('keyed.op', 'config', {
      ...CONFIGURATION,
      version: 9,
      tenants: [{name: 'tenant', apiKeys: ['key-2']}],
    });
    await waitUntil(
      async () =>
        (await call({path: '/again/1', key: 'key-1'}, installation.callers[1]))
          .status === 401,
    );
    // Without the other host the keys would have become too old by then, and
    // would stay so.
    await new Promise(resolve => setTimeout(resolve, 3000));
    await waitUntil(
      async () =>
        (await call({path: '/again/1', key: 'key-2'}, installation.callers[1]))
          .status === 200,
    );
    await installation.processes.pop()?.stopNow();
    await gate.close();
  });

  it('of a configuration is never replaced by an older version', async () => {
    await startProcess();
    store.put('keyed.op', 'config', {...CONFIGURATION, version: 9, routes: []});
    await waitUntil(
      async () => (await call({path: '/again/1'})).status === 404,
    );
    store.put('keyed.op', 'config', CONFIGURATION);
    store.dropRecords('keyed.op');
    await new Promise(resolve => setTimeout(resolve, 1500));
    expect((await call({path: '/again/1'})).status).toBe(404);
  });
});
