/**
 * Tests that odd records in the store and odd words of an upstream neither end a host
 * nor keep it from following the lists: hosts of another system ended again and again.
 */
import {RoutedEngineStandIn} from '@lacewingwinch/stand-ins';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {pause} from './cut_off_fixtures.js';
import {
  CONFIGURATION,
  RoutedInstallation,
  waitUntil,
} from './routed_fixtures.js';

const DEPTH = 200_000;

/** Milliseconds within which a host uses what was written after odd records. */
const REACTION_MILLISECONDS = 2000;

const ADDED_PREFIX = '/added/';

function nested(depth: number): string {
  return '['.repeat(depth) + ']'.repeat(depth);
}

/** Texts that are no sound record of any topic. */
const ODD_TEXTS: readonly {readonly name: string; readonly text: Buffer}[] = [
  {name: 'deep arrays', text: Buffer.from(nested(DEPTH))},
  {
    name: 'deep objects',
    text: Buffer.from('{"a":'.repeat(DEPTH) + '1' + '}'.repeat(DEPTH)),
  },
  {
    name: 'deep arrays in every field',
    text: Buffer.from(
      JSON.stringify(
        Object.fromEntries(
          [
            'service',
            'address',
            'version',
            'versions',
            'routes',
            'crashes',
            'streams',
            'to',
            'era',
            'fence',
          ].map(field => [field, 'DEEP']),
        ),
      ).replaceAll('"DEEP"', nested(DEPTH / 10)),
    ),
  },
  {name: 'a number that is too large', text: Buffer.from('1e400')},
  {
    name: 'fields that are too large',
    text: Buffer.from(
      '{"version":1e400,"era":1e308,"completeSince":-1e308,"versions":[],"service":"engines","durationS":1e400,"to":"v","fence":1e400,"crashes":[],"lastCleared":1e400,"fingerprint":"x","soundAt":1e308,"soundRuns":1e308,"partId":"a"}',
    ),
  },
  {
    name: 'a prototype',
    text: Buffer.from('{"__proto__":{"service":"plain"},"constructor":1}'),
  },
  {name: 'bytes that are no text', text: Buffer.from([0xff, 0xfe, 0, 0x80])},
  {name: 'half of a text', text: Buffer.from('{"version":')},
  {name: 'null', text: Buffer.from('null')},
  {name: 'a long text', text: Buffer.from(`"${'x'.repeat(200_000)}"`)},
];

/** Topics that hosts read, and a key of each under which they look for something. */
const TOPICS: readonly {readonly topic: string; readonly key: string}[] = [
  {topic: 'keyed.servers', key: 'i-odd'},
  {topic: 'keyed.servers', key: '__proto__'},
  {topic: 'keyed.op', key: 'config'},
  {topic: 'keyed.op', key: 'odd'},
  {topic: 'keyed.op', key: 'rollout/engines'},
  {topic: 'keyed.op', key: 'rollout/'},
  {topic: 'keyed.status', key: 'rollout/engines'},
  {topic: 'keyed.rollouts', key: 'engines'},
  {topic: 'keyed.hosts', key: 'host-0'},
  {topic: 'keyed.duties', key: 'usage_reporting'},
  {topic: 'keyed.duties', key: 'duty'},
  {topic: 'keyed.quarantine', key: 'content-x'},
  {topic: 'keyed.versions', key: 'engines'},
  {topic: 'keyed.streams', key: 'host-0'},
];

let installation: RoutedInstallation;

beforeEach(async () => {
  installation = await RoutedInstallation.start();
});

afterEach(() => installation.stop());

function writeOddRecords(text: Buffer): void {
  for (const {topic, key} of TOPICS) {
    installation.store.put(topic, key, text);
  }
}

/** Checks that a host serves, and follows engines and the configuration. */
async function expectToFollow(address: string | undefined): Promise<void> {
  const {store, engines} = installation;
  const engine = new RoutedEngineStandIn(`i-${engines.length}`);
  engines.push(engine);
  await engine.listen();
  for (const {upstreamId} of engines) {
    store.put('keyed.servers', upstreamId, undefined);
  }
  store.put('keyed.servers', engine.upstreamId, engine.entry('plain'));
  const listedAt = Date.now();
  await waitUntil(async () => {
    const {body} = await installation.call({path: '/again/x'}, address);
    return body === `answer-of-${engine.upstreamId}`;
  });
  expect(Date.now() - listedAt).toBeLessThan(REACTION_MILLISECONDS);
  store.publish({
    ...CONFIGURATION,
    version: CONFIGURATION.version + engines.length,
    routes: [
      ...CONFIGURATION.routes,
      {...CONFIGURATION.routes[0], name: 'added', pathPrefix: ADDED_PREFIX},
    ],
  });
  await waitUntil(async () => {
    const call = {path: `${ADDED_PREFIX}x`};
    const {status} = await installation.call(call, address);
    return status === 200;
  });
}

describe('hosts go on beside records', () => {
  it.each(ODD_TEXTS)('of $name, before and after a start', async ({text}) => {
    await installation.startProcess();
    await pause(300);
    writeOddRecords(text);
    await expectToFollow(installation.callers[0]);
    await installation.startProcess({
      isFirstStart: false,
      seeds: installation.peers,
    });
    await expectToFollow(installation.callers[1]);
  });

  it('of many kinds at once', async () => {
    await installation.startProcess();
    for (let index = 0; index < 1200; index += 1) {
      const {text} = ODD_TEXTS[3 + (index % (ODD_TEXTS.length - 4))] ?? {};
      installation.store.put('keyed.servers', `i-odd-${index}`, text);
    }
    await expectToFollow(installation.callers[0]);
  });
});

describe('hosts go on beside an upstream', () => {
  it.each([
    {name: 'server-limit', value: '1e400'},
    {name: 'server-limit', value: '9'.repeat(400)},
    {name: 'server-limit', value: '-1'},
    {name: 'server-brittle', value: '9'.repeat(400)},
    {name: 'server-brittle', value: 'many'},
    {name: 'retry-after', value: '9'.repeat(400)},
    {name: 'retry-after', value: '1e400'},
    {name: 'x-weight-versions', value: '9'.repeat(400)},
    {name: 'server-leaving', value: '__proto__'},
    {name: 'keep-alive', value: 'timeout=1e400'},
    {name: 'keep-alive', value: `timeout=${'9'.repeat(400)}`},
    {name: 'x-attempt-id', value: '__proto__'},
  ])('that sends the header $name: $value', async ({name, value}) => {
    const [odd] = installation.engines;
    odd?.extraHeaders.set(name, value);
    await installation.startProcess();
    for (let count = 0; count < 8; count += 1) {
      const path = count % 2 === 0 ? '/again/x' : '/once/x';
      const {status} = await installation.call({path});
      expect([200, 502, 503]).toContain(status);
    }
    await expectToFollow(installation.callers[0]);
  });

  it.each(ODD_TEXTS)('that reports $name on itself', async ({text}) => {
    await installation.startProcess();
    for (const engine of installation.engines) {
      engine.report = text;
      engine.breaksOffFirstAttempts = true;
    }
    const {status} = await installation.call({path: '/resumed/x'});
    expect([200, 502, 503]).toContain(status);
    await expectToFollow(installation.callers[0]);
  });
});
