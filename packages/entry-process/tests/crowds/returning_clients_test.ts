/** Tests of crowds that return when they are closed, and of several at once. */
import {afterEach, beforeEach, describe, it} from 'vitest';

import {
  bodyWithoutItsEnd,
  openChunkedBody,
  openHead,
  queriesAhead,
  requestsAhead,
} from './crowd_requests.js';
import {BODY_BYTES, CrowdedHost, type CrowdPlan} from './crowded_host.js';

const MEBIBYTE = 1024 * 1024;
const CHUNK_BYTES = 65_536;
const ROUNDS = 3;

const UNFINISHED: CrowdPlan = {
  connections: 60,
  reopenings: 400,
  send: () => openChunkedBody(BODY_BYTES - CHUNK_BYTES),
};

const TOO_LARGE: CrowdPlan = {
  connections: 150,
  reopenings: 400,
  send: () => openChunkedBody(6 * MEBIBYTE),
};

const MANY_KINDS: readonly CrowdPlan[] = [
  {...UNFINISHED, connections: 30, reopenings: 100},
  {...TOO_LARGE, connections: 30, reopenings: 100},
  {
    connections: 30,
    reopenings: 100,
    send: () => bodyWithoutItsEnd(BODY_BYTES),
  },
  {
    connections: 10,
    reopenings: 40,
    send: () => openChunkedBody(130_000, 1),
  },
  {connections: 20, reopenings: 100, send: () => requestsAhead(5000)},
  {
    connections: 20,
    reopenings: 100,
    send: () => requestsAhead(5000, {hasAttemptId: false}),
  },
  {
    at: 'discovery',
    connections: 20,
    reopenings: 100,
    send: () => queriesAhead(5000, '/api/resolution?name=host.example'),
  },
  {connections: 200, reopenings: 400, send: () => openHead(15_000)},
  {connections: 400, reopenings: 400, send: () => []},
];

let host: CrowdedHost;

beforeEach(async () => {
  host = await CrowdedHost.start();
});

afterEach(() => host.close());

describe('a process stays within its limits', () => {
  it.each<{readonly name: string; readonly crowds: readonly CrowdPlan[]}>([
    {name: 'with unfinished bodies', crowds: [UNFINISHED]},
    {name: 'with bodies that are too large', crowds: [TOO_LARGE]},
    {name: 'with crowds of many kinds', crowds: MANY_KINDS},
  ])('while clients return, $name', async ({crowds}) => {
    await host.expectToWithstand(...crowds);
  });

  it('when crowds come again and again', async () => {
    for (let round = 0; round < ROUNDS; round += 1) {
      await host.admit(...MANY_KINDS);
      host.expectWithinLimits();
      await host.dismiss();
      await host.expectToAnswer(BODY_BYTES);
    }
    host.expectWithinLimits();
  });
});
