/**
 * Tests of upstreams in need, which name the requests a second that they take
 * from all entry hosts together: they got as many as before.
 */
import {rendezvousWinner} from '@lacewingwinch/decisions';
import {RoutedEngineStandIn} from '@lacewingwinch/stand-ins';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {type Answer, RoutedInstallation} from './routed_fixtures.js';

const HOSTS = 3;
const ENGINES = 4;

/** Milliseconds between two requests, of all hosts together. */
const REQUEST_PERIOD_MILLISECONDS = 25;

/** Milliseconds after which hosts keep to a limit that they have learned. */
const REACTION_MILLISECONDS = 3000;

const WINDOW_MILLISECONDS = 4000;

/** Share of the limit, and requests beside it, that a window may have. */
const TOLERATED_SHARE = 1.5;
const TOLERATED_REQUESTS = 5;

/** Least share of what the limits allow that has to be answered. */
const LEAST_USED_SHARE = 0.6;

/** Milliseconds within which a request is refused that cannot be served. */
const REFUSAL_MILLISECONDS = 400;

interface TimedAnswer extends Answer {
  readonly sentAt: number;
  readonly milliseconds: number;
}

let installation: RoutedInstallation;
let answers: TimedAnswer[];
let sending: AbortController;

beforeEach(async () => {
  installation = await RoutedInstallation.start();
  answers = [];
  sending = new AbortController();
  for (let index = 2; index < ENGINES; index += 1) {
    const engine = new RoutedEngineStandIn(`i-${index + 2}`);
    engine.isStreamed = true;
    await engine.listen();
    installation.engines.push(engine);
    const entry = engine.entry('engines');
    installation.store.put('keyed.servers', engine.upstreamId, entry);
  }
});

afterEach(async () => {
  sending.abort();
  await installation.stop();
});

function streamingEngines(): readonly RoutedEngineStandIn[] {
  return installation.engines.filter(({isStreamed}) => isStreamed);
}

function pause(milliseconds: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, milliseconds));
}

async function startHosts(): Promise<void> {
  for (let index = 0; index < HOSTS; index += 1) {
    await installation.startProcess({seeds: installation.peers.slice(0, 1)});
  }
  await pause(700);
}

/** Sends requests to all serving hosts in turn until the test ends. */
async function sendRequests(hosts: () => readonly string[]): Promise<void> {
  const {signal} = sending;
  for (let count = 0; !signal.aborted; count += 1) {
    const sentAt = Date.now();
    const callers = hosts();
    void installation
      .call({path: '/resumed/x'}, callers[count % callers.length])
      .then(
        answer =>
          answers.push({
            ...answer,
            sentAt,
            milliseconds: Date.now() - sentAt,
          }),
        () => undefined,
      );
    await pause(REQUEST_PERIOD_MILLISECONDS);
  }
}

/** Returns the most requests that `engine` got in a window after `since`. */
function mostInWindow(engine: RoutedEngineStandIn, since: number): number {
  const counted = engine.arrivals.filter(time => time > since);
  return Math.max(
    0,
    ...counted.map(
      start =>
        counted.filter(
          time => time >= start && time < start + WINDOW_MILLISECONDS,
        ).length,
    ),
  );
}

function toleratedInWindow(limit: number): number {
  return (
    (limit * TOLERATED_SHARE * WINDOW_MILLISECONDS) / 1000 + TOLERATED_REQUESTS
  );
}

describe('an upstream whose dispatcher leaves', () => {
  it('gets no more from the hosts that stay', async () => {
    await startHosts();
    const dispatcherId = rendezvousWinner(
      'dispatcher/engines',
      installation.processes.map((_, index) => `host-${index}`),
    );
    const dispatcher = Number(dispatcherId?.split('-')[1]);
    let callers: readonly string[] = installation.callers;
    void sendRequests(() => callers);
    await pause(1000);
    const limited = streamingEngines();
    limited.forEach(engine => {
      engine.namedLimit = '2';
    });
    const since = Date.now() + REACTION_MILLISECONDS;
    await pause(REACTION_MILLISECONDS + WINDOW_MILLISECONDS / 2);
    callers = callers.filter((_, index) => index !== dispatcher);
    await installation.processes[dispatcher]?.stopNow();
    const stoppedAt = Date.now();
    await pause(WINDOW_MILLISECONDS + 2000);
    for (const engine of limited) {
      expect(mostInWindow(engine, since)).toBeLessThanOrEqual(
        toleratedInWindow(2),
      );
    }
    const served = answers.filter(
      ({sentAt, status}) => sentAt > stoppedAt && status === 200,
    );
    expect(served.length).toBeGreaterThan(0);
  });
});

describe('an upstream that names a limit', () => {
  it.each<{
    readonly name: string;
    readonly limit: number;
    readonly limitedEngines: number;
  }>([
    {name: 'one of four', limit: 1, limitedEngines: 1},
    {name: 'two of four', limit: 0.5, limitedEngines: 2},
    {name: 'all of them', limit: 3, limitedEngines: ENGINES},
  ])(
    'gets no more from all hosts together: $name, $limit a second',
    async ({limit, limitedEngines}) => {
      await startHosts();
      void sendRequests(() => installation.callers);
      await pause(1000);
      const limited = streamingEngines().slice(0, limitedEngines);
      limited.forEach(engine => {
        engine.namedLimit = String(limit);
      });
      const since = Date.now() + REACTION_MILLISECONDS;
      await pause(REACTION_MILLISECONDS + WINDOW_MILLISECONDS + 2000);
      for (const engine of limited) {
        expect(mostInWindow(engine, since)).toBeLessThanOrEqual(
          toleratedInWindow(limit),
        );
      }
      const later = answers.filter(({sentAt}) => sentAt > since);
      const served = later.filter(({status}) => status === 200).length;
      if (limitedEngines < ENGINES) {
        expect(served).toBe(later.length);
        return;
      }
      const seconds = (Date.now() - since) / 1000;
      const capacity = limit * limitedEngines * seconds;
      expect(served / capacity).toBeGreaterThan(LEAST_USED_SHARE);
      const refused = later.filter(({status}) => status !== 200);
      for (const {status, headers, milliseconds} of refused) {
        expect(status).toBe(503);
        expect(Number(headers['retry-after'])).toBeGreaterThan(0);
        expect(milliseconds).toBeLessThan(REFUSAL_MILLISECONDS);
      }
    },
  );
});
