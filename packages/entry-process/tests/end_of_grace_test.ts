/**
 * Tests of requests that a planned stop finds at work or that come late in its grace
 * period: each gets an answer, and one that promises "not run" is true.
 */
import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {pause} from './cut_off_fixtures.js';
import {HostProcess} from './host_process.js';
import {type Answer, RoutedInstallation, waitUntil} from './routed_fixtures.js';

const SECOND_MILLISECONDS = 1000;

/** Milliseconds by which the process must have ended before the grace period does. */
const MARGIN_MILLISECONDS = 50;

/** Milliseconds between two requests after the stop signal. */
const REQUEST_PERIOD_MILLISECONDS = 100;

let installation: RoutedInstallation;
let host: HostProcess | undefined;

beforeEach(async () => {
  installation = await RoutedInstallation.start();
  installation.publish({timeoutMs: 15_000});
});

afterEach(async () => {
  await host?.close();
  await installation.stop();
});

async function startHost(gracePeriodSeconds: number): Promise<HostProcess> {
  host = await HostProcess.start({
    storeAddress: installation.store.address,
    gracePeriodSeconds,
  });
  await host.waitUntilReady();
  return host;
}

function call(path: string): Promise<Answer> {
  return installation.call({path, deadline: 12_000}, host?.addresses.callers);
}

describe('a request that a stop finds at work', () => {
  it.each([
    {path: '/once/x', grace: 4},
    {path: '/again/x', grace: 4},
    {path: '/resumed/x', grace: 4},
    {path: '/once/x', grace: 2},
  ])('is answered at the end of $grace s: $path', async ({path, grace}) => {
    const {signal, started} = await startHost(grace).then(process => ({
      signal: () => process.signal('SIGTERM'),
      started: process.started,
    }));
    installation.engines.forEach(engine => {
      engine.behavior = 'hang';
    });
    const answering = call(path);
    await waitUntil(() => installation.engines.some(({ran}) => ran.length > 0));
    const signalledAt = Date.now();
    signal();
    const answer = await answering;
    expect(answer.status).toBe(502);
    expect(JSON.parse(answer.body)).toMatchObject({ran: 'unknown'});
    expect(await started.exited).toBe(0);
    expect(Date.now() - signalledAt).toBeLessThan(
      grace * SECOND_MILLISECONDS - MARGIN_MILLISECONDS,
    );
  });
});

describe('an answer whose client reads slowly', () => {
  /** More than the kernel buffers of both ends hold. */
  const PADDING_BYTES = 7_500_000;

  /** Milliseconds for which the client reads nothing; the stop begins in them. */
  const PAUSE_MILLISECONDS = 4000;

  it.each(['answer', 'answer-unframed'] as const)(
    'is whole after a planned stop: %s',
    async behavior => {
      const stopping = await startHost(8);
      installation.engines.forEach(engine => {
        engine.paddingBytes = PADDING_BYTES;
        engine.behavior = behavior;
      });
      let hasPaused = false;
      const answering = installation.call(
        {path: '/once/x', deadline: 12_000},
        stopping.addresses.callers,
        request => {
          request.on('response', response => {
            response.once('data', () => {
              hasPaused = true;
              response.pause();
              setTimeout(() => response.resume(), PAUSE_MILLISECONDS);
            });
          });
        },
      );
      await waitUntil(() => hasPaused);
      await pause(REQUEST_PERIOD_MILLISECONDS);
      stopping.signal('SIGTERM');
      const answer = await answering;
      expect(answer.isBroken).toBe(false);
      expect(answer.body.length).toBeGreaterThan(PADDING_BYTES);
    },
  );
});

describe('a request that comes in the grace period', () => {
  it.each([{grace: 8}, {grace: 4}, {grace: 2}])(
    'of $grace s is served or refused as not run, until the process has ended',
    async ({grace}) => {
      const stopping = await startHost(grace);
      stopping.signal('SIGTERM');
      const answers: Answer[] = [];
      while (!stopping.hasEnded) {
        // The process may end before it has accepted the connection.
        const answer = await call('/once/x').catch(() => undefined);
        answers.push(...(answer === undefined ? [] : [answer]));
        await pause(REQUEST_PERIOD_MILLISECONDS);
      }
      const served = answers.filter(({status}) => status === 200).length;
      expect(answers.every(({status}) => [200, 503].includes(status))).toBe(
        true,
      );
      expect(served).toBeGreaterThan(0);
      const executions = installation.engines.flatMap(({ran}) => ran).length;
      expect(executions).toBe(served);
      expect(await stopping.started.exited).toBe(0);
    },
  );
});
