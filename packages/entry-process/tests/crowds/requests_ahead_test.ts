/** Tests of crowds that send requests ahead and leave their answers unread. */
import {READINESS_PATH} from '@lacewingwinch/stand-ins';
import {afterEach, beforeEach, describe, it} from 'vitest';

import {queriesAhead, requestsAhead} from './crowd_requests.js';
import {CrowdedHost, type CrowdPlan} from './crowded_host.js';

let host: CrowdedHost;

beforeEach(async () => {
  host = await CrowdedHost.start();
});

afterEach(() => host.close());

describe('a process stays within its limits while clients send ahead', () => {
  it.each<CrowdPlan & {readonly name: string}>([
    {
      name: 'requests without an attempt id',
      connections: 40,
      send: () => requestsAhead(20_000, {hasAttemptId: false}),
    },
    {
      name: 'requests without a host',
      connections: 40,
      send: () => requestsAhead(20_000, {hasHost: false}),
    },
    {
      name: 'requests of no route',
      connections: 40,
      send: () => requestsAhead(20_000, {path: '/nowhere'}),
    },
    {
      name: 'queries for discovery',
      at: 'discovery',
      connections: 40,
      send: () => queriesAhead(80_000, '/api/resolution?name=host.example'),
    },
    {
      name: 'queries for readiness',
      at: 'readiness',
      connections: 40,
      send: () => queriesAhead(80_000, READINESS_PATH),
    },
    {
      name: 'queries for metrics',
      at: 'metrics',
      connections: 10,
      send: () => queriesAhead(5000, '/metrics'),
    },
    {
      name: 'queries for carried attempts',
      at: 'relay',
      connections: 40,
      send: () => queriesAhead(80_000, '/'),
    },
  ])('$name', async crowd => {
    await host.expectToWithstand(crowd);
  });

  it('proper requests at slow upstreams', async () => {
    for (const engine of host.installation.engines) {
      engine.behavior = 'hang';
    }
    await host.admit({connections: 40, send: () => requestsAhead(20_000)});
    host.expectWithinLimits();
    await host.dismiss();
    for (const engine of host.installation.engines) {
      engine.behavior = 'answer';
    }
    await host.expectToAnswer();
    host.expectWithinLimits();
  });

  it.each<{
    readonly requests: number;
    readonly connections: number;
    readonly answerBytes: number;
  }>([
    {requests: 1000, connections: 40, answerBytes: 500_000},
    {requests: 1, connections: 20, answerBytes: 7_500_000},
  ])('$requests with answers of $answerBytes bytes', async test => {
    for (const engine of host.installation.engines) {
      engine.paddingBytes = test.answerBytes;
    }
    await host.admit({
      connections: test.connections,
      send: () => requestsAhead(test.requests),
    });
    host.expectWithinLimits();
    await host.expectToRecover();
  });
});
