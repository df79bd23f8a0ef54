/** Tests of how a process divides its memory and its descriptors. */
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
