/**
 * Tests that the origin of a stream is that of the process which began it, also if
 * that process has replaced another one under its id and is not listed yet.
 */
import type {RoutedEngineStandIn} from '@lacewingwinch/stand-ins';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {pause} from './cut_off_fixtures.js';
import {RoutedInstallation} from './routed_fixtures.js';
import {VersionedStreams, withSingleAttempts} from './stream_fixtures.js';

const HOSTS = 3;
const STREAMS = 12;

/** Milliseconds for which the hosts read the list and talk to each other. */
const SETTLE_MILLISECONDS = 700;

/** Milliseconds after which a host has closed its idle connections. */
const IDLE_MILLISECONDS = 4500;

/** Milliseconds by which the clock of an engine is off. */
const CLOCK_ERROR_MILLISECONDS = 250;

let installation: RoutedInstallation;
let streams: VersionedStreams;

beforeEach(async () => {
  installation = await RoutedInstallation.start();
  installation.store.publish(withSingleAttempts());
  streams = new VersionedStreams(installation);
});

afterEach(() => installation.stop());

async function startHosts(): Promise<void> {
  for (let host = 0; host < HOSTS; host += 1) {
    await installation.startProcess({seeds: installation.peers.slice(0, 1)});
  }
  await pause(SETTLE_MILLISECONDS);
}

function list(engine: RoutedEngineStandIn): void {
  const entry = engine.entry('engines');
  installation.store.put('keyed.servers', engine.upstreamId, entry);
}

function startAgain(engine: RoutedEngineStandIn, version: string): void {
  engine.softwareVersion = version;
  engine.restart();
}

/** Returns the software versions of the processes that ran a stream. */
function versionsOf(attemptId: string): ReadonlySet<string> {
  return new Set(
    [attemptId, `${attemptId}-again`].flatMap(id =>
      streams.versionsThatRan(id),
    ),
  );
}

interface Replacement {
  readonly name: string;
  /** What the host did at the engines before. */
  readonly before?: () => Promise<void>;
  readonly replace: (engine: RoutedEngineStandIn) => Promise<void> | void;
  /** What happens between the beginnings of the streams and their taking up. */
  readonly listed?: (engine: RoutedEngineStandIn) => Promise<void> | void;
  /** Whether the host that began the streams is lost. */
  readonly isHostLost: boolean;
}

const replaceOnce = (engine: RoutedEngineStandIn): void =>
  startAgain(engine, 'v2');

describe('a stream that begins as an engine starts again in its place', () => {
  // Guards against origins that state the version that was listed before (review/11).
  it.each<Replacement>([
    {
      name: 'its host is lost',
      replace: replaceOnce,
      isHostLost: true,
    },
    {
      name: 'its host stays',
      replace: replaceOnce,
      isHostLost: false,
    },
    {
      name: 'the host had closed its idle connections to the engine',
      before: async () => {
        for (let index = 0; index < STREAMS; index += 1) {
          await installation.call({path: '/resumed/before'});
        }
        await pause(IDLE_MILLISECONDS);
      },
      replace: replaceOnce,
      isHostLost: true,
    },
    {
      name: 'the clock of the engine is slow',
      replace: engine => {
        startAgain(engine, 'v2');
        engine.bornAt -= CLOCK_ERROR_MILLISECONDS;
      },
      isHostLost: true,
    },
    {
      name: 'the clock of the engine is fast',
      replace: engine => {
        startAgain(engine, 'v2');
        engine.bornAt += CLOCK_ERROR_MILLISECONDS;
      },
      isHostLost: true,
    },
    {
      name: 'the engine starts a second time before its first entry is read',
      replace: replaceOnce,
      listed: engine => {
        list(engine);
        startAgain(engine, 'v3');
        list(engine);
      },
      isHostLost: true,
    },
    {
      name: 'the engine goes back to its first version',
      replace: replaceOnce,
      listed: engine => {
        list(engine);
        startAgain(engine, 'v1');
        list(engine);
      },
      isHostLost: true,
    },
    {
      name: 'the entry is written late',
      replace: replaceOnce,
      listed: async engine => {
        await pause(SETTLE_MILLISECONDS);
        list(engine);
      },
      isHostLost: false,
    },
    {
      name: 'the store is away until it is taken up',
      replace: engine => {
        installation.store.faults.isDown = true;
        startAgain(engine, 'v2');
      },
      listed: () => undefined,
      isHostLost: true,
    },
  ])(
    'is continued at one software version: $name',
    async ({before, replace, listed = list, isHostLost}) => {
      await streams.listEngine('i-2', 'v1');
      const engine = await streams.listEngine('i-3', 'v1');
      await startHosts();
      await before?.();
      await replace(engine);
      streams.breakOffFirstAttempts();
      const lastIds = new Map<string, string>();
      for (let index = 0; index < STREAMS; index += 1) {
        const attemptId = `stream-${index}`;
        lastIds.set(attemptId, await streams.startBrokenStream(attemptId, 0));
      }
      await listed(engine);
      if (isHostLost) {
        await pause(SETTLE_MILLISECONDS);
        await installation.processes[0]?.stopNow();
      }
      for (const [attemptId, lastId] of lastIds) {
        await streams.takeUp(attemptId, lastId, isHostLost ? 1 : 0);
        expect(versionsOf(attemptId).size).toBe(1);
      }
    },
  );
});

describe('a stream', () => {
  it.each([
    {name: 'has started anew and is listed since', starts: 1, status: 200},
    {name: 'has started anew twice', starts: 2, status: 200},
    {name: 'does not report its start', starts: 0, status: 503},
  ])(
    'begins at the only engine, which $name, and is taken up with $status',
    async ({starts, status}) => {
      const engine = await streams.listEngine('i-3', 'v1');
      streams.withdraw('i-2');
      await startHosts();
      await installation.call({path: '/resumed/before'});
      if (starts === 0) {
        engine.report = Buffer.from('{}');
        engine.dropConnections();
      }
      for (let start = 0; start < starts; start += 1) {
        startAgain(engine, 'v2');
        list(engine);
      }
      streams.breakOffFirstAttempts();
      const lastId = await streams.startBrokenStream('stream-1', 0);
      await pause(SETTLE_MILLISECONDS);
      await installation.processes[0]?.stopNow();
      expect(await streams.takeUp('stream-1', lastId, 1)).toMatchObject({
        status,
      });
      expect(versionsOf('stream-1').size).toBe(1);
    },
  );
});
