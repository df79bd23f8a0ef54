/** Tests of crowds whose requests stay unfinished or are too large. */
import {afterEach, beforeEach, describe, it} from 'vitest';

import {
  announcedBody,
  bodyWithoutItsEnd,
  openChunkedBody,
  openHead,
} from './crowd_requests.js';
import {BODY_BYTES, CrowdedHost, type CrowdPlan} from './crowded_host.js';

const CHUNK_BYTES = 65_536;
const MEBIBYTE = 1024 * 1024;

let host: CrowdedHost;

beforeEach(async () => {
  host = await CrowdedHost.start();
});

afterEach(() => host.close());

describe('a process stays within its limits while clients leave open', () => {
  it.each<CrowdPlan & {readonly name: string}>([
    {
      name: 'bodies in large chunks',
      connections: 80,
      send: () => openChunkedBody(BODY_BYTES - CHUNK_BYTES),
    },
    {
      name: 'bodies of a stated length',
      connections: 80,
      send: () => bodyWithoutItsEnd(BODY_BYTES),
    },
    {
      name: 'bodies in chunks of a byte',
      connections: 20,
      send: () => openChunkedBody(130_000, 1),
    },
    {
      name: 'tiny chunks with extensions',
      connections: 20,
      send: () => openChunkedBody(130_000, 1, ';a=b'),
    },
    {
      name: 'bodies for an unknown route',
      connections: 80,
      send: () =>
        openChunkedBody(BODY_BYTES - CHUNK_BYTES, CHUNK_BYTES, '', {
          path: '/nowhere',
        }),
    },
    {
      name: 'bodies without a key',
      connections: 80,
      send: () =>
        openChunkedBody(BODY_BYTES - CHUNK_BYTES, CHUNK_BYTES, '', {
          hasKey: false,
        }),
    },
    {
      name: 'bodies that are too large, in chunks',
      connections: 300,
      send: () => openChunkedBody(20 * MEBIBYTE),
    },
    {
      name: 'bodies that are announced as too large',
      connections: 300,
      send: () => announcedBody(1000 * MEBIBYTE, 20 * MEBIBYTE),
    },
    {
      name: 'bodies for carried attempts',
      at: 'relay',
      connections: 80,
      send: () => openChunkedBody(BODY_BYTES - CHUNK_BYTES),
    },
    {
      name: 'heads',
      connections: 1500,
      send: () => openHead(15_000),
    },
  ])('$name', async crowd => {
    await host.expectToWithstand(crowd);
  });
});
