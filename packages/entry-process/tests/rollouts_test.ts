/** Tests of roll-outs with real processes. */
import {
  type EngineBehavior,
  RoutedEngineStandIn,
} from '@lacewingwinch/stand-ins';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {BOUNDS, RoutedInstallation, waitUntil} from './routed_fixtures.js';

const HOSTS = 3;

const NEW_ENGINES = 4;

/** Milliseconds within which the traffic must have moved. */
const DURATION_MILLISECONDS = 14_000;

/** Milliseconds between two requests of the same client. */
const PACE_MILLISECONDS = 20;

const CLIENTS = 8;

/** Milliseconds after which a host that has died is replaced in its duties. */
const TAKEOVER_MILLISECONDS = 3500;

let installation: RoutedInstallation;
let newEngines: RoutedEngineStandIn[];
let isOver: boolean;
let clients: Promise<void>[];
/** Number of answers by status. */
let answers: Map<number, number>;

beforeEach(async () => {
  installation = await RoutedInstallation.start();
  newEngines = [];
  clients = [];
  answers = new Map();
  isOver = false;
  for (let index = 0; index < HOSTS; index += 1) {
    await installation.startProcess({
      seeds: installation.peers.slice(0, 1),
      bounds: {
        ...BOUNDS,
        // Keys must not expire while a test keeps the store away.
        revocationMilliseconds: 20_000,
        rollouts: {
          exposureFraction: 0.3,
          exposureSlack: 50,
          rollbackMilliseconds: 5000,
        },
      },
    });
  }
  clients = Array.from({length: CLIENTS}, (_, client) => runClient(client));
});

afterEach(async () => {
  isOver = true;
  await Promise.all(clients);
  await installation.stop();
});

async function runClient(client: number): Promise<void> {
  for (let index = 0; !isOver; index += 1) {
    const address = installation.callers[(client + index) % HOSTS];
    try {
      const path = `/stream/${client}-${index}`;
      const {status} = await installation.call({path}, address);
      answers.set(status, (answers.get(status) ?? 0) + 1);
    } catch {
      // The host has been stopped by the test.
      answers.set(0, (answers.get(0) ?? 0) + 1);
    }
    await pause(PACE_MILLISECONDS);
  }
}

function pause(milliseconds: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, milliseconds));
}

function publishOrder(version: string): void {
  installation.store.put('keyed.op', 'rollout/engines', {
    service: 'engines',
    to: version,
    durationS: DURATION_MILLISECONDS / 1000,
  });
}

/** Orders the new version and starts its engines. */
async function order(behavior: EngineBehavior = 'answer'): Promise<void> {
  publishOrder('v2');
  await startNewEngines(behavior);
}

async function startNewEngines(behavior: EngineBehavior): Promise<void> {
  const {store} = installation;
  for (let index = 0; index < NEW_ENGINES; index += 1) {
    const engine = new RoutedEngineStandIn(`new-${index}`);
    engine.isStreamed = true;
    engine.softwareVersion = 'v2';
    engine.behavior = behavior;
    await engine.listen();
    installation.engines.push(engine);
    newEngines.push(engine);
    store.put('keyed.servers', engine.upstreamId, engine.entry('engines'));
  }
}

function statuses(): readonly unknown[] {
  return installation.store
    .recordsOf('keyed.status', 'rollout/engines')
    .map(value => (JSON.parse(value.toString()) as {state: unknown}).state);
}

async function settled(): Promise<unknown> {
  await waitUntil(() =>
    statuses().some(state => state !== undefined && state !== 'in_progress'),
  );
  return statuses().at(-1);
}

function arrivalsAtNew(since = 0): number {
  return newEngines
    .flatMap(({arrivals}) => arrivals)
    .filter(arrivedAt => arrivedAt >= since).length;
}

function arrivalsAtOld(since: number): number {
  return installation.engines
    .filter(({upstreamId}) => ['i-2', 'i-3'].includes(upstreamId))
    .flatMap(({arrivals}) => arrivals)
    .filter(arrivedAt => arrivedAt >= since).length;
}

/** Returns the id of the host that holds the duties. */
function holder(): string {
  const record = installation.store.recordsOf('keyed.duties', 'duties').at(-1);
  return record === undefined
    ? ''
    : (JSON.parse(record.toString()) as {holder: string}).holder;
}

describe('a roll-out', () => {
  it('of a good version moves everything and is completed once', async () => {
    const orderedAt = Date.now();
    await order();
    expect(await settled()).toBe('completed');
    const completedAt = Date.now();
    expect(completedAt - orderedAt).toBeLessThan(DURATION_MILLISECONDS);
    await pause(500);
    expect(arrivalsAtOld(completedAt)).toBe(0);
    expect(arrivalsAtNew(completedAt)).toBeGreaterThan(0);
    expect(statuses()).toEqual(['in_progress', 'completed']);
    expect([...answers.keys()]).toEqual([200]);
  });

  it.each(['fail', 'break-off', 'lose'] as const)(
    'of a version whose engines %s is rolled back for good',
    async behavior => {
      await order(behavior);
      expect(await settled()).toBe('rolled_back');
      await pause(1000);
      const later = Date.now();
      await pause(2000);
      expect(arrivalsAtNew(later)).toBe(0);
      expect(arrivalsAtNew()).toBeGreaterThan(0);
      expect(statuses()).toEqual(['in_progress', 'rolled_back']);
    },
  );

  it('of a version that is slow is rolled back', async () => {
    await order();
    for (const engine of newEngines) {
      engine.executionMilliseconds = 500;
    }
    expect(await settled()).toBe('rolled_back');
  });

  it('gives an ordered version nothing before the order is taken up', async () => {
    installation.store.faults.isDown = true;
    await pause(100);
    await order();
    await pause(1500);
    expect(arrivalsAtNew()).toBe(0);
    installation.store.faults.isDown = false;
    expect(await settled()).toMatch(/completed|rolled_back/u);
  });

  it('is not needed for a release of another version', async () => {
    await startNewEngines('answer');
    await waitUntil(() => arrivalsAtNew() > 10);
    expect(statuses()).toEqual([]);
    expect([...answers.keys()]).toEqual([200]);
  });

  it('to the version that serves is completed without a refusal', async () => {
    publishOrder('v1');
    expect(await settled()).toBe('completed');
    await pause(500);
    expect(statuses()).toEqual(['completed']);
    expect([...answers.keys()]).toEqual([200]);
  });

  it('to another version gives the first one up', async () => {
    await order();
    await waitUntil(() => arrivalsAtNew() > 10);
    publishOrder('v3');
    await pause(1500);
    const later = Date.now();
    await pause(1500);
    expect(arrivalsAtNew(later)).toBe(0);
    expect(arrivalsAtOld(later)).toBeGreaterThan(0);
  });

  it('goes on when its holder is stopped midway', async () => {
    await order();
    await waitUntil(() => arrivalsAtNew() > 10);
    const first = holder();
    await installation.processes[Number(first.split('-')[1])]?.stopNow();
    const stoppedAt = Date.now();
    await waitUntil(() => holder() !== first);
    expect(Date.now() - stoppedAt).toBeLessThan(TAKEOVER_MILLISECONDS);
    expect(await settled()).toMatch(/completed|rolled_back/u);
    expect(statuses().filter(state => state === 'in_progress')).toHaveLength(1);
  });

  it('gives the new version nothing while the store is away', async () => {
    await order();
    await waitUntil(() => arrivalsAtNew() > 10);
    installation.store.faults.isDown = true;
    await pause(3500);
    const later = Date.now();
    await pause(1000);
    expect(arrivalsAtNew(later)).toBe(0);
    expect(arrivalsAtOld(later)).toBeGreaterThan(0);
    installation.store.faults.isDown = false;
    expect(await settled()).toMatch(/completed|rolled_back/u);
  });

  it('is not tried where the deployment knows no bounds for it', async () => {
    await Promise.all(installation.processes.map(started => started.stopNow()));
    installation.processes.length = 0;
    installation.callers.length = 0;
    installation.peers.length = 0;
    await installation.startProcess();
    await order();
    await waitUntil(() => arrivalsAtNew() > 10);
    expect(statuses()).toEqual([]);
  });
});
