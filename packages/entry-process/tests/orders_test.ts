/** Tests of orders for upstream hosts, with real entry processes. */
import {foldLease, type Lease, NO_LEASE} from '@lacewingwinch/decisions';
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

/**
 * Returns the lease after all records of the stream. The last record alone does
 * not show the holder: when two hosts request the lease at the same time, the
 * first record is granted and the last one names a host without the lease.
 */
function currentLease(): Lease {
  return fleet.platform.log.records('leases').reduce(foldLease, NO_LEASE);
}

function leaseHolder(): string {
  return currentLease().holder;
}

describe('orders for upstream hosts', () => {
  it('are placed by one holder, and a lost answer starts no host twice', async () => {
    fleet = await startFleet(WRITER);
    fleet.platform.orderAnswersToLose = 1;
    await waitFor('the hosts are started', () => startedHosts() === HOSTS);
    const earlierOrderCount = fleet.platform.orders.length;
    await waitFor(
      'more orders are placed',
      () => fleet.platform.orders.length >= earlierOrderCount + 6,
    );
    expect(startedHosts()).toBe(HOSTS);
    const fencingNumbers = new Set(
      fleet.platform.orders.map(({fencingNumber}) => fencingNumber),
    );
    expect(fencingNumbers.size).toBe(1);
    const onDemand = fleet.platform.orders.filter(
      ({hostClass}) => hostClass === 'on-demand',
    );
    expect(onDemand.length).toBeGreaterThan(0);
  });

  it('pass to another host while the holder is suspended, which places none afterwards', async () => {
    fleet = await startFleet(WRITER);
    await waitFor('the hosts are started', () => startedHosts() === HOSTS);
    const firstHolder = leaseHolder();
    const holder = fleet.entries.find(({hostId}) => hostId === firstHolder);
    holder?.process.child.kill('SIGSTOP');
    await waitFor(
      'another host holds the lease',
      () => leaseHolder() !== firstHolder,
    );
    const {orders} = fleet.platform;
    const firstNumber = orders.at(-1)?.fencingNumber ?? -1;
    await waitFor(
      'the other host orders',
      () => (orders.at(-1)?.fencingNumber ?? -1) > firstNumber,
    );
    const secondNumber = orders.at(-1)?.fencingNumber ?? -1;
    holder?.process.child.kill('SIGCONT');
    const earlierOrderCount = orders.length;
    await waitFor(
      'more orders are placed',
      () => orders.length >= earlierOrderCount + 6,
    );
    const laterFencingNumbers = orders
      .slice(earlierOrderCount)
      .map(({fencingNumber}) => fencingNumber);
    expect(laterFencingNumbers.every(number => number >= secondNumber)).toBe(
      true,
    );
    expect(startedHosts()).toBe(HOSTS);
  });

  it('wait for requests of the previous holder if fencing numbers are ignored', async () => {
    fleet = await startFleet({
      ...WRITER,
      checksFencing: false,
      maximumRequestSeconds: 3,
    });
    await waitFor('the hosts are started', () => startedHosts() === HOSTS);
    const firstHolder = leaseHolder();
    const holder = fleet.entries.find(({hostId}) => hostId === firstHolder);
    holder?.process.child.kill('SIGKILL');
    await waitFor(
      'another host holds the lease',
      () => leaseHolder() !== firstHolder,
    );
    const {granted} = currentLease();
    const earlierOrderCount = fleet.platform.orders.length;
    await waitFor(
      'the other host orders',
      () => fleet.platform.orders.length > earlierOrderCount,
    );
    expect(Date.now() - granted).toBeGreaterThanOrEqual(2900);
  });

  it('back off while starts are refused, and serving continues', async () => {
    fleet = await startFleet(WRITER);
    fleet.platform.isRefusingStarts = true;
    fleet.platform.started.clear();
    const earlierOrderCount = fleet.platform.orders.length;
    await new Promise(resolve => {
      setTimeout(resolve, 3000);
    });
    // Each of the four offers is refused once, then not used for at least 5 s.
    expect(
      fleet.platform.orders.length - earlierOrderCount,
    ).toBeLessThanOrEqual(8);
    const status = await fleet.status(fleet.entry(0));
    expect(status.status).toBe('serving');
  });
});
