/** Tests of how a process divides its memory and its descriptors. */
import {readFileSync} from 'node:fs';

import {expect, it} from 'vitest';

import {servingLimitsOf} from '../src/index.js';

const MEBIBYTE = 1024 * 1024;

/** The heap by the flags of the deploy file, with its share for young objects. */
const HEAP_BYTES = 172 * MEBIBYTE;

/** Machines of the deployments, from the smallest to the largest. */
it.each([
  {memory: 160, descriptors: 2212},
  {memory: 210, descriptors: 3075},
  {memory: 350, descriptors: 4100},
  {memory: 602, descriptors: 10_250},
])(
  'the parts of $memory MiB and $descriptors descriptors add up to less',
  ({memory, descriptors}) => {
    const {clientBytes, requestBytes, connections, upstreamConnections} =
      servingLimitsOf({
        memoryBytes: memory * MEBIBYTE,
        heapBytes: HEAP_BYTES,
        fileDescriptors: descriptors,
      });
    const accepted = Object.values(connections).reduce(
      (sum, count) => sum + count,
      0,
    );
    expect(accepted + upstreamConnections).toBeLessThan(
      0.95 * (descriptors - 200),
    );
    expect(clientBytes).toBeLessThan(0.25 * memory * MEBIBYTE);
    expect(requestBytes).toBeLessThan(0.65 * clientBytes);
    expect(requestBytes).toBeLessThan(0.35 * HEAP_BYTES);
    // More connections than the clients of a host of a deployment open.
    expect(connections.callers).toBeGreaterThan(800);
    expect(connections.discovery).toBeGreaterThan(90);
  },
);

it('a process without stated limits has none', () => {
  const {clientBytes, connections, upstreamConnections} = servingLimitsOf({
    memoryBytes: 0,
    heapBytes: Infinity,
    fileDescriptors: 0,
  });
  expect(clientBytes).toBe(Infinity);
  expect(connections.callers).toBe(Infinity);
  expect(upstreamConnections).toBe(Infinity);
});

it('the page states the parts of a process', () => {
  const page = readFileSync(
    new URL('../../../docs/PLATFORM.md', import.meta.url),
    'utf8',
  );
  const stated = page
    .split('\n')
    .filter(line => line.startsWith('|'))
    .map(line => line.split('|')[3]?.trim() ?? '');
  const resources = {
    memoryBytes: 350 * MEBIBYTE,
    heapBytes: HEAP_BYTES,
    fileDescriptors: 4100,
  };
  const limits = servingLimitsOf(resources);
  const {callers, discovery, metrics, peers, relay} = limits.connections;
  const unlimited = {...resources, fileDescriptors: 0};
  const inMemory = servingLimitsOf(unlimited).connections.callers;
  expect(stated).toEqual(
    expect.arrayContaining([
      'with 350 MiB, 4,100 descriptors and a heap of 172 MiB',
      `${Math.floor(limits.clientBytes / MEBIBYTE)} MiB`,
      `${Math.floor(limits.requestBytes / MEBIBYTE)} MiB`,
      `${inMemory.toLocaleString('en-US')} for each address`,
      callers.toLocaleString('en-US'),
      [peers, discovery, relay].join(', '),
      `${metrics} each`,
      String(limits.upstreamConnections),
    ]),
  );
});
