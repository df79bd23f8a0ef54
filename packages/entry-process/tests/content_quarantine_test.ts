/**
 * Tests that a host which did not hear the verdict on a content does not send it to
 * upstreams, which would crash one after the other.
 */
import {RoutedEngineStandIn} from '@lacewingwinch/stand-ins';
import {afterEach, beforeEach, expect, it} from 'vitest';

import {pause} from './cut_off_fixtures.js';
import {RoutedInstallation, waitUntil} from './routed_fixtures.js';

const HOSTS = 3;
const EXTRA_ENGINES = 4;
const CRASHING_BODY = 'crash';

/** Milliseconds between two requests with the content. */
const PERIOD_MILLISECONDS = 300;

/** Crashes after which the content is refused. */
const CRASHES = 3;

/** Milliseconds within which a verdict reaches a host that serves. */
const SPREADING_MILLISECONDS = 2000;

/** Requests that are sent to a host which missed the verdict. */
const FURTHER_REQUESTS = 4;

let installation: RoutedInstallation;

beforeEach(async () => {
  installation = await RoutedInstallation.start();
  const {engines, store} = installation;
  for (let count = 0; count < EXTRA_ENGINES; count += 1) {
    const engine = new RoutedEngineStandIn(`i-${engines.length}`);
    await engine.listen();
    engines.push(engine);
  }
  for (const engine of engines.filter(({isStreamed}) => !isStreamed)) {
    const list = (): void => {
      store.put('keyed.servers', engine.upstreamId, engine.entry('plain'));
    };
    engine.crashingBody = CRASHING_BODY;
    engine.onRestarted = list;
    list();
  }
  for (let host = 0; host < HOSTS; host += 1) {
    await startHost();
  }
});

afterEach(() => installation.stop());

async function startHost(): Promise<void> {
  await installation.startProcess({seeds: installation.peers.slice(-HOSTS)});
}

function crashCount(): number {
  return installation.engines.flatMap(({crashes}) => crashes).length;
}

async function sendCrashing(host: number): Promise<number> {
  const {status} = await installation.call(
    {path: '/once/x', body: CRASHING_BODY},
    installation.callers[host],
  );
  await pause(PERIOD_MILLISECONDS);
  return status;
}

it.each<{readonly name: string; readonly replace: () => Promise<void>}>([
  {
    name: 'one host is replaced',
    replace: async () => {
      await installation.processes[0]?.stopNow();
      await startHost();
    },
  },
  {
    name: 'every host is replaced in turn',
    replace: async () => {
      for (let host = 0; host < HOSTS; host += 1) {
        await installation.processes[host]?.stopNow();
        await startHost();
        await pause(SPREADING_MILLISECONDS);
      }
    },
  },
  {
    name: 'all hosts are replaced at once',
    replace: async () => {
      // The store has the verdict within a round of the hosts that counted it.
      await pause(SPREADING_MILLISECONDS);
      await Promise.all(
        installation.processes.map(process => process.stopNow()),
      );
      for (let host = 0; host < HOSTS; host += 1) {
        await startHost();
      }
    },
  },
])('quarantined content reaches no upstream after $name', async ({replace}) => {
  for (let host = 0; crashCount() < CRASHES; host += 1) {
    await sendCrashing(host % HOSTS);
  }
  await waitUntil(async () => (await sendCrashing(1)) === 422);
  await replace();
  await pause(SPREADING_MILLISECONDS);
  const before = crashCount();
  const last = installation.callers.length - 1;
  for (let count = 0; count < FURTHER_REQUESTS; count += 1) {
    expect(await sendCrashing(last)).toBe(422);
  }
  expect(crashCount()).toBe(before);
});
