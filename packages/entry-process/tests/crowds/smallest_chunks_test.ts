/** Test of the largest request in the smallest chunks. */
import {CrowdStandIn, waitFor} from '@lacewingwinch/stand-ins';
import {afterEach, beforeEach, expect, it} from 'vitest';

import {largestBodyInSmallestChunks} from './crowd_requests.js';
import {BODY_BYTES, CrowdedHost} from './crowded_host.js';

const PATIENCE_MILLISECONDS = 50_000;

let host: CrowdedHost;

beforeEach(async () => {
  host = await CrowdedHost.start();
});

afterEach(() => host.close());

it('a request of the largest size in chunks of a byte is served', async () => {
  const client = CrowdStandIn.open(host.addressOf('callers'), {
    connections: 1,
    reads: true,
    send: () => largestBodyInSmallestChunks('smallest-chunks'),
  });
  await waitFor(
    'the connection is closed',
    () => client.openCount === 0,
    PATIENCE_MILLISECONDS,
  );
  expect(client.receivedText).toMatch(/^HTTP\/1\.1 200 /);
  expect(client.receivedText).toContain('answer-of-');
  const ran = host.installation.engines.flatMap(engine => engine.ran);
  expect(ran.map(({body}) => body.length)).toEqual([BODY_BYTES]);
  host.expectWithinLimits();
  await host.expectToAnswer();
});
