/**
 * Tests that content which crashes upstreams is refused while other requests try the
 * crashed upstreams too, so that hosts take themselves for cut off or have just
 * failed to carry a request there.
 */
import {RoutedEngineStandIn} from '@lacewingwinch/stand-ins';
import {afterEach, beforeEach, expect, it} from 'vitest';

import {pause} from './cut_off_fixtures.js';
import {RoutedInstallation} from './routed_fixtures.js';

const CRASHING_BODY = 'crash';
const EXTRA_UPSTREAMS = 2;

/** Milliseconds between two requests with the content, and for which they come. */
const PERIOD_MILLISECONDS = 1500;
const PLAY_MILLISECONDS = 18_000;

/** Milliseconds between two other requests, and that one takes. */
const SOUND_PERIOD_MILLISECONDS = 30;
const EXECUTION_MILLISECONDS = 43;

/** Contents that sound requests share, which run beside the crashes. */
const CONTENTS = 20;

const RESTART_MILLISECONDS = 2000;

/** Crashes after which the hosts have the time below to react. */
const CRASHES_TO_NOTICE = 3;
const REACTION_MILLISECONDS = 3000;

/** Requests with the content that may reach upstreams after that. */
const TOLERATED_REQUESTS = 3;

let installation: RoutedInstallation;
let sending: AbortController;
/** Statuses of the sound requests. */
let soundStatuses: number[];

beforeEach(async () => {
  installation = await RoutedInstallation.start();
  sending = new AbortController();
  soundStatuses = [];
});

afterEach(async () => {
  sending.abort();
  await installation.stop();
});

/** Starts plain upstreams that crash under the content, and returns all of them. */
async function startUpstreams(): Promise<readonly RoutedEngineStandIn[]> {
  const {engines, store} = installation;
  for (let count = 0; count < EXTRA_UPSTREAMS; count += 1) {
    const engine = new RoutedEngineStandIn(`i-${engines.length}`);
    await engine.listen();
    engines.push(engine);
  }
  const plain = engines.filter(({isStreamed}) => !isStreamed);
  for (const engine of plain) {
    const list = (): void => {
      store.put('keyed.servers', engine.upstreamId, engine.entry('plain'));
    };
    engine.crashingBody = CRASHING_BODY;
    engine.executionMilliseconds = EXECUTION_MILLISECONDS;
    engine.restartMilliseconds = RESTART_MILLISECONDS;
    engine.onRestarted = list;
    list();
  }
  return plain;
}

/** Sends sound requests to all hosts in turn until the test ends. */
async function sendSoundRequests(): Promise<void> {
  const {callers} = installation;
  for (let count = 0; !sending.signal.aborted; count += 1) {
    const address = callers[count % callers.length];
    installation
      .call({path: '/again/x', body: `sound ${count % CONTENTS}`}, address)
      .then(({status}) => soundStatuses.push(status))
      .catch(() => undefined);
    await pause(SOUND_PERIOD_MILLISECONDS);
  }
}

// Guards against crashes that were not counted for want of a host to confirm them.
it.each([{hosts: 1}, {hosts: 2}, {hosts: 3}])(
  'content that crashes upstreams beside other requests at $hosts hosts is refused',
  async ({hosts}) => {
    const upstreams = await startUpstreams();
    for (let host = 0; host < hosts; host += 1) {
      await installation.startProcess({seeds: installation.peers.slice(0, 1)});
    }
    await pause(500);
    void sendSoundRequests();
    const statuses: number[] = [];
    const periods = PLAY_MILLISECONDS / PERIOD_MILLISECONDS;
    for (let index = 0; index < periods; index += 1) {
      const {status} = await installation.call(
        {path: '/again/x', body: CRASHING_BODY},
        installation.callers[index % hosts],
      );
      statuses.push(status);
      await pause(PERIOD_MILLISECONDS);
    }
    const third = upstreams
      .flatMap(({crashes}) => crashes)
      .sort((left, right) => left - right)
      .at(CRASHES_TO_NOTICE - 1);
    const late = upstreams
      .flatMap(({ran}) => ran)
      .filter(
        ({at, body}) =>
          body === CRASHING_BODY &&
          at > (third ?? Infinity) + REACTION_MILLISECONDS,
      );
    expect(third).toBeDefined();
    expect(late.length).toBeLessThanOrEqual(TOLERATED_REQUESTS);
    expect(statuses.at(-1)).toBe(422);
    expect(soundStatuses).toContain(200);
    expect(soundStatuses).not.toContain(422);
  },
);
