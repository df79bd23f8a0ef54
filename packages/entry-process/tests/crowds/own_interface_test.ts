/** Tests of crowds at the addresses of the own interface. */
import {
  callPlain,
  CrowdStandIn,
  Fleet,
  KEY_ONE,
  repeated,
} from '@lacewingwinch/stand-ins';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {
  bodyWithoutItsEnd,
  openChunkedBody,
  queriesAhead,
} from './crowd_requests.js';
import {peakMegabytesOf, residentMemoryText} from './process_usage.js';

/** Memory of the process by its default settings, in MiB. */
const MEMORY_MEGABYTES = 350;

const MEBIBYTE = 1024 * 1024;
const CHUNK_BYTES = 65_536;

/** A path of the plain service of the fleet. */
const PATH = '/v1/services/lookup/call';

let fleet: Fleet;

beforeEach(async () => {
  fleet = await Fleet.start({
    entryDomains: ['east'],
    engines: 1,
    plainServices: 1,
  });
});

afterEach(() => fleet.close());

async function expectToAnswer(): Promise<void> {
  const answer = await callPlain(fleet.entry(0), KEY_ONE, 'lookup', 'x');
  expect(answer.status).toBe(200);
}

describe('a process stays within its memory while clients send', () => {
  it.each<{
    readonly name: string;
    readonly at: 'callers' | 'operators' | 'peers';
    readonly connections: number;
    readonly send: () => Iterable<Buffer>;
  }>([
    {
      name: 'unfinished bodies in chunks',
      at: 'callers',
      connections: 80,
      send: () => openChunkedBody(7 * MEBIBYTE, CHUNK_BYTES, '', {path: PATH}),
    },
    {
      name: 'unfinished bodies of a stated length',
      at: 'callers',
      connections: 80,
      send: () => bodyWithoutItsEnd(7 * MEBIBYTE, {path: PATH}),
    },
    {
      name: 'unfinished bodies in chunks of a byte',
      at: 'callers',
      connections: 20,
      send: () => openChunkedBody(130_000, 1, '', {path: PATH}),
    },
    {
      name: 'requests ahead',
      at: 'callers',
      connections: 40,
      send: () => queriesAhead(80_000, '/v1/entry-hosts'),
    },
    {
      name: 'queries ahead to operators',
      at: 'operators',
      connections: 40,
      send: () => queriesAhead(80_000, '/status'),
    },
    {
      name: 'lines without end to peers',
      at: 'peers',
      connections: 40,
      send: () => repeated('x', 15 * MEBIBYTE),
    },
  ])('$name', async ({at, ...behavior}) => {
    const entry = fleet.entry(0);
    const crowd = CrowdStandIn.open(entry[at], behavior);
    await crowd.settled();
    await expectToAnswer();
    crowd.close();
    await expectToAnswer();
    const {child} = entry.process;
    expect(child.exitCode).toBeNull();
    expect(child.signalCode).toBeNull();
    const pid = child.pid ?? 0;
    expect(peakMegabytesOf(pid), residentMemoryText(pid)).toBeLessThan(
      MEMORY_MEGABYTES,
    );
  });
});
