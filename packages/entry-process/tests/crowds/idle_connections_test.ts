/** Tests of crowds whose connections stay idle. */
import {READINESS_PATH} from '@lacewingwinch/stand-ins';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {
  type AddressName,
  CrowdedHost,
  FILE_DESCRIPTORS,
} from './crowded_host.js';

const CROWD_CONNECTIONS = FILE_DESCRIPTORS + 100;

const QUERIES: readonly (readonly [AddressName, string])[] = [
  ['readiness', READINESS_PATH],
  ['discovery', '/api/resolution?name=host.example&zone=north&region=region'],
  ['metrics', '/metrics'],
];

let host: CrowdedHost;

beforeEach(async () => {
  host = await CrowdedHost.start();
});

afterEach(() => host.close());

describe('a process answers beside idle connections', () => {
  it.each<{readonly at: AddressName}>([
    {at: 'callers'},
    {at: 'discovery'},
    {at: 'readiness'},
    {at: 'metrics'},
    {at: 'relay'},
    {at: 'peers'},
  ])('at the address for $at', async ({at}) => {
    await host.admit({at, connections: CROWD_CONNECTIONS, send: () => []});
    for (const [address, path] of QUERIES) {
      const answer = await fetch(`http://${host.addressOf(address)}${path}`);
      await answer.arrayBuffer();
      expect(answer.status).toBe(200);
    }
    await host.expectToAnswer();
    host.expectWithinLimits();
  });
});
