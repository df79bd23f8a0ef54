/**
 * Tests that the retries of all hosts together stay within their budget, while all
 * upstreams fail and hosts are killed and started again: what a process spent before
 * its end counts.
 */
import type {EngineBehavior} from '@lacewingwinch/stand-ins';
import {afterEach, beforeEach, expect, it} from 'vitest';

import {pause} from './cut_off_fixtures.js';
import {BOUNDS, RoutedInstallation} from './routed_fixtures.js';

const HOSTS = 3;

/** Retries that are allowed in a window, besides those in proportion to requests. */
const RETRY_SLACK = 60;

/** The whole test runs within one window of the budget. */
const WINDOW_MILLISECONDS = 10_000;

const REQUEST_PERIOD_MILLISECONDS = 10;
const RESTART_PERIOD_MILLISECONDS = 1100;
const RUN_MILLISECONDS = 9000;

const PLAIN_UPSTREAMS = 2;

let installation: RoutedInstallation;
/** Addresses of the hosts that run, by host. */
let callers: (string | undefined)[];

async function startHost(host: number, isFirstStart: boolean): Promise<void> {
  await installation.startProcess({
    hostId: `host-${host}`,
    seeds: installation.peers.slice(-HOSTS),
    isFirstStart,
    bounds: {
      ...BOUNDS,
      retrySlack: RETRY_SLACK,
      retryWindowMilliseconds: WINDOW_MILLISECONDS,
    },
  });
  callers[host] = installation.callers.at(-1);
}

beforeEach(async () => {
  callers = [];
  installation = await RoutedInstallation.start();
  for (let host = 0; host < HOSTS; host += 1) {
    await startHost(host, true);
  }
});

afterEach(() => installation.stop());

/** Sends requests to the running hosts in turn; returns how many were sent. */
async function sendRequests(signal: AbortSignal): Promise<number> {
  const answers: Promise<unknown>[] = [];
  for (let count = 0; !signal.aborted; count += 1) {
    const address = callers[count % HOSTS];
    if (address !== undefined) {
      answers.push(
        installation
          .call({path: '/again/x', body: `${count}`}, address)
          .catch(() => undefined),
      );
    }
    await pause(REQUEST_PERIOD_MILLISECONDS);
  }
  await Promise.all(answers);
  return answers.length;
}

/** Ends and starts the hosts in turn. */
async function restartHosts(signal: AbortSignal): Promise<void> {
  for (let count = 0; !signal.aborted; count += 1) {
    const host = count % HOSTS;
    callers[host] = undefined;
    // The processes of a host are HOSTS apart, as all start in turn.
    await installation.processes[count]?.stopNow();
    await startHost(host, false);
    await pause(RESTART_PERIOD_MILLISECONDS);
  }
}

it.each<{
  readonly behavior: EngineBehavior;
  readonly pauseAnnouncement?: string;
  readonly areRestarted: boolean;
}>([
  {behavior: 'shed', areRestarted: false},
  {behavior: 'shed', areRestarted: true},
  {behavior: 'shed', pauseAnnouncement: '0.1', areRestarted: true},
  {behavior: 'lose', areRestarted: true},
])(
  'retries stay within the budget of all hosts: $behavior, restarts $areRestarted, pause $pauseAnnouncement',
  async ({behavior, pauseAnnouncement, areRestarted}) => {
    for (const engine of installation.engines) {
      engine.behavior = behavior;
      engine.pauseAnnouncement = pauseAnnouncement;
    }
    const ending = new AbortController();
    const sending = sendRequests(ending.signal);
    const restarting = areRestarted
      ? restartHosts(ending.signal)
      : Promise.resolve();
    await pause(RUN_MILLISECONDS);
    ending.abort();
    const requests = await sending;
    await restarting;
    const arrived = installation.engines
      .slice(0, PLAIN_UPSTREAMS)
      .flatMap(engine => engine.arrived.map(({attemptId}) => attemptId));
    const repeats = arrived.length - new Set(arrived).size;
    expect(repeats).toBeGreaterThan(0);
    expect(repeats).toBeLessThanOrEqual(
      BOUNDS.retryRatio * requests + RETRY_SLACK,
    );
  },
);
