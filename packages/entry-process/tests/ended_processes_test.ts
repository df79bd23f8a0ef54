/**
 * Tests of the answers that are under way when a host process ends: none that is cut
 * may look complete to its client.
 */
import {STREAM_EVENTS} from '@lacewingwinch/stand-ins';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {HostProcess} from './host_process.js';
import {RoutedInstallation, waitUntil} from './routed_fixtures.js';

const GRACE_PERIOD_SECONDS = 4;

/** A stream lasts longer than the grace period. */
const EVENT_INTERVAL_MILLISECONDS = 1500;

let installation: RoutedInstallation;
let host: HostProcess;

beforeEach(async () => {
  installation = await RoutedInstallation.start();
  installation.publish({timeoutMs: 15_000});
  host = await HostProcess.start({
    storeAddress: installation.store.address,
    gracePeriodSeconds: GRACE_PERIOD_SECONDS,
  });
  await host.waitUntilReady();
});

afterEach(async () => {
  await host.close();
  await installation.stop();
});

describe('a stream without a length', () => {
  it.each<{
    readonly name: string;
    readonly signals: readonly NodeJS.Signals[];
  }>([
    {name: 'of a stop whose grace period ends', signals: ['SIGTERM']},
    {name: 'of a stop with two signals', signals: ['SIGTERM', 'SIGTERM']},
    {name: 'of an error that nothing caught', signals: ['SIGUSR2']},
  ])('does not look complete at the end $name', async ({signals}) => {
    for (const engine of installation.engines) {
      engine.behavior = 'answer-unframed';
      engine.eventIntervalMilliseconds = EVENT_INTERVAL_MILLISECONDS;
    }
    const answering = installation.call(
      {path: '/stream/x', deadline: 12_000},
      host.addresses.callers,
    );
    await waitUntil(() => installation.engines.some(({ran}) => ran.length > 0));
    signals.forEach(signal => host.signal(signal));
    const answer = await answering;
    expect(answer.status).toBe(200);
    expect(answer.body.match(/^id: /gm)?.length).toBeLessThan(STREAM_EVENTS);
    expect(answer.isBroken).toBe(true);
  });
});
