/** Tests of a store that is restored from an older copy of itself. */
import {
  type FencedCall,
  type RoutedEngineStandIn,
  type StoreStandIn,
  usageReportOf,
} from '@lacewingwinch/stand-ins';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {
  CONFIGURATION,
  RoutedInstallation,
  waitUntil,
} from './routed_fixtures.js';

let installation: RoutedInstallation;
let store: StoreStandIn;
let engine: RoutedEngineStandIn;

beforeEach(async () => {
  installation = await RoutedInstallation.start();
  store = installation.store;
  const [first] = installation.engines;
  if (first === undefined) {
    throw new Error('the installation has no upstreams');
  }
  engine = first;
});

afterEach(() => installation.stop());

function delay(milliseconds: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, milliseconds));
}

function usageReports(): readonly FencedCall[] {
  return store.duties.filter(({path}) => path === '/usage');
}

/** Returns the windows that were reported with different counts. */
function windowsWithConflicts(): readonly unknown[] {
  const countsByWindow = new Map<unknown, Set<string>>();
  for (const report of usageReports()) {
    const {window, counts} = usageReportOf(report) ?? {counts: ''};
    const known = countsByWindow.get(window) ?? new Set();
    countsByWindow.set(window, known.add(counts));
  }
  return [...countsByWindow]
    .filter(([, counts]) => counts.size > 1)
    .map(([window]) => window);
}

/** Sends requests until `condition` holds, so that there is usage to report. */
async function callUntil(condition: () => boolean): Promise<void> {
  await waitUntil(async () => {
    await Promise.all(
      installation.callers.map(address =>
        installation.call({path: '/again/1'}, address).catch(() => undefined),
      ),
    );
    return condition();
  });
}

function checkFencingNumbers(): void {
  const holders = new Map<number, string>();
  let highest = -1;
  for (const {fence, holder} of store.duties) {
    expect(fence).toBeGreaterThanOrEqual(highest);
    expect(Number.isSafeInteger(fence)).toBe(true);
    highest = fence;
    expect(holders.get(fence) ?? holder).toBe(holder);
    holders.set(fence, holder);
  }
}

async function startHosts(count: number): Promise<void> {
  await installation.startProcess();
  const [first] = installation.peers;
  for (let index = 1; index < count; index += 1) {
    await installation.startProcess({
      seeds: first === undefined ? [] : [first],
      isFirstStart: false,
    });
  }
}

describe('the duties after the store came back from an older copy', () => {
  it.each([
    {name: 'continue at their holder', hosts: 1, isHolderStopped: false},
    {name: 'continue at one of three hosts', hosts: 3, isHolderStopped: false},
    {
      name: 'pass to another host if the holder stops at the same time',
      hosts: 3,
      isHolderStopped: true,
    },
  ])('$name', async ({hosts, isHolderStopped}) => {
    await startHosts(hosts);
    await callUntil(() => usageReports().length >= 1);
    const copy = store.copy();
    const reportsAtCopy = usageReports().length;
    await callUntil(() => usageReports().length >= reportsAtCopy + 2);
    store.restore(copy);
    const holder = usageReports().at(-1)?.holder;
    if (isHolderStopped) {
      const index = Number(holder?.split('-')[1]);
      installation.callers.splice(index, 1);
      await installation.processes.splice(index, 1)[0]?.stopNow();
    }
    const reportsAtFall = usageReports().length;
    await callUntil(() => usageReports().length >= reportsAtFall + 3);
    expect(windowsWithConflicts()).toEqual([]);
    checkFencingNumbers();
  });

  it('are not disturbed by a write of the earlier era that is executed late', async () => {
    await startHosts(2);
    await callUntil(() => usageReports().length >= 1);
    const copy = store.copy();
    const reportsAtCopy = usageReports().length;
    await callUntil(() => usageReports().length >= reportsAtCopy + 1);
    store.faults.appendsToDelay = 1;
    await waitUntil(() => store.faults.appendsToDelay === 0);
    store.restore(copy);
    store.releaseAppends();
    const reportsAtFall = usageReports().length;
    await callUntil(() => usageReports().length >= reportsAtFall + 3);
    expect(windowsWithConflicts()).toEqual([]);
    checkFencingNumbers();
  });
});

describe('a configuration that the store has lost', () => {
  const withoutKey = {
    ...CONFIGURATION,
    version: 4,
    tenants: [{name: 'tenant', apiKeys: ['key-2']}],
  };

  async function publishAndLose(): Promise<void> {
    await startHosts(1);
    const copy = store.copy();
    store.publish(withoutKey);
    await waitUntil(
      async () => (await installation.call({path: '/again/1'})).status === 401,
    );
    store.restore(copy);
  }

  it('stays in force where it was read', async () => {
    await publishAndLose();
    await delay(1000);
    expect((await installation.call({path: '/again/1'})).status).toBe(401);
  });

  it('is in force at a process that starts afterwards', async () => {
    await publishAndLose();
    const [seed = ''] = installation.peers;
    await installation.startProcess({seeds: [seed], isFirstStart: false});
    const statuses = new Set<number>();
    for (const end = Date.now() + 3000; Date.now() < end;) {
      const {status} = await installation.call(
        {path: '/again/1'},
        installation.callers[1],
      );
      statuses.add(status);
      await delay(50);
    }
    expect(statuses.has(200)).toBe(false);
    const other = await installation.call(
      {path: '/again/1', key: 'key-2'},
      installation.callers[1],
    );
    expect(other.status).toBe(200);
  });

  it('does not hide later versions at the offsets that it had', async () => {
    await startHosts(1);
    const copy = store.copy();
    store.publish({...CONFIGURATION, version: 4});
    store.publish({...CONFIGURATION, version: 5});
    await delay(100);
    store.restore(copy);
    store.publish(withoutKey);
    store.publish({...withoutKey, version: 6});
    store.publish({...withoutKey, version: 7, routes: []});
    await waitUntil(
      async () =>
        (await installation.call({path: '/again/1', key: 'key-2'})).status ===
        404,
    );
  });
});

describe('an upstream that was withdrawn before the store came back', () => {
  it('gets no requests until its next heartbeat', async () => {
    store.put('keyed.servers', 'i-0', engine.entry('plain', {sequence: 7}));
    await startHosts(1);
    const copy = store.copy();
    store.put('keyed.servers', 'i-0', undefined);
    await delay(600);
    const executed = engine.ran.length;
    store.restore(copy);
    for (const end = Date.now() + 1500; Date.now() < end;) {
      const {status} = await installation.call({path: '/again/1'});
      expect(status).toBe(200);
    }
    expect(engine.ran).toHaveLength(executed);
    store.put('keyed.servers', 'i-0', engine.entry('plain', {sequence: 8}));
    await callUntil(() => engine.ran.length > executed);
  });
});

describe('an upstream that was listed after the copy', () => {
  it('gets requests until it lists itself again', async () => {
    const copy = store.copy();
    for (const {upstreamId} of installation.engines.slice(0, 2)) {
      store.put('keyed.servers', upstreamId, undefined);
    }
    const empty = store.copy();
    store.restore(copy);
    await startHosts(1);
    store.restore(empty);
    await delay(700);
    expect((await installation.call({path: '/again/1'})).status).toBe(200);
  });
});
