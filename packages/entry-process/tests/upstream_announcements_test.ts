/** Tests of upstreams that leave or request a pause in their answers. */
import type {RoutedEngineStandIn, StoreStandIn} from '@lacewingwinch/stand-ins';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {RoutedInstallation, waitUntil} from './routed_fixtures.js';

/** Time after a refusal within which a request may still arrive. */
const PAUSE_GRACE_MILLISECONDS = 500;
const REQUESTS = 30;

let installation: RoutedInstallation;
let store: StoreStandIn;
let first: RoutedEngineStandIn;
let second: RoutedEngineStandIn;

beforeEach(async () => {
  installation = await RoutedInstallation.start();
  store = installation.store;
  const [engine, otherEngine] = installation.engines;
  if (engine === undefined || otherEngine === undefined) {
    throw new Error('the installation has too few upstreams');
  }
  first = engine;
  second = otherEngine;
  await installation.startProcess();
});

afterEach(() => installation.stop());

/** Sends requests until each upstream of the service has executed one. */
async function useBothUpstreams(): Promise<void> {
  await waitUntil(async () => {
    await installation.call({path: '/again/1'});
    return first.ran.length > 0 && second.ran.length > 0;
  });
}

async function callRepeatedly(): Promise<readonly number[]> {
  const statuses: number[] = [];
  for (let count = 0; count < REQUESTS; count += 1) {
    const {status} = await installation.call({path: '/once/1'});
    statuses.push(status);
  }
  return statuses;
}

describe('an upstream that says in an answer that it is leaving', () => {
  beforeEach(async () => {
    first.isLeaving = true;
    await useBothUpstreams();
  });

  it('gets no further requests, although the store lists it as ready', async () => {
    const executed = first.ran.length;
    store.put('keyed.servers', 'i-0', first.entry('plain', {sequence: 9}));
    expect(new Set(await callRepeatedly())).toEqual(new Set([200]));
    expect(first.ran).toHaveLength(executed);
  });

  it('gets requests again after it has restarted under the same id', async () => {
    const executed = first.ran.length;
    first.isLeaving = false;
    store.put(
      'keyed.servers',
      'i-0',
      first.entry('plain', {born: first.bornAt + 1}),
    );
    await waitUntil(async () => {
      await installation.call({path: '/again/1'});
      return first.ran.length > executed;
    });
  });
});

describe('an upstream that refuses with a pause', () => {
  it('gets no requests before the pause ends, and then gets them again', async () => {
    await useBothUpstreams();
    first.behavior = 'shed';
    first.pauseAnnouncement = '1.5';
    const arrivals = first.arrivals.length;
    await waitUntil(async () => {
      await installation.call({path: '/once/1'});
      return first.arrivals.length > arrivals;
    });
    const pausedAt = Date.now();
    const refusedArrivals = first.arrivals.length;
    first.behavior = 'answer';
    expect(new Set(await callRepeatedly())).toEqual(new Set([200]));
    while (Date.now() < pausedAt + 1400) {
      await installation.call({path: '/once/1'});
    }
    const late = first.arrivals
      .slice(refusedArrivals)
      .filter(
        arrival =>
          arrival > pausedAt + PAUSE_GRACE_MILLISECONDS &&
          arrival < pausedAt + 1400,
      );
    expect(late).toEqual([]);
    const executed = first.ran.length;
    await waitUntil(async () => {
      await installation.call({path: '/again/1'});
      return first.ran.length > executed;
    });
  });

  it.each([
    {name: 'is waited for if its pause is short', pause: '0.4', status: 200},
    {
      name: 'has requests refused for the time of its pause',
      pause: '20',
      status: 503,
    },
  ])('$name and no other is left', async ({pause, status}) => {
    for (const engine of [first, second]) {
      engine.behavior = 'shed';
      engine.pauseAnnouncement = pause;
    }
    const refused = await installation.call({path: '/once/1', deadline: 300});
    expect(refused.status).toBe(503);
    first.behavior = 'answer';
    second.behavior = 'answer';
    const startedAt = Date.now();
    const answer = await installation.call({path: '/once/2'});
    expect(answer.status).toBe(status);
    if (status === 503) {
      expect(Number(answer.headers['retry-after'])).toBeGreaterThan(15);
      expect(Date.now() - startedAt).toBeLessThan(300);
    }
  });

  it.each(['-1', 'soon', '', 'Fri, 04 Dec 2026 09:00:00 GMT'])(
    'with the value %j gets requests at once',
    async value => {
      first.behavior = 'shed';
      second.behavior = 'shed';
      first.pauseAnnouncement = value;
      second.pauseAnnouncement = value;
      await installation.call({path: '/once/1'});
      first.behavior = 'answer';
      second.behavior = 'answer';
      const answer = await installation.call({path: '/once/2', deadline: 400});
      expect(answer.status).toBe(200);
    },
  );
});
