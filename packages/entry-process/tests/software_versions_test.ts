/** Tests of streams that continue while two software versions serve. */
import type {RoutedEngineStandIn} from '@lacewingwinch/stand-ins';
import {LinkProcess} from '@lacewingwinch/stand-ins';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {type Answer, RoutedInstallation, waitUntil} from './routed_fixtures.js';
import {VersionedStreams, withSingleAttempts} from './stream_fixtures.js';

const STREAMS = 12;

/** Milliseconds for which the hosts read the list and talk to each other. */
const SETTLE_MILLISECONDS = 700;

let installation: RoutedInstallation;
let streams: VersionedStreams;

beforeEach(async () => {
  installation = await RoutedInstallation.start();
  streams = new VersionedStreams(installation);
});

afterEach(() => installation.stop());

async function startHosts(count: number): Promise<void> {
  for (let index = 0; index < count; index += 1) {
    await installation.startProcess({
      seeds: installation.peers.slice(0, 1),
    });
  }
  await settle();
}

function settle(): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, SETTLE_MILLISECONDS));
}

describe('a stream that breaks off within one answer', () => {
  it('is not continued by an engine of another software version', async () => {
    await streams.listEngine('i-2', 'v1');
    await streams.listEngine('i-3', 'v2');
    streams.breakOffFirstAttempts();
    await startHosts(1);
    for (let index = 0; index < STREAMS; index += 1) {
      const attemptId = `stream-${index}`;
      const path = `/resumed/${index}`;
      const answer = await installation.call({path, attemptId});
      expect(answer.isBroken).toBe(true);
      expect(streams.versionsThatRan(attemptId)).toHaveLength(1);
    }
  });

  it('is continued by another engine of its software version', async () => {
    await streams.listEngine('i-2', 'v1');
    await streams.listEngine('i-3', 'v2');
    await streams.listEngine('i-4', 'v1');
    await streams.listEngine('i-5', 'v2');
    streams.breakOffFirstAttempts();
    await startHosts(2);
    for (let index = 0; index < STREAMS; index += 1) {
      const attemptId = `stream-${index}`;
      const answer = await installation.call(
        {path: `/resumed/${index}`, attemptId},
        installation.callers[index % 2],
      );
      expect(answer.isBroken).toBe(false);
      const ran = streams.versionsThatRan(attemptId);
      expect(ran).toHaveLength(2);
      expect(new Set(ran).size).toBe(1);
    }
  });
});

describe('a stream that begins at a process which has just replaced another one', () => {
  it('is not continued at the software version listed before', async () => {
    await streams.listEngine('i-2', 'v1');
    const replaced: RoutedEngineStandIn[] = [];
    for (const upstreamId of ['i-3', 'i-4', 'i-5', 'i-6']) {
      replaced.push(await streams.listEngine(upstreamId, 'v1'));
    }
    await startHosts(1);
    streams.breakOffFirstAttempts();
    for (const engine of replaced) {
      engine.softwareVersion = 'v2';
      engine.restart();
    }
    await settle();
    const attemptIds = Array.from(
      {length: STREAMS},
      (_, index) => `stream-${index}`,
    );
    const answers = Promise.all(
      attemptIds.map((attemptId, index) =>
        installation.call({path: `/resumed/${index}`, attemptId}),
      ),
    );
    for (const engine of replaced) {
      const entry = engine.entry('engines');
      installation.store.put('keyed.servers', engine.upstreamId, entry);
    }
    expect((await answers).some(({isBroken}) => !isBroken)).toBe(true);
    const ran = installation.engines.flatMap(engine => engine.ran);
    for (const attemptId of attemptIds) {
      const ofStream = ran.filter(request => request.attemptId === attemptId);
      expect(
        new Set(ofStream.map(({softwareVersion}) => softwareVersion)).size,
      ).toBe(1);
    }
  });
});

describe('a stream that its client takes up at another host', () => {
  beforeEach(() => {
    installation.store.publish(withSingleAttempts());
  });

  it('is continued at its software version after its host has died', async () => {
    await streams.listEngine('i-2', 'v1');
    await streams.listEngine('i-3', 'v2');
    await streams.listEngine('i-4', 'v1');
    await streams.listEngine('i-5', 'v2');
    await startHosts(4);
    streams.breakOffFirstAttempts();
    const lastIds = new Map<string, string>();
    for (let index = 0; index < STREAMS; index += 1) {
      const attemptId = `stream-${index}`;
      lastIds.set(attemptId, await streams.startBrokenStream(attemptId, 0));
    }
    await settle();
    await installation.processes[0]?.stopNow();
    for (const [attemptId, lastId] of lastIds) {
      const answer = await streams.takeUp(attemptId, lastId, 1);
      expect(answer.status).toBe(200);
      expect(answer.isBroken).toBe(false);
      expect(streams.versionsThatRan(`${attemptId}-again`)).toEqual(
        streams.versionsThatRan(attemptId),
      );
    }
  });

  it('is not continued by a process that another one has replaced under its id', async () => {
    await streams.listEngine('i-2', 'v1');
    const other = await streams.listEngine('i-3', 'v1');
    await startHosts(2);
    const [begun] = installation.engines.filter(
      ({upstreamId}) => upstreamId === 'i-2',
    );
    streams.breakOffFirstAttempts();
    const attemptIds = Array.from(
      {length: STREAMS},
      (_, index) => `stream-${index}`,
    );
    for (const attemptId of attemptIds) {
      await streams.startBrokenStream(attemptId, 0);
    }
    const begunThere = attemptIds.filter(attemptId =>
      begun?.executedAttemptIds().includes(attemptId),
    );
    expect(begunThere.length).toBeGreaterThan(0);
    streams.withdraw('i-2');
    await settle();
    other.softwareVersion = 'v2';
    other.restart();
    for (const attemptId of begunThere) {
      const answer = await streams.takeUp(attemptId, '3', 1);
      expect(answer.status).toBe(503);
      expect(other.executedAttemptIds()).not.toContain(`${attemptId}-again`);
    }
  });

  it('does not begin at a process that another one has replaced under its id', async () => {
    await streams.listEngine('i-2', 'v1');
    const other = await streams.listEngine('i-3', 'v1');
    await startHosts(1);
    const begin = (attemptId: string): Promise<Answer> =>
      installation.call({path: '/resumed/1', attemptId});
    for (let index = 0; index < STREAMS; index += 1) {
      await begin(`before-${index}`);
    }
    expect(other.executedAttemptIds()).not.toEqual([]);
    other.softwareVersion = 'v2';
    other.restart();
    for (let index = 0; index < STREAMS; index += 1) {
      const answer = await begin(`after-${index}`);
      expect(answer.status).toBe(200);
      expect(other.executedAttemptIds()).not.toContain(`after-${index}`);
    }
    installation.store.put('keyed.servers', 'i-3', other.entry('engines'));
    streams.withdraw('i-2');
    await settle();
    expect((await begin('listed')).status).toBe(200);
    expect(other.executedAttemptIds()).toContain('listed');
  });

  it('is continued if its host notified no host while one version served', async () => {
    await streams.listEngine('i-2', 'v1');
    await streams.listEngine('i-3', 'v1');
    await startHosts(3);
    streams.breakOffFirstAttempts();
    const lastId = await streams.startBrokenStream('stream-1', 0);
    await installation.processes[0]?.stopNow();
    const answer = await streams.takeUp('stream-1', lastId, 1);
    expect(answer).toMatchObject({status: 200, isBroken: false});
  });

  it('is continued if another version has come since it broke off', async () => {
    await streams.listEngine('i-2', 'v1');
    await startHosts(3);
    streams.withdraw('i-3');
    streams.breakOffFirstAttempts();
    await settle();
    const lastId = await streams.startBrokenStream('stream-1', 0);
    await streams.listEngine('i-3', 'v2');
    await settle();
    const answer = await streams.takeUp('stream-1', lastId, 1);
    expect(answer).toMatchObject({status: 200, isBroken: false});
    expect(streams.versionsThatRan('stream-1-again')).toEqual(['v1']);
  });

  it.each([
    {name: 'is refused if no host knows where it began', resumes: 'unknown'},
    {name: 'is refused if its client names no attempt', resumes: undefined},
  ])('$name and two versions serve', async ({resumes}) => {
    await streams.listEngine('i-2', 'v1');
    await streams.listEngine('i-3', 'v2');
    await startHosts(2);
    const startedAt = Date.now();
    const answer = await installation.call({
      path: '/resumed/1',
      attemptId: 'again',
      headers: {
        'last-event-id': '2',
        ...(resumes !== undefined && {resumes}),
      },
    });
    expect(answer.status).toBe(503);
    expect(streams.versionsThatRan('again')).toEqual([]);
    expect(Date.now() - startedAt).toBeLessThan(500);
  });

  // The second host guards against histories of others that are out of step too.
  it.each([
    {fault: 'hang', hosts: 1},
    {fault: 'hang', hosts: 2},
    {fault: 'none', hosts: 1},
  ] as const)(
    'is not continued at another version by a host out of step: store link $fault, $hosts such hosts',
    async ({fault, hosts}) => {
      const first = await streams.listEngine('i-2', 'v1');
      streams.withdraw('i-3');
      const link = await LinkProcess.start([installation.store.address]);
      await installation.startProcess();
      // They do not know the first host, and read the store over a link of their own.
      for (let host = 0; host < hosts; host += 1) {
        await installation.startProcess({
          storeAddress: link.addresses[0] ?? '',
          seeds: installation.peers.slice(1, 2),
        });
      }
      await settle();
      if (fault === 'hang') {
        await link.cut('hang');
      }
      const second = await streams.listEngine('i-4', 'v2');
      second.breaksOffFirstAttempts = true;
      first.behavior = 'shed';
      await waitUntil(async () => {
        await installation.call({path: '/stream/1'});
        return second.ran.length > 0;
      });
      const lastId = await streams.startBrokenStream('stream-1', 0);
      first.behavior = 'answer';
      const answer = await streams.takeUp('stream-1', lastId, 1);
      expect(answer.status).toBe(503);
      expect(first.executedAttemptIds()).not.toContain('stream-1-again');
      await link.stop();
    },
  );

  it('is refused at once if no engine of its version is left', async () => {
    await streams.listEngine('i-2', 'v1');
    await streams.listEngine('i-3', 'v1');
    await startHosts(2);
    streams.breakOffFirstAttempts();
    const lastId = await streams.startBrokenStream('stream-1', 0);
    streams.withdraw('i-2');
    streams.withdraw('i-3');
    await streams.listEngine('i-4', 'v2');
    await waitUntil(async () => {
      const answer = await installation.call({
        path: '/stream/1',
        attemptId: 'probe',
      });
      return answer.status === 200;
    });
    await settle();
    const answer = await streams.takeUp('stream-1', lastId, 1);
    expect(answer.status).toBe(503);
    expect(streams.versionsThatRan('stream-1-again')).toEqual([]);
  });
});
