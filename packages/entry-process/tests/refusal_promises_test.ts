/**
 * Tests that at-most-once requests run once at the most, and that a client which is
 * promised that its request has not run never gets that promise wrongly.
 */
import {promisesNotRun} from '@lacewingwinch/decisions';
import type {
  EngineBehavior,
  RoutedEngineStandIn,
} from '@lacewingwinch/stand-ins';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {
  CONFIGURATION,
  RoutedInstallation,
  waitUntil,
} from './routed_fixtures.js';

/** Milliseconds within which a request that was refused would run later. */
const LATER_MILLISECONDS = 400;

/** Number of plain upstreams, which come first. */
const PLAIN_UPSTREAMS = 2;

let installation: RoutedInstallation;

beforeEach(async () => {
  installation = await RoutedInstallation.start();
  await installation.startProcess();
});

afterEach(() => installation.stop());

interface EndCase {
  readonly name: string;
  readonly prepare: (engine: RoutedEngineStandIn) => Promise<void> | void;
  readonly status: number;
  /** What the answer of the host itself states; undefined for an upstream's own. */
  readonly ran: 'no' | 'unknown' | undefined;
  readonly executions: number;
  readonly deadline?: number;
}

function behaves(behavior: EngineBehavior): EndCase['prepare'] {
  return engine => {
    engine.behavior = behavior;
  };
}

function failsWith(status: number): EndCase['prepare'] {
  return engine => {
    engine.behavior = 'fail';
    engine.failureStatus = status;
  };
}

const CASES: readonly EndCase[] = [
  {
    name: 'answered',
    prepare: behaves('answer'),
    status: 200,
    ran: undefined,
    executions: 1,
  },
  ...[500, 502, 504].map((status): EndCase => ({
    name: `own ${status} of the upstream`,
    prepare: failsWith(status),
    status,
    ran: undefined,
    executions: 1,
  })),
  ...[408, 429, 503].map((status): EndCase => ({
    name: `${status} of the upstream that does not say "not executed"`,
    prepare: failsWith(status),
    status: 502,
    ran: 'unknown',
    executions: 1,
  })),
  ...(['lose', 'answer-another', 'answer-unsigned'] as const).map(
    (behavior): EndCase => ({
      name: behavior,
      prepare: behaves(behavior),
      status: 502,
      ran: 'unknown',
      executions: 1,
    }),
  ),
  {
    name: 'turned away without execution',
    prepare: behaves('shed'),
    status: 503,
    ran: 'no',
    executions: 0,
  },
  {
    name: 'no connection',
    prepare: engine => engine.close(),
    status: 503,
    ran: 'no',
    executions: 0,
  },
  {
    name: 'no answer in time',
    prepare: behaves('hang'),
    status: 504,
    ran: 'unknown',
    executions: 1,
    deadline: 300,
  },
];

describe('an at-most-once request', () => {
  it.each(CASES)(
    '$name: gets $status and runs $executions times',
    async ({prepare, status, ran, executions, deadline = 1500}) => {
      const upstreams = installation.engines.slice(0, PLAIN_UPSTREAMS);
      for (const engine of upstreams) {
        await prepare(engine);
      }
      const answer = await installation.call({
        path: '/once/x',
        attemptId: 'once',
        deadline,
      });
      await new Promise(resolve => setTimeout(resolve, LATER_MILLISECONDS));
      const ranAt = upstreams.flatMap(engine =>
        engine.executedAttemptIds().filter(id => id === 'once'),
      );
      expect(ranAt).toHaveLength(executions);
      expect(answer.status).toBe(status);
      expect(promisesNotRun(answer.status) && executions > 0).toBe(false);
      if (ran !== undefined) {
        expect(JSON.parse(answer.body)).toMatchObject({ran});
      }
    },
  );
});

describe('a refused request', () => {
  const QUOTA_REQUESTS = 3;

  it('does not use up the quota of its workspace', async () => {
    installation.store.publish({
      ...CONFIGURATION,
      version: 4,
      // A host that has just started holds a twelfth of a quota.
      tenants: [
        {
          name: 'limited',
          apiKeys: ['key-limited'],
          ratePerS: 0.01,
          burst: 12 * QUOTA_REQUESTS,
        },
      ],
    });
    const call = async (): Promise<number> => {
      const {status} = await installation.call({
        path: '/once/x',
        key: 'key-limited',
      });
      return status;
    };
    installation.engines.forEach(engine => {
      engine.behavior = 'shed';
    });
    await waitUntil(async () => (await call()) !== 401);
    for (let count = 0; count < 4 * QUOTA_REQUESTS; count += 1) {
      expect(await call()).toBe(503);
    }
    installation.engines.forEach(engine => {
      engine.behavior = 'answer';
    });
    const statuses = [];
    for (let count = 0; count < QUOTA_REQUESTS; count += 1) {
      statuses.push(await call());
    }
    expect(statuses).toContain(200);
  });
});

describe('input that cannot be used', () => {
  it('as a deadline of 0 is refused at once, and nothing runs', async () => {
    const startedAt = Date.now();
    const answer = await installation.call({path: '/once/x', deadline: 0});
    expect(answer.status).toBe(504);
    expect(JSON.parse(answer.body)).toMatchObject({ran: 'no'});
    expect(Date.now() - startedAt).toBeLessThan(LATER_MILLISECONDS);
    await new Promise(resolve => setTimeout(resolve, LATER_MILLISECONDS));
    expect(installation.engines.flatMap(({ran}) => ran)).toEqual([]);
  });

  it('as a pause that overflows does not pause the upstream', async () => {
    const upstreams = installation.engines.slice(0, PLAIN_UPSTREAMS);
    for (const engine of upstreams) {
      engine.behavior = 'shed';
      engine.pauseAnnouncement = '9'.repeat(400);
    }
    const refused = await installation.call({path: '/once/x'});
    expect(refused.status).toBe(503);
    for (const engine of upstreams) {
      engine.behavior = 'answer';
    }
    const answer = await installation.call({path: '/once/x', deadline: 1000});
    expect(answer.status).toBe(200);
  });
});
