/** Tests of what a host that follows roll-outs reports to orders of engines. */
import {
  type ListedUpstream,
  type RolloutRecord,
  UpstreamList,
} from '@lacewingwinch/decisions';
import {StoreClient} from '@lacewingwinch/platform';
import {describe, expect, it} from 'vitest';

import {RolloutFollower} from '../src/routed_interface/rollouts/rollout_follower.js';

const KNOWN_AT = 100_000;

function engine(upstreamId: string, softwareVersion: string): ListedUpstream {
  return {
    upstreamId,
    service: 'service',
    softwareVersion,
    address: '',
    failureDomain: 'north',
    slots: 64,
    isLeaving: false,
    leavesInMilliseconds: undefined,
    bornAt: 0,
    isReclaimable: true,
    coldMilliseconds: 0,
  };
}

const RECORD: Omit<RolloutRecord, 'phase'> = {
  orderId: '1/v2/16',
  service: 'service',
  softwareVersion: 'v2',
  sequence: 3,
  deadline: 0,
  durationMilliseconds: 16_000,
  barredVersions: [],
};

interface Given {
  /** Engines listed after the first list. */
  readonly added?: readonly ListedUpstream[];
  readonly isOrderRead?: boolean;
  /** Whether the orders were read after the engines were listed. */
  readonly isConfirmed?: boolean;
  readonly record?: RolloutRecord;
  readonly elapsed: number;
}

function engineCounts({
  added = [],
  isOrderRead = false,
  isConfirmed = false,
  record,
  elapsed,
}: Given): ReturnType<RolloutFollower['engineCounts']> {
  let now = KNOWN_AT;
  const follower = new RolloutFollower({
    store: new StoreClient('127.0.0.1:1'),
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
  const list = new UpstreamList();
  const listAll = (upstreams: readonly ListedUpstream[]): void => {
    list.apply(
      upstreams.map(upstream => ({
        kind: 'listed',
        upstream,
        heartbeat: 1,
      })),
      {readTo: now, relistedBy: -Infinity},
      now,
    );
    follower.onUpstreamChanges(list.takeChanges(now), list);
  };
  listAll([engine('old', 'v1')]);
  listAll(added);
  if (isOrderRead) {
    follower.onOperatorRecord({
      key: 'rollout/service',
      value: Buffer.from(
        JSON.stringify({service: 'service', to: 'v2', durationS: 16}),
      ),
      position: 1,
    });
  }
  if (record !== undefined) {
    follower.acceptRecord({record, seenAt: now});
  }
  const readAt = isConfirmed ? now : now - 1;
  now += elapsed;
  return follower.engineCounts(list, () => readAt);
}

describe('the engines that the platform runs for a roll-out', () => {
  const trial = [engine('new-0', 'v2'), engine('new-1', 'v2')];
  const leaving = trial.map(upstream => ({...upstream, isLeaving: true}));
  const rolledBack: RolloutRecord = {
    ...RECORD,
    phase: 'rolled-back',
    reason: '',
  };
  const completed: RolloutRecord = {
    ...RECORD,
    phase: 'completed',
    replacedVersions: ['v1'],
  };

  const cases: readonly (Given & {
    readonly name: string;
    readonly count: number | undefined;
  })[] = [
    {name: 'none without an order', elapsed: 0, count: undefined},
    {
      name: 'those of a version that may be ordered',
      added: trial,
      elapsed: 300,
      count: 2,
    },
    {
      name: 'none of a release',
      added: trial,
      isConfirmed: true,
      elapsed: 300,
      count: undefined,
    },
    {
      name: 'those that are to come',
      isOrderRead: true,
      elapsed: 300,
      count: 0,
    },
    {
      name: 'those of an order',
      added: trial,
      isOrderRead: true,
      isConfirmed: true,
      elapsed: 9000,
      count: 2,
    },
    {
      name: 'those that have been rolled back',
      added: trial,
      isOrderRead: true,
      record: rolledBack,
      elapsed: 9000,
      count: 2,
    },
    {
      name: 'none that leave after that',
      added: leaving,
      isOrderRead: true,
      record: rolledBack,
      elapsed: 9000,
      count: undefined,
    },
    {
      name: 'those that are replaced, until they have left',
      added: trial,
      isOrderRead: true,
      isConfirmed: true,
      record: completed,
      elapsed: 9000,
      count: 1,
    },
    {
      name: 'none once those that are replaced have left',
      added: [...trial, {...engine('old', 'v1'), isLeaving: true}],
      isOrderRead: true,
      isConfirmed: true,
      record: completed,
      elapsed: 9000,
      count: undefined,
    },
  ];
  it.each(cases)('are $name', ({count, ...given}) => {
    const engines = engineCounts(given).rolloutEngines('service');
    expect(engines?.listed.length).toBe(count);
    expect(engines?.age).toBe(count === undefined ? undefined : given.elapsed);
  });
});

describe('orders of engines leave out', () => {
  it.each([
    {name: 'the new version during the test', phase: 'testing', left: ['v2']},
    {name: 'the new version after it', phase: 'rolled-back', left: ['v2']},
    {name: 'the replaced version', phase: 'completed', left: ['v1']},
  ] as const)('$name', ({phase, left}) => {
    const records = {
      testing: {...RECORD, phase: 'testing', share: 0.1, upstreamIds: []},
      'rolled-back': {...RECORD, phase: 'rolled-back', reason: ''},
      completed: {...RECORD, phase: 'completed', replacedVersions: ['v1']},
    } as const;
    const {versionsBesideOrders} = engineCounts({
      isOrderRead: true,
      record: records[phase],
      elapsed: 9000,
    });
    expect(versionsBesideOrders('service')).toEqual(left);
  });
});
