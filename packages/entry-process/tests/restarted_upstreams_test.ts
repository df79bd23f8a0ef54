/**
 * Tests that content which crashes upstreams is refused although these start again
 * under the ids that they had, so that fewer of them exist than it takes crashes.
 */
import {afterEach, beforeEach, expect, it} from 'vitest';

import {pause} from './cut_off_fixtures.js';
import {RoutedInstallation} from './routed_fixtures.js';

const HOSTS = 3;
const CRASHING_BODY = 'crash';

/** Milliseconds between two requests with the content, and for which they come. */
const PERIOD_MILLISECONDS = 1500;
const PLAY_MILLISECONDS = 15_000;

const RESTART_MILLISECONDS = 1000;

/** Crashes after which the hosts have the time below to react. */
const CRASHES_TO_NOTICE = 3;
const REACTION_MILLISECONDS = 3000;

/** Requests with the content that may reach upstreams after that. */
const TOLERATED_REQUESTS = 3;

let installation: RoutedInstallation;

beforeEach(async () => {
  installation = await RoutedInstallation.start();
});

afterEach(() => installation.stop());

// Guards against crashes that counted once for an id, whatever started under it.
it.each([
  {name: 'one upstream', upstreams: 1, path: '/once/x'},
  {name: 'two upstreams', upstreams: 2, path: '/once/x'},
  {
    name: 'two upstreams that are tried in turn',
    upstreams: 2,
    path: '/again/x',
  },
])(
  'content that crashes $name again and again is refused',
  async ({upstreams, path}) => {
    const {engines, store} = installation;
    const plain = engines.filter(({isStreamed}) => !isStreamed);
    const used = plain.slice(0, upstreams);
    for (const engine of plain.slice(upstreams)) {
      store.put('keyed.servers', engine.upstreamId, undefined);
    }
    for (const engine of used) {
      engine.crashingBody = CRASHING_BODY;
      engine.restartMilliseconds = RESTART_MILLISECONDS;
      engine.onRestarted = () => {
        store.put('keyed.servers', engine.upstreamId, engine.entry('plain'));
      };
    }
    for (let host = 0; host < HOSTS; host += 1) {
      await installation.startProcess({seeds: installation.peers.slice(0, 1)});
    }
    const statuses: number[] = [];
    for (
      let index = 0;
      index < PLAY_MILLISECONDS / PERIOD_MILLISECONDS;
      index += 1
    ) {
      const {status} = await installation.call(
        {path, body: CRASHING_BODY},
        installation.callers[index % HOSTS],
      );
      statuses.push(status);
      await pause(PERIOD_MILLISECONDS);
    }
    const third = used
      .flatMap(({crashes}) => crashes)
      .sort((left, right) => left - right)
      .at(CRASHES_TO_NOTICE - 1);
    const late = used
      .flatMap(({ran}) => ran)
      .filter(({at}) => at > (third ?? Infinity) + REACTION_MILLISECONDS);
    expect(third).toBeDefined();
    expect(late.length).toBeLessThanOrEqual(TOLERATED_REQUESTS);
    expect(statuses.at(-1)).toBe(422);
  },
);
