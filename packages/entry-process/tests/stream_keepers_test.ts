/**
 * Tests that the origin of a stream is known after its host is lost, whatever has
 * become of the versions and of the store since it began.
 */
import type {StoreCopy} from '@lacewingwinch/stand-ins';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {pause} from './cut_off_fixtures.js';
import {RoutedInstallation} from './routed_fixtures.js';
import {VersionedStreams, withSingleAttempts} from './stream_fixtures.js';

const STREAMS = 12;

/** Half of the time for which a stream may be taken up. */
const RULE_TIMEOUT_MILLISECONDS = 6000;

/** Milliseconds for which the hosts read the list and talk to each other. */
const SETTLE_MILLISECONDS = 700;

/** Milliseconds of an outage of the store in which listings may have been missed. */
const OUTAGE_MILLISECONDS = 3000;

/** Milliseconds within which hosts act on what the store has become. */
const CONTACT_MILLISECONDS = 3000;

/** Age of the copy from which the store is restored. */
const COPY_AGE_MILLISECONDS = 500;

let installation: RoutedInstallation;
let streams: VersionedStreams;

beforeEach(async () => {
  installation = await RoutedInstallation.start();
  installation.store.publish(withSingleAttempts(RULE_TIMEOUT_MILLISECONDS));
  streams = new VersionedStreams(installation);
  await streams.listEngine('i-2', 'v1');
  await streams.listEngine('i-3', 'v1');
});

afterEach(() => installation.stop());

async function startHosts(count: number, isFirstStart = true): Promise<void> {
  const earlier = installation.processes.length;
  for (let host = 0; host < count; host += 1) {
    await installation.startProcess({
      isFirstStart,
      seeds: installation.peers.slice(earlier).slice(0, 1),
      hostId: `host-${host}`,
    });
  }
  await pause(SETTLE_MILLISECONDS);
}

async function beginStreams(): Promise<ReadonlyMap<string, string>> {
  streams.breakOffFirstAttempts();
  const lastIds = new Map<string, string>();
  for (let index = 0; index < STREAMS; index += 1) {
    const attemptId = `stream-${index}`;
    lastIds.set(attemptId, await streams.startBrokenStream(attemptId, 0));
  }
  await pause(SETTLE_MILLISECONDS);
  return lastIds;
}

/** Takes the streams up at `host`; returns how many continue at their version. */
async function takeUp(
  lastIds: ReadonlyMap<string, string>,
  host: number,
): Promise<number> {
  let continued = 0;
  for (const [attemptId, lastId] of lastIds) {
    const {status} = await streams.takeUp(attemptId, lastId, host);
    const versions = streams.versionsThatRan(`${attemptId}-again`);
    expect(streams.versionsThatRan(attemptId)).toEqual(
      expect.arrayContaining([...versions]),
    );
    continued += status === 200 ? 1 : 0;
  }
  return continued;
}

const stopHost = (host: number): Promise<void> | undefined =>
  installation.processes[host]?.stopNow();

describe('a stream whose host is lost while another version joins', () => {
  // Guards against origins that only the lost host keeps (review/12).
  it.each<{
    readonly name: string;
    readonly hosts: number;
    /** Hosts that are lost; the streams began at the first one. */
    readonly lost: readonly number[];
    readonly join: () => Promise<unknown>;
  }>([
    {
      name: 'of several hosts',
      hosts: 4,
      lost: [0],
      join: () => streams.listEngine('i-4', 'v2'),
    },
    {
      name: 'of two hosts',
      hosts: 2,
      lost: [0],
      join: () => streams.listEngine('i-4', 'v2'),
    },
    {
      name: 'and two further hosts',
      hosts: 5,
      lost: [0, 1, 2],
      join: () => streams.listEngine('i-4', 'v2'),
    },
    {
      name: 'in the place of an engine',
      hosts: 4,
      lost: [0],
      join: async () => {
        await streams.listEngine('i-4', 'v1');
        const engine = await streams.listEngine('i-2', 'v1');
        engine.restart();
        await streams.listEngine('i-2', 'v2');
      },
    },
  ])('continues at its version: $name', async ({hosts, lost, join}) => {
    await startHosts(hosts);
    const lastIds = await beginStreams();
    for (const host of lost) {
      await stopHost(host);
    }
    await join();
    await pause(SETTLE_MILLISECONDS);
    expect(await takeUp(lastIds, hosts - 1)).toBe(STREAMS);
  });
});

describe('a stream that is taken up after the store came back from an older copy', () => {
  async function drillStore(copy: StoreCopy): Promise<void> {
    const {store} = installation;
    await pause(COPY_AGE_MILLISECONDS);
    store.faults.isDown = true;
    await pause(OUTAGE_MILLISECONDS);
    store.restore(copy);
    store.faults.isDown = false;
    await pause(CONTACT_MILLISECONDS);
  }

  // Guards against origins that only the lost host keeps while the history of
  // versions has a gap (review/15).
  it.each<{
    readonly name: string;
    readonly lost: readonly number[];
    readonly hasTwoVersions: boolean;
    /** Whether the streams begin before the store is restored. */
    readonly isBegunBefore?: boolean;
  }>([
    {name: 'its host is lost', lost: [0], hasTwoVersions: false},
    {name: 'two hosts are lost', lost: [0, 1], hasTwoVersions: false},
    {name: 'all hosts are lost', lost: [0, 1, 2, 3], hasTwoVersions: false},
    {
      name: 'its host is lost, two versions serve',
      lost: [0],
      hasTwoVersions: true,
    },
    {
      name: 'all hosts are lost, two versions serve',
      lost: [0, 1, 2, 3],
      hasTwoVersions: true,
    },
    {
      name: 'all hosts are lost, it began before',
      lost: [0, 1, 2, 3],
      hasTwoVersions: false,
      isBegunBefore: true,
    },
    {
      name: 'all hosts are lost, it began before, two versions serve',
      lost: [0, 1, 2, 3],
      hasTwoVersions: true,
      isBegunBefore: true,
    },
  ])(
    'continues at its version: $name',
    async ({lost, hasTwoVersions, isBegunBefore = false}) => {
      if (hasTwoVersions) {
        await streams.listEngine('i-4', 'v2');
        await streams.listEngine('i-5', 'v2');
      }
      await startHosts(4);
      const copy = installation.store.copy();
      const begunBefore = isBegunBefore ? await beginStreams() : undefined;
      await drillStore(copy);
      const lastIds = begunBefore ?? (await beginStreams());
      for (const host of lost) {
        await stopHost(host);
      }
      if (lost.length === 4) {
        await startHosts(4, false);
      }
      expect(await takeUp(lastIds, installation.processes.length - 1)).toBe(
        STREAMS,
      );
    },
  );
});
