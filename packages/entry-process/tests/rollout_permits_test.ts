/** Tests of permits for a share of the requests, by the age of their record. */
import {type RolloutRecord, summarizeReports} from '@lacewingwinch/decisions';
import type {StoreClient} from '@lacewingwinch/platform';
import {expect, it} from 'vitest';

import {RolloutFollower} from '../src/routed_interface/rollouts/rollout_follower.js';

const RECORD: RolloutRecord = {
  orderId: '1/v2/16',
  service: 'service',
  softwareVersion: 'v2',
  sequence: 3,
  deadline: 16_000,
  durationMilliseconds: 16_000,
  barredVersions: [],
  phase: 'moving',
  share: 1,
  steppedAt: 90_000,
  stepSequence: 2,
};

function stored(record: RolloutRecord): {
  readonly position: number;
  readonly key: string;
  readonly value: Buffer;
} {
  const value = Buffer.from(JSON.stringify(record));
  return {position: record.sequence, key: record.service, value};
}

it.each([
  {name: 'read at the start', renewals: [], expected: 'withheld'},
  {
    name: 'written after the first read',
    renewals: [{sequence: 4, delay: 900}],
    expected: 'shared',
  },
  {
    name: 'read after an outage of the store',
    renewals: [{sequence: 4, delay: 6000}],
    expected: 'withheld',
  },
])('a record that was $name leaves a version $expected', async given => {
  let now = 100_000;
  const controller = new AbortController();
  const renewals = [...given.renewals];
  const store = {
    newest: () => {
      if (renewals.length === 0) {
        controller.abort();
      }
      return Promise.resolve({records: [stored(RECORD)], end: 4});
    },
    read: () => {
      const {sequence, delay} = renewals.shift() ?? {sequence: 0, delay: 0};
      now += delay;
      controller.abort();
      const {key, value} = stored({...RECORD, sequence});
      const length = Buffer.from([Buffer.byteLength(key)]);
      return Promise.resolve({
        kind: 'records',
        records: [
          {
            position: sequence,
            content: Buffer.concat([length, Buffer.from(key), value]),
          },
        ],
        next: sequence + 1,
        end: sequence + 1,
      });
    },
  } as unknown as StoreClient;
  const follower = new RolloutFollower({
    store,
    events: {write: () => undefined},
    clocks: {
      steady: () => now,
      suspensionAware: () => now,
      timeOfDay: () => now,
    },
    bounds: () => ({
      exposureFraction: 0.1,
      exposureSlack: 50,
      rollbackMilliseconds: 5000,
    }),
    isStoreReader: () => true,
  });
  follower.onOperatorRecord({
    key: 'rollout/service',
    value: Buffer.from(
      JSON.stringify({service: 'service', to: 'v2', durationS: 16}),
    ),
    position: 1,
  });
  await follower.run(controller.signal);
  expect(follower.steps.useOf('service', now).kind).toBe(given.expected);
});

it('a holder that knows no serving host does not see that all have moved', () => {
  const times = {now: 10_000, millisecondsSinceOrder: 5000};
  const {followers} = summarizeReports([], [], times);
  expect(followers.lowestSequence).toBe(0);
});
