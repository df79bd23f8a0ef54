/**
 * Tests that a late copy of an answer is not taken for the answer to a second sending
 * of the same attempt, by the host of the client and by one that carries attempts.
 */
import {promisesNotRun} from '@lacewingwinch/decisions';
import type {RoutedEngineStandIn} from '@lacewingwinch/stand-ins';
import {afterEach, describe, expect, it} from 'vitest';

import {CutOffInstallation, pause} from './cut_off_fixtures.js';
import {type Answer, RoutedInstallation, waitUntil} from './routed_fixtures.js';

/** Requests of a case, one after the other. */
const REQUESTS = 12;

/** Seconds for which a refusing upstream wants no requests, as it states them. */
const PAUSE_SECONDS = '0.1';

/** Milliseconds for which the upstreams refuse; shorter than their pause. */
const REFUSAL_MILLISECONDS = 60;

/** Milliseconds after which a host knows that it is cut off. */
const REACTION_MILLISECONDS = 1500;

interface PathCase {
  readonly path: 'direct' | 'carried';
  readonly start: () => Promise<PathSetup>;
}

interface PathSetup {
  readonly installation: RoutedInstallation;
  /** Address of the host that gets the requests. */
  readonly caller: string | undefined;
  readonly stop: () => Promise<void>;
}

const CASES: readonly PathCase[] = [
  {
    path: 'direct',
    start: async () => {
      const installation = await RoutedInstallation.start();
      await installation.startProcess();
      const [caller] = installation.callers;
      return {installation, caller, stop: () => installation.stop()};
    },
  },
  {
    path: 'carried',
    start: async () => {
      const hosts = await CutOffInstallation.start(2, 0);
      const {installation} = hosts;
      const caller = installation.callers[1];
      await hosts.links[1]?.cut('reset');
      for (let count = 0; count < 4; count += 1) {
        await installation.call({path: '/again/x'}, caller);
      }
      await pause(REACTION_MILLISECONDS);
      return {installation, caller, stop: () => hosts.stop()};
    },
  },
];

let stop: () => Promise<void> = () => Promise.resolve();

afterEach(() => stop());

function plainEngines({
  engines,
}: RoutedInstallation): readonly RoutedEngineStandIn[] {
  return engines.filter(({isStreamed}) => !isStreamed);
}

/** Sends a request while all its upstreams refuse, until shortly after it began. */
async function callWhileRefusing(
  {installation, caller}: PathSetup,
  attemptId: string,
): Promise<Answer> {
  const engines = plainEngines(installation);
  engines.forEach(engine => {
    engine.behavior = 'shed';
  });
  const answer = installation.call({path: '/once/x', attemptId}, caller);
  await pause(REFUSAL_MILLISECONDS);
  engines.forEach(engine => {
    engine.behavior = 'answer';
  });
  return answer;
}

describe.each(CASES)('late copies of refusals, $path', ({start}) => {
  it.each([
    {copies: 'with the id of their attempt', omitsIds: false},
    // Guards against a copy that was taken for the refusal of the next request.
    {copies: 'without an id', omitsIds: true},
  ])('$copies make no request run twice or after a promise', async testCase => {
    const {omitsIds} = testCase;
    const setup = await start();
    ({stop} = setup);
    const {installation} = setup;
    await waitUntil(async () => {
      const {status} = await installation.call({path: '/once/x'}, setup.caller);
      return status === 200;
    });
    plainEngines(installation).forEach(engine => {
      engine.repeatsRefusals = true;
      engine.omitsIdsInRefusals = omitsIds;
      engine.pauseAnnouncement = PAUSE_SECONDS;
    });
    let served = 0;
    for (let count = 0; count < REQUESTS; count += 1) {
      const attemptId = `once-${count}`;
      const answer = await callWhileRefusing(setup, attemptId);
      const executions = installation.engines
        .flatMap(engine => engine.executedAttemptIds())
        .filter(id => id === attemptId).length;
      expect(executions).toBeLessThanOrEqual(
        promisesNotRun(answer.status) ? 0 : 1,
      );
      served += answer.status === 200 ? 1 : 0;
    }
    expect(served).toBeGreaterThan(0);
  });
});
