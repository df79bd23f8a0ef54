/**
 * Tests of streams that are taken up after every entry host has ended: all of them
 * were refused for two timeouts, although what began them was certain.
 */
import type {StoreCopy} from '@lacewingwinch/stand-ins';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {pause} from './cut_off_fixtures.js';
import {RoutedInstallation} from './routed_fixtures.js';
import {VersionedStreams, withSingleAttempts} from './stream_fixtures.js';

const HOSTS = 3;
const STREAMS = 12;

/** Milliseconds for which the hosts read the list and write what they know. */
const SETTLE_MILLISECONDS = 900;

/** Milliseconds from the readiness of the hosts until they end again. */
const SHORT_LIFE_MILLISECONDS = 200;

/** Milliseconds for which a stream may be taken up: two timeouts of its rule. */
const LIFETIME_MILLISECONDS = 4000;

let installation: RoutedInstallation;
let streams: VersionedStreams;

beforeEach(async () => {
  installation = await RoutedInstallation.start();
  streams = new VersionedStreams(installation);
  installation.store.publish(withSingleAttempts());
});

afterEach(() => installation.stop());

async function startHosts(isFirstStart: boolean): Promise<void> {
  const earlier = installation.processes.length;
  for (let host = 0; host < HOSTS; host += 1) {
    await installation.startProcess({
      isFirstStart,
      seeds: installation.peers.slice(earlier).slice(0, 1),
      hostId: `host-${host}`,
    });
  }
}

async function endAllHosts(): Promise<void> {
  await Promise.all(installation.processes.map(process => process.stopNow()));
}

/** Starts streams that break off; returns the last event id of each. */
async function startBrokenStreams(
  name = 'stream',
): Promise<ReadonlyMap<string, string>> {
  streams.breakOffFirstAttempts();
  const lastIds = new Map<string, string>();
  const firstHost = installation.callers.length - HOSTS;
  for (let index = 0; index < STREAMS; index += 1) {
    const attemptId = `${name}-${index}`;
    const host = firstHost + (index % HOSTS);
    lastIds.set(attemptId, await streams.startBrokenStream(attemptId, host));
  }
  return lastIds;
}

interface TakenUp {
  /** Streams that continued at their own software version, by version. */
  readonly continued: Readonly<Record<string, number>>;
  readonly refused: number;
  /** Streams that continued at another software version. */
  readonly joined: number;
}

/** Takes streams up at the hosts that were started last. */
async function takeUpAll(
  lastIds: ReadonlyMap<string, string>,
): Promise<TakenUp> {
  const last = installation.callers.length - 1;
  const continued: Record<string, number> = {};
  let refused = 0;
  let joined = 0;
  for (const [attemptId, lastId] of lastIds) {
    const {status} = await streams.takeUp(attemptId, lastId, last);
    const [version = ''] = streams.versionsThatRan(attemptId);
    const ran = streams.versionsThatRan(`${attemptId}-again`);
    refused += status === 503 ? 1 : 0;
    joined += ran.some(other => other !== version) ? 1 : 0;
    if (status === 200 && ran.includes(version)) {
      continued[version] = (continued[version] ?? 0) + 1;
    }
  }
  return {continued, refused, joined};
}

describe('streams that are taken up after all hosts have ended', () => {
  it.each<{readonly name: string; readonly end: () => Promise<void>}>([
    {
      name: 'at once',
      end: async () => {
        await endAllHosts();
        await startHosts(false);
      },
    },
    {
      name: 'twice, the second time just after they were ready',
      end: async () => {
        await endAllHosts();
        await startHosts(false);
        await pause(SHORT_LIFE_MILLISECONDS);
        await endAllHosts();
        await startHosts(false);
      },
    },
    {
      name: 'one after the other',
      end: async () => {
        for (let host = 0; host < HOSTS; host += 1) {
          await installation.startProcess({
            isFirstStart: false,
            seeds: installation.peers.slice(-HOSTS),
          });
          await pause(SHORT_LIFE_MILLISECONDS);
          await installation.processes[host]?.stopNow();
        }
      },
    },
    {
      name: 'while the store was away as they started',
      end: async () => {
        await endAllHosts();
        installation.store.faults.isDown = true;
        const started = startHosts(false);
        await pause(SETTLE_MILLISECONDS);
        installation.store.faults.isDown = false;
        await started;
      },
    },
  ])('continue where one version ever served: $name', async ({end}) => {
    await streams.listEngine('i-2', 'v1');
    await streams.listEngine('i-3', 'v1');
    await startHosts(true);
    await pause(SETTLE_MILLISECONDS);
    const lastIds = await startBrokenStreams();
    await end();
    await pause(SHORT_LIFE_MILLISECONDS);
    expect(await takeUpAll(lastIds)).toEqual({
      continued: {v1: STREAMS},
      refused: 0,
      joined: 0,
    });
  });

  it.each([{deaths: 1}, {deaths: 2}])(
    'continue each at its own of two versions side by side, after $deaths ends',
    async ({deaths}) => {
      for (const [id, version] of [
        ['i-2', 'v1'],
        ['i-3', 'v2'],
        ['i-4', 'v1'],
        ['i-5', 'v2'],
      ] as const) {
        await streams.listEngine(id, version);
      }
      await startHosts(true);
      await pause(SETTLE_MILLISECONDS);
      const lastIds = await startBrokenStreams();
      await pause(SETTLE_MILLISECONDS);
      for (let death = 0; death < deaths; death += 1) {
        await endAllHosts();
        await startHosts(false);
        await pause(SHORT_LIFE_MILLISECONDS);
      }
      const {continued, refused, joined} = await takeUpAll(lastIds);
      expect({refused, joined}).toEqual({refused: 0, joined: 0});
      expect((continued['v1'] ?? 0) + (continued['v2'] ?? 0)).toBe(STREAMS);
    },
  );

  it('continue at their version if another one joined just before', async () => {
    await streams.listEngine('i-2', 'v1');
    await streams.listEngine('i-3', 'v1');
    await startHosts(true);
    await pause(SETTLE_MILLISECONDS);
    const lastIds = await startBrokenStreams();
    await streams.listEngine('i-4', 'v2');
    await pause(SETTLE_MILLISECONDS);
    await endAllHosts();
    await startHosts(false);
    await pause(SHORT_LIFE_MILLISECONDS);
    expect(await takeUpAll(lastIds)).toEqual({
      continued: {v1: STREAMS},
      refused: 0,
      joined: 0,
    });
  });
});

describe('streams of a version that went while no host ran', () => {
  it('are not continued at the version that is left', async () => {
    await streams.listEngine('i-2', 'v1');
    await streams.listEngine('i-3', 'v2');
    await startHosts(true);
    await pause(SETTLE_MILLISECONDS);
    const lastIds = await startBrokenStreams();
    await pause(SETTLE_MILLISECONDS);
    await endAllHosts();
    streams.withdraw('i-3');
    await startHosts(false);
    await pause(SHORT_LIFE_MILLISECONDS);
    const {continued, refused, joined} = await takeUpAll(lastIds);
    expect(joined).toBe(0);
    expect(continued['v2']).toBe(undefined);
    expect((continued['v1'] ?? 0) + refused).toBe(STREAMS);
    expect(continued['v1']).toBeGreaterThan(0);
    expect(refused).toBeGreaterThan(0);
  });
});

describe('after the store came back from an older copy', () => {
  it('streams are refused until two timeouts have passed', async () => {
    await streams.listEngine('i-2', 'v1');
    await streams.listEngine('i-3', 'v1');
    await startHosts(true);
    await pause(SETTLE_MILLISECONDS);
    const copy: StoreCopy = installation.store.copy();
    await streams.listEngine('i-3', 'v2');
    await pause(SETTLE_MILLISECONDS);
    const lastIds = await startBrokenStreams();
    await endAllHosts();
    // The copy knows of one version, and the other one is not listed any more.
    installation.store.restore(copy);
    streams.withdraw('i-3');
    await startHosts(false);
    await pause(SHORT_LIFE_MILLISECONDS);
    const {refused, joined} = await takeUpAll(lastIds);
    expect({refused, joined}).toEqual({refused: STREAMS, joined: 0});
    await pause(LIFETIME_MILLISECONDS + SETTLE_MILLISECONDS);
    const later = await startBrokenStreams('later');
    await endAllHosts();
    await startHosts(false);
    await pause(SHORT_LIFE_MILLISECONDS);
    expect((await takeUpAll(later)).continued['v1']).toBe(STREAMS);
  });
});
