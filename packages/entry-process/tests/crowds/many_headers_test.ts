/** Tests of crowds whose heads consist of many short headers. */
import {afterEach, beforeEach, describe, it} from 'vitest';

import {headOfManyHeaders} from './crowd_requests.js';
import {
  CrowdedHost,
  type CrowdPlan,
  SMALLEST_MACHINE_DESCRIPTORS,
} from './crowded_host.js';

let host: CrowdedHost;

beforeEach(async () => {
  host = await CrowdedHost.start(SMALLEST_MACHINE_DESCRIPTORS);
});

afterEach(() => host.close());

const HEAD_BYTES = 15_000;
const REQUESTS = 10;

function requests(head: string): readonly Buffer[] {
  return Array.from({length: REQUESTS}, () => Buffer.from(head));
}

describe('a process stays within its limits while heads of many headers come', () => {
  it.each<CrowdPlan & {readonly name: string}>([
    {
      name: 'without an end',
      connections: 3000,
      send: () => [Buffer.from(headOfManyHeaders(HEAD_BYTES).slice(0, -2))],
    },
    {
      name: 'without an end, at the address for discovery',
      at: 'discovery',
      connections: 3000,
      send: () => [Buffer.from(headOfManyHeaders(HEAD_BYTES).slice(0, -2))],
    },
    {
      name: 'with bodies that stay open',
      connections: 3000,
      send: () => [Buffer.from(headOfManyHeaders(HEAD_BYTES, {length: 100}))],
    },
    {
      name: 'ahead, without a route',
      connections: 1200,
      send: () => requests(headOfManyHeaders(HEAD_BYTES, {path: '/nowhere'})),
    },
    {
      name: 'for carried attempts',
      at: 'relay',
      connections: 1200,
      send: () => requests(headOfManyHeaders(HEAD_BYTES)),
    },
  ])('$name', async crowd => {
    await host.expectToWithstand(crowd);
  });

  it('at slow upstreams', async () => {
    for (const engine of host.installation.engines) {
      engine.behavior = 'hang';
    }
    await host.admit({
      connections: 1200,
      send: () => requests(headOfManyHeaders(HEAD_BYTES)),
    });
    host.expectWithinLimits();
    await host.dismiss();
    for (const engine of host.installation.engines) {
      engine.behavior = 'answer';
    }
    await host.expectToAnswer();
    host.expectWithinLimits();
  });
});
