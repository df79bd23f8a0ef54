/**
 * Tests of attempts that another host carries: what a client sees is what it would
 * see without the second hop.
 */
import {LARGE_STREAM_MARK, STREAM_EVENTS} from '@lacewingwinch/stand-ins';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {CutOffInstallation, pause} from './cut_off_fixtures.js';
import {type Answer, waitUntil} from './routed_fixtures.js';

const HOSTS = 3;

/** The host whose links to the upstreams are cut. */
const CUT_HOST = 1;

/** Milliseconds after which the host knows that it is cut off. */
const REACTION_MILLISECONDS = 1500;

/** Milliseconds within which an upstream learns that a client has left. */
const ABANDON_MILLISECONDS = 500;

/** Status of a request that may have run. */
const UNKNOWN_OUTCOME_STATUS = 502;

let hosts: CutOffInstallation;

beforeEach(async () => {
  hosts = await CutOffInstallation.start(HOSTS, 0);
  await hosts.links[CUT_HOST]?.cut('reset');
  for (let count = 0; count < 4; count += 1) {
    await call('/resumed/x');
    await call('/again/x');
  }
  await pause(REACTION_MILLISECONDS);
});

afterEach(() => hosts.stop());

function call(path: string): Promise<Answer> {
  const {installation} = hosts;
  return installation.call({path}, installation.callers[CUT_HOST]);
}

describe('an attempt that another host carries', () => {
  it.each([
    {path: '/again/x', behavior: 'answer', status: 200, isBroken: false},
    {path: '/once/x', behavior: 'answer', status: 200, isBroken: false},
    {path: '/stream/x', behavior: 'answer', status: 200, isBroken: false},
    {path: '/again/x', behavior: 'fail', status: 500, isBroken: false},
    {
      path: '/once/x',
      behavior: 'lose',
      status: UNKNOWN_OUTCOME_STATUS,
      isBroken: false,
    },
    {path: '/once/x', behavior: 'shed', status: 503, isBroken: false},
    {path: '/stream/x', behavior: 'break-off', status: 200, isBroken: true},
    {
      path: '/stream/x',
      behavior: 'break-off-unframed',
      status: 200,
      isBroken: true,
    },
    {
      path: '/stream/x',
      behavior: 'answer-unframed',
      status: 200,
      isBroken: false,
    },
  ] as const)(
    'ends as it does without the second hop: $path, $behavior',
    async ({path, behavior, status, isBroken}) => {
      for (const engine of hosts.installation.engines) {
        engine.behavior = behavior;
      }
      const answer = await call(path);
      expect(answer.status).toBe(status);
      expect(answer.isBroken).toBe(isBroken);
      if (behavior === 'answer-unframed') {
        expect(answer.headers['transfer-encoding']).toBeUndefined();
        expect(answer.headers['content-length']).toBeUndefined();
      }
      const ids = hosts.installation.engines.flatMap(engine =>
        engine.executedAttemptIds(),
      );
      if (path === '/once/x') {
        expect(new Set(ids).size).toBe(ids.length);
      }
    },
  );

  it('is ended at the upstream when its client leaves', async () => {
    const {installation} = hosts;
    const engines = installation.engines.filter(({isStreamed}) => isStreamed);
    engines.forEach(engine => {
      engine.behavior = 'hang';
    });
    const before = engines.flatMap(({ran}) => ran).length;
    const left = installation
      .call(
        {path: '/stream/x', deadline: 5000},
        installation.callers[CUT_HOST],
        request => {
          void waitUntil(
            () => engines.flatMap(({ran}) => ran).length > before,
          ).then(() => request.destroy());
        },
      )
      .catch(() => undefined);
    await left;
    const leftAt = Date.now();
    await waitUntil(() =>
      engines.some(({abandonedRequests}) => abandonedRequests > 0),
    );
    expect(Date.now() - leftAt).toBeLessThan(ABANDON_MILLISECONDS);
  });

  it('arrives whole at a client that reads slowly', async () => {
    const {installation} = hosts;
    const answer = await installation.call(
      {path: `/stream/${LARGE_STREAM_MARK}`, deadline: 10_000},
      installation.callers[CUT_HOST],
      request => {
        request.on('response', response => {
          response.on('data', () => {
            response.pause();
            setTimeout(() => response.resume(), 5);
          });
        });
      },
    );
    expect(answer.isBroken).toBe(false);
    expect(answer.body.match(/^id: /gm)).toHaveLength(STREAM_EVENTS);
  });

  it('is complete when the host that carries it stops in order', async () => {
    const {installation} = hosts;
    installation.engines.forEach(engine => {
      engine.executionMilliseconds = 400;
    });
    const answers = Array.from({length: 6}, () => call('/stream/x'));
    await pause(100);
    const others = installation.processes.filter(
      (_, index) => index !== CUT_HOST,
    );
    await others[0]?.leave();
    for (const {status, isBroken} of await Promise.all(answers)) {
      expect(status).toBe(200);
      expect(isBroken).toBe(false);
    }
  });

  it('stops when its upstream says that it is leaving', async () => {
    const {installation} = hosts;
    const [first, second] = installation.engines.filter(
      ({isStreamed}) => isStreamed,
    );
    if (first === undefined || second === undefined) {
      throw new Error('two engines are expected');
    }
    first.isLeaving = true;
    for (let count = 0; count < 12; count += 1) {
      await call('/stream/x');
    }
    const known = first.ran.length;
    const callers = installation.callers;
    for (let count = 0; count < 12; count += 1) {
      await installation.call(
        {path: '/stream/x'},
        callers[count % callers.length],
      );
    }
    // Each of the hosts may learn it by an answer of its own.
    expect(first.ran.length - known).toBeLessThanOrEqual(HOSTS);
  });
});
