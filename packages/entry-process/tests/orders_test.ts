/** Tests of orders for upstream hosts, with real processes. */
import {Fleet, type FleetObject, waitFor} from '@lacewingwinch/stand-ins';
import {afterEach, describe, expect, it} from 'vitest';

let fleet: Fleet;

afterEach(() => fleet.close());

const HOSTS = 4;

const WRITER: FleetObject = {
  kind: 'service',
  name: 'writer',
  upstreamKind: 'model',
  checksFencing: true,
};

function startFleet(writer: FleetObject): Promise<Fleet> {
  return Fleet.start({
    entryDomains: ['east', 'west', 'north'],
    engines: 2,
    objects: [writer],
    entryFlags: [
      '--orders-service=writer',
      `--orders-hosts=${HOSTS}`,
      '--orders-on-demand=1',
    ],
  });
}

function startedHosts(): number {
  return [...fleet.platform.started.values()].reduce(
    (sum, count) => sum + count,
    0,
  );
}

interface LeaseRecord {
  readonly holder: string;
}

function lastHolder(): string {
  const last = fleet.platform.log.records('leases').at(-1);
  return (last?.data as LeaseRecord | undefined)?.holder ?? '';
}

describe('orders for upstream hosts', () => {
  it('are given by one holder, and a lost answer buys nothing twice', async () => {
    fleet = await startFleet(WRITER);
    fleet.platform.loseOrderAnswers = 1;
    await waitFor('the hosts are started', () => startedHosts() === HOSTS);
    const seen = fleet.platform.orders.length;
    await waitFor(
      'the orders are repeated',
      () => fleet.platform.orders.length >= seen + 6,
    );
    expect(startedHosts()).toBe(HOSTS);
    const numbers = new Set(
      fleet.platform.orders.map(({fencingNumber}) => fencingNumber),
    );
    expect(numbers.size).toBe(1);
    const onDemand = fleet.platform.orders.filter(
      ({hostClass}) => hostClass === 'on-demand',
    );
    expect(onDemand.length).toBeGreaterThan(0);
  });

  it('pass to another host while the holder is paused, and it gives none after', async () => {
    fleet = await startFleet(WRITER);
    await waitFor('the hosts are started', () => startedHosts() === HOSTS);
    const first = lastHolder();
    const holder = fleet.entries.find(({hostId}) => hostId === first);
    holder?.process.child.kill('SIGSTOP');
    await waitFor('another host holds the lease', () => lastHolder() !== first);
    const {orders} = fleet.platform;
    const before = orders.at(-1)?.fencingNumber ?? -1;
    await waitFor(
      'the other host orders',
      () => (orders.at(-1)?.fencingNumber ?? -1) > before,
    );
    const after = orders.at(-1)?.fencingNumber ?? -1;
    holder?.process.child.kill('SIGCONT');
    const seen = orders.length;
    await waitFor('more orders come', () => orders.length >= seen + 6);
    const late = orders.slice(seen).map(({fencingNumber}) => fencingNumber);
    expect(late.every(number => number >= after)).toBe(true);
    expect(startedHosts()).toBe(HOSTS);
  });

  it('wait out the holder before where fencing numbers are ignored', async () => {
    fleet = await startFleet({
      ...WRITER,
      checksFencing: false,
      maximumRequestSeconds: 3,
    });
    await waitFor('the hosts are started', () => startedHosts() === HOSTS);
    const first = lastHolder();
    const holder = fleet.entries.find(({hostId}) => hostId === first);
    holder?.process.child.kill('SIGKILL');
    await waitFor('another host holds the lease', () => lastHolder() !== first);
    const granted = fleet.platform.log.records('leases').at(-1)?.time ?? 0;
    const seen = fleet.platform.orders.length;
    await waitFor(
      'the other host orders',
      () => fleet.platform.orders.length > seen,
    );
    expect(Date.now() - granted).toBeGreaterThanOrEqual(2900);
  });

  it('back off while starts are refused, and serving goes on', async () => {
    fleet = await startFleet(WRITER);
    fleet.platform.refusesStarts = true;
    fleet.platform.started.clear();
    const seen = fleet.platform.orders.length;
    await new Promise(resolve => {
      setTimeout(resolve, 3000);
    });
    // Four offers, each refused once and then left alone for 5 s or more.
    expect(fleet.platform.orders.length - seen).toBeLessThanOrEqual(8);
    const status = await fleet.status(fleet.entry(0));
    expect(status.status).toBe('serving');
  });
});
