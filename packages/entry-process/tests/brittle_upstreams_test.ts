/**
 * Tests of upstreams that fall over if they have to turn away more than a few
 * requests a second: what one turned away made the next one fall.
 */
import {RoutedEngineStandIn} from '@lacewingwinch/stand-ins';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {type Answer, RoutedInstallation} from './routed_fixtures.js';

const HOSTS = 3;
const ENGINES = 5;

/** Requests that an upstream has room for, fewer than its slots. */
const ROOM = 4;

/** Milliseconds that a request takes at an upstream. */
const EXECUTION_MILLISECONDS = 250;

/** Milliseconds from the end of a request until the next one can take its place. */
const TURNAROUND_MILLISECONDS = 60;

/** Milliseconds between two requests, of all hosts together. */
const REQUEST_PERIOD_MILLISECONDS = 7;

/** Milliseconds after which hosts keep to what they have learned. */
const REACTION_MILLISECONDS = 3000;

const OBSERVATION_MILLISECONDS = 6000;

/** Falls that are tolerated in one such time, besides a share of the upstreams. */
const TOLERATED_FALLS = 2;
const TOLERATED_SHARE = 0.1;

/** Least share of what there is room for that has to be answered. */
const LEAST_USED_SHARE = 0.5;

/** Milliseconds within which a request is refused that cannot be served. */
const REFUSAL_MILLISECONDS = 500;

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
    list(engine);
  }
});

afterEach(async () => {
  sending.abort();
  await installation.stop();
});

function list(engine: RoutedEngineStandIn): void {
  const entry = engine.entry('engines');
  installation.store.put('keyed.servers', engine.upstreamId, entry);
}

function streamingEngines(): readonly RoutedEngineStandIn[] {
  return installation.engines.filter(({isStreamed}) => isStreamed);
}

function pause(milliseconds: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, milliseconds));
}

async function sendRequests(): Promise<void> {
  const {signal} = sending;
  const {callers} = installation;
  for (let count = 0; !signal.aborted; count += 1) {
    const sentAt = Date.now();
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

/**
 * Returns the requests that there was room for while the answers were observed,
 * by the time that requests took at the upstreams; it is longer than the time of
 * an execution where the processor is shared with others.
 */
function capacityOf(engines: readonly RoutedEngineStandIn[]): number {
  const ended = engines.flatMap(({ran}) => ran).length;
  const occupied = engines.reduce(
    (sum, {occupiedMilliseconds}) => sum + occupiedMilliseconds,
    0,
  );
  const perRequest =
    Math.max(EXECUTION_MILLISECONDS, occupied / Math.max(1, ended)) +
    TURNAROUND_MILLISECONDS;
  return (ENGINES * ROOM * OBSERVATION_MILLISECONDS) / perRequest;
}

describe('brittle upstreams with twice the load that they have room for', () => {
  it.each([
    {brittleness: '3', brittleEngines: ENGINES},
    {brittleness: '1.5', brittleEngines: ENGINES},
    {brittleness: '3', brittleEngines: 3},
  ])(
    'stay up: $brittleEngines of 5 tolerate $brittleness refusals a second',
    async ({brittleness, brittleEngines}) => {
      for (let host = 0; host < HOSTS; host += 1) {
        await installation.startProcess({
          seeds: installation.peers.slice(0, 1),
        });
      }
      await pause(700);
      const engines = streamingEngines();
      engines.forEach(engine => {
        engine.executionMilliseconds = EXECUTION_MILLISECONDS;
        engine.onRestarted = () => list(engine);
      });
      const brittle = engines.slice(0, brittleEngines);
      brittle.forEach(engine => {
        engine.brittleness = brittleness;
      });
      void sendRequests();
      await pause(REACTION_MILLISECONDS);
      const countsFrom = Date.now();
      engines.forEach(engine => {
        engine.room = ROOM;
      });
      await pause(OBSERVATION_MILLISECONDS);
      const falls = brittle.flatMap(({crashes}) => crashes).length;
      expect(falls).toBeLessThanOrEqual(
        TOLERATED_FALLS + brittle.length * TOLERATED_SHARE,
      );
      const later = answers.filter(({sentAt}) => sentAt >= countsFrom);
      const served = later.filter(({status}) => status === 200).length;
      expect(served / capacityOf(engines)).toBeGreaterThan(LEAST_USED_SHARE);
      for (const {status, headers, milliseconds} of later) {
        if (status === 503) {
          expect(Number(headers['retry-after'])).toBeGreaterThan(0);
          expect(milliseconds).toBeLessThan(REFUSAL_MILLISECONDS);
        }
      }
    },
  );
});
