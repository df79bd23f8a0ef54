/**
 * Tests of the loss of the dispatcher of a service while more is requested than
 * its engines can read: no request waits for a dispatcher that is gone, and
 * what is refused has not run.
 */
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';

import {dispatcherOrder} from '@lacewingwinch/decisions';
import {
  freeLoopbackAddresses,
  settingsEnvironment,
  settingsFileText,
  type StartedProcess,
  startProcess,
  waitUntilReady,
} from '@lacewingwinch/stand-ins';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {pause} from './cut_off_fixtures.js';
import {
  type Answer,
  CONFIGURATION,
  RoutedInstallation,
} from './routed_fixtures.js';

/** The built program, as `npm run build` leaves it. */
const PROGRAM = fileURLToPath(new URL('../dist/main.js', import.meta.url));

const FRONTS = 2;

/** Milliseconds between two requests, which need twice the capacity. */
const REQUEST_PERIOD_MILLISECONDS = 25;

/** Milliseconds for which the load lasts before and after the loss. */
const LOAD_MILLISECONDS = 2500;

const DEADLINE_MILLISECONDS = 3000;

/**
 * Milliseconds for which a refused client may be kept waiting: two calls to
 * dispatchers that do not answer, on a busy machine.
 */
const LONGEST_REFUSAL_MILLISECONDS = 500;

/** A service so large that its requests are admitted by rank. */
const MODEL_CONFIGURATION = {
  ...CONFIGURATION,
  services: CONFIGURATION.services.map(service => ({
    ...service,
    ...(service.name === 'engines' && {
      engine: {slots: 64, kvCacheTokens: 500_000},
      scaling: {minimum: 1, maximum: 100, bootTimeS: 4},
    }),
  })),
};

interface Try {
  readonly attemptId: string;
  readonly sentAt: number;
  readonly milliseconds: number;
  /** Undefined if the connection failed before an answer began. */
  readonly answer: Answer | undefined;
}

let installation: RoutedInstallation;
let dispatcher: StartedProcess | undefined;
let folder: string;
let tries: Try[];

/** Returns an id with which a host dispatches the service for the others. */
function dispatcherId(): string {
  const fronts = installation.processes.map((_, index) => `host-${index}`);
  for (let index = 0; ; index += 1) {
    const hostId = `dispatcher-${index}`;
    const [winner] = dispatcherOrder({id: 'engines'}, [...fronts, hostId], 1);
    if (winner === hostId) {
      return hostId;
    }
  }
}

async function startDispatcher(): Promise<void> {
  const addresses = await freeLoopbackAddresses();
  const settings = join(folder, 'settings.toml');
  writeFileSync(
    settings,
    settingsFileText(dispatcherId(), addresses, installation.store.address, {
      seeds: installation.peers,
    }),
  );
  dispatcher = startProcess('dispatcher', PROGRAM, ['serve-routes'], {
    ...settingsEnvironment(settings),
  });
  dispatcher.child.stdout?.resume();
  await waitUntilReady(dispatcher, addresses);
}

async function send(index: number): Promise<void> {
  const attemptId = `try-${index}`;
  const sentAt = Date.now();
  const answer = await installation
    .call(
      {
        path: '/stream/x',
        attemptId,
        deadline: DEADLINE_MILLISECONDS,
        body: attemptId,
        headers: {
          'x-prompt-prefix': `a${index % 6}:2000,b${index}:4000`,
          'x-token-count': '6000,10',
        },
      },
      installation.callers[index % FRONTS],
    )
    .catch(() => undefined);
  tries.push({attemptId, sentAt, milliseconds: Date.now() - sentAt, answer});
}

/** Sends requests for a while, and resolves when all are answered. */
async function sendLoad(onHalfway: () => void): Promise<void> {
  const requests: Promise<void>[] = [];
  const count = (2 * LOAD_MILLISECONDS) / REQUEST_PERIOD_MILLISECONDS;
  for (let index = 0; index < count; index += 1) {
    if (index === count / 2) {
      onHalfway();
    }
    requests.push(send(index));
    await pause(REQUEST_PERIOD_MILLISECONDS);
  }
  await Promise.all(requests);
}

beforeEach(async () => {
  tries = [];
  folder = mkdtempSync(join(tmpdir(), 'dispatcher-'));
  installation = await RoutedInstallation.start();
  installation.store.put('keyed.op', 'config', MODEL_CONFIGURATION);
  installation.engines.forEach(engine => {
    engine.executionMilliseconds = 150;
  });
  for (let count = 0; count < FRONTS; count += 1) {
    await installation.startProcess({
      seeds: installation.peers.slice(0, 1),
      duties: [],
    });
  }
  await startDispatcher();
  await pause(1500);
});

afterEach(async () => {
  dispatcher?.child.kill('SIGKILL');
  await dispatcher?.exited;
  dispatcher = undefined;
  await installation.stop();
  rmSync(folder, {recursive: true});
});

describe('the loss of a dispatcher under a full queue', () => {
  it.each([
    {name: 'killed', signal: 'SIGKILL' as const},
    {name: 'frozen', signal: 'SIGSTOP' as const},
  ])('leaves no request waiting when it is $name', async ({signal}) => {
    let lostAt = Infinity;
    await sendLoad(() => {
      lostAt = Date.now();
      dispatcher?.child.kill(signal);
    });
    const ran = new Set(
      installation.engines.flatMap(engine => engine.executedAttemptIds()),
    );
    const refused = tries.filter(({answer}) => answer?.status === 503);
    const statuses = new Set(tries.map(({answer}) => answer?.status));

    expect([...statuses].sort()).toEqual([200, 503]);
    expect(refused.filter(({attemptId}) => ran.has(attemptId))).toEqual([]);
    for (const isBefore of [true, false]) {
      const phase = tries.filter(({sentAt}) => sentAt < lostAt === isBefore);
      const served = phase.filter(({answer}) => answer?.status === 200);
      expect(served.length).toBeGreaterThan(phase.length / 5);
      expect(served.length).toBeLessThan(phase.length);
    }
    expect(
      Math.max(...refused.map(({milliseconds}) => milliseconds)),
    ).toBeLessThan(LONGEST_REFUSAL_MILLISECONDS);
  });
});
