/**
 * Tests of a start while another process holds an address of the host: processes ended
 * at once and served nothing.
 */
import {createServer, type Server} from 'node:net';

import {
  freeLoopbackAddresses,
  isReadyAt,
  StoreStandIn,
} from '@lacewingwinch/stand-ins';
import {afterEach, beforeEach, expect, it} from 'vitest';

import {pause} from './cut_off_fixtures.js';
import {HostProcess} from './host_process.js';
import {CONFIGURATION, waitUntil} from './routed_fixtures.js';

/** Milliseconds for which the address is held after the start. */
const HELD_MILLISECONDS = 1500;

let store: StoreStandIn;
let holder: Server;
let host: HostProcess | undefined;

beforeEach(async () => {
  store = new StoreStandIn();
  await store.listen();
  store.publish(CONFIGURATION);
});

afterEach(async () => {
  await host?.close();
  holder.close();
  await store.close();
});

function hold(address: string): Promise<void> {
  holder = createServer(socket => socket.destroy());
  return new Promise(resolve => {
    holder.listen(Number(address.split(':')[1]), '127.0.0.1', resolve);
  });
}

it.each(['callers', 'relay', 'discovery', 'readiness', 'peers'] as const)(
  'a host whose address for %s is in use serves when it is free',
  async name => {
    const addresses = await freeLoopbackAddresses();
    await hold(addresses[name]);
    host = await HostProcess.start({storeAddress: store.address, addresses});
    await waitUntil(() => host?.logText.includes('"event":1010') === true);
    await pause(HELD_MILLISECONDS);
    expect(host.hasEnded).toBe(false);
    holder.close();
    await host.waitUntilReady();
    expect(host.logText).toContain('EADDRINUSE');
  },
);

it('a host whose address for metrics is in use serves without waiting', async () => {
  const addresses = await freeLoopbackAddresses();
  const {callers: metrics} = await freeLoopbackAddresses();
  await hold(metrics);
  host = await HostProcess.start({
    storeAddress: store.address,
    addresses,
    flags: [`--metrics-port=${metrics.split(':')[1] ?? ''}`],
  });
  await host.waitUntilReady();
  holder.close();
  await waitUntil(async () => {
    const answer = await fetch(`http://${metrics}/metrics`).catch(
      () => undefined,
    );
    return answer?.status === 200;
  });
  expect(await isReadyAt(addresses)).toBe(true);
});

it('a host that cannot start says why before it ends', async () => {
  const addresses = await freeLoopbackAddresses();
  await hold(addresses.callers);
  host = await HostProcess.start({
    storeAddress: store.address,
    // No address of this machine.
    addresses: {...addresses, callers: '192.0.2.1:80'},
  });
  expect(await host.started.exited).toBe(1);
  expect(host.logText).toContain('"event":1012');
  expect(host.logText).toContain('192.0.2.1');
});
