/**
 * Tests of requests that crash upstreams between two events of an answer that ends with
 * its connection. Such an end looks like that of a sound answer.
 */
import {RoutedEngineStandIn} from '@lacewingwinch/stand-ins';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {pause} from './cut_off_fixtures.js';
import {RoutedInstallation} from './routed_fixtures.js';

const HOSTS = 3;
const ENGINES = 4;
const COMINGS = 14;
const PERIOD_MILLISECONDS = 1000;
const RESTART_MILLISECONDS = 1000;
const SOUND_PERIOD_MILLISECONDS = 100;

/** Crashes after which hosts have the time below to react. */
const CRASHES_TO_NOTICE = 3;

/** Milliseconds after which hosts refuse what has crashed enough upstreams. */
const REACTION_MILLISECONDS = 3000;

/** Requests that may reach upstreams after that. */
const TOLERATED_REQUESTS = 3;

const CRASHING_BODY = 'crash';
const CRASHING_PART = 'cc';

let installation: RoutedInstallation;
let engines: RoutedEngineStandIn[];

beforeEach(async () => {
  installation = await RoutedInstallation.start();
  engines = installation.engines.filter(({isStreamed}) => isStreamed);
  while (engines.length < ENGINES) {
    const engine = new RoutedEngineStandIn(`i-more-${engines.length}`);
    engine.isStreamed = true;
    await engine.listen();
    installation.engines.push(engine);
    engines.push(engine);
  }
  for (const engine of engines) {
    engine.behavior = 'answer-unframed';
    engine.crashAfterEvents = 2;
    engine.restartMilliseconds = RESTART_MILLISECONDS;
    engine.onRestarted = () => list(engine);
    list(engine);
  }
  for (let host = 0; host < HOSTS; host += 1) {
    await installation.startProcess({seeds: installation.peers.slice(0, 1)});
  }
  await pause(700);
});

afterEach(() => installation.stop());

function list(engine: RoutedEngineStandIn): void {
  const entry = engine.entry('engines');
  installation.store.put('keyed.servers', engine.upstreamId, entry);
}

/** Sends sound requests until `signal` aborts; returns how many were whole. */
async function sendSoundRequests(
  signal: AbortSignal,
): Promise<{readonly whole: number; readonly sent: number}> {
  let whole = 0;
  let sent = 0;
  const answers: Promise<void>[] = [];
  while (!signal.aborted) {
    sent += 1;
    const path = `/stream/${sent}`;
    const caller = installation.callers[sent % HOSTS];
    const headers = {'x-prompt-prefix': `aa:100,${sent}:10`};
    answers.push(
      installation.call({path, body: path, headers}, caller).then(answer => {
        whole += answer.body.includes('id: 6\n') ? 1 : 0;
      }),
    );
    await pause(SOUND_PERIOD_MILLISECONDS);
  }
  await Promise.all(answers);
  return {whole, sent};
}

// Guards against crashes that were taken for the ends of sound answers (review/13).
describe('a request that crashes upstreams between two events', () => {
  it.each([
    {
      name: 'its content',
      prepare: (engine: RoutedEngineStandIn) => {
        engine.crashingBody = CRASHING_BODY;
      },
      requestOf: () => ({body: CRASHING_BODY}),
    },
    {
      name: 'a part of its prompt',
      prepare: (engine: RoutedEngineStandIn) => {
        engine.crashingParts = new Set([CRASHING_PART]);
      },
      requestOf: (coming: number) => ({
        body: `coming ${coming}`,
        headers: {
          'x-prompt-prefix': `aa:100,${CRASHING_PART}:100,${coming}:10`,
        },
      }),
    },
  ])('is refused by $name', async ({prepare, requestOf}) => {
    engines.forEach(prepare);
    const sending = new AbortController();
    const sound = sendSoundRequests(sending.signal);
    await pause(PERIOD_MILLISECONDS);
    for (let coming = 0; coming < COMINGS; coming += 1) {
      const caller = installation.callers[coming % HOSTS];
      const request = {path: '/stream/bad', ...requestOf(coming)};
      void installation.call(request, caller).catch(() => undefined);
      await pause(PERIOD_MILLISECONDS);
    }
    sending.abort();
    const {whole, sent} = await sound;
    const crashes = engines
      .flatMap(engine => engine.crashes)
      .sort((left, right) => left - right);
    const noticedAt = crashes[CRASHES_TO_NOTICE - 1] ?? 0;
    const late = crashes.filter(at => at > noticedAt + REACTION_MILLISECONDS);
    expect(crashes.length).toBeGreaterThanOrEqual(CRASHES_TO_NOTICE);
    expect(late.length).toBeLessThanOrEqual(TOLERATED_REQUESTS);
    // At most what ran at the upstreams that crashed.
    expect(sent - whole).toBeLessThan(sent / 4);
  });
});
