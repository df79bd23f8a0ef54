/** Tests of the part that one host takes in a roll-out. */
import {beforeEach, describe, expect, it} from 'vitest';

import {
  type RolloutFront,
  type RolloutRecord,
  RolloutSteps,
  type UsableUpstream,
} from '../src/index.js';
import {
  BOTH,
  COMMON,
  createFront,
  OLD,
  ORDER,
  testing,
} from './rollout_front_fixtures.js';

const REQUESTS = 1000;

function moving(share: number): RolloutRecord {
  return {...COMMON, phase: 'moving', share, steppedAt: 0, stepSequence: 4};
}

function rolledBack(softwareVersion: string): RolloutRecord {
  return {...COMMON, softwareVersion, phase: 'rolled-back', reason: ''};
}

let steps: RolloutSteps;
let front: RolloutFront;

beforeEach(() => {
  steps = new RolloutSteps();
  front = createFront(steps);
});

/** Returns the requests that may be sent to each version at `now`. */
function sentTo(
  upstreams: readonly UsableUpstream[],
  now: number,
): Readonly<Record<string, number>> {
  const context = {upstreams, ordersReadAt: 0, now, trueTime: 8000};
  const sent: Record<string, number> = {v1: 0, v2: 0};
  for (let index = 0; index < REQUESTS; index += 1) {
    const isAssigned = front.assign('service', `attempt-${index}`, context);
    const request = {service: 'service', isAssigned, isBound: false};
    const constraint = front.constraintOf(request, context);
    for (const {softwareVersion} of upstreams) {
      const isExcepted =
        constraint?.kind === 'except' &&
        [
          constraint.softwareVersion,
          ...(constraint.furtherVersions ?? []),
        ].includes(softwareVersion);
      const isOther =
        constraint?.kind === 'only' &&
        constraint.softwareVersion !== softwareVersion;
      if (isExcepted || isOther) {
        expect(
          front.mayBeSent(request, softwareVersion, context) &&
            softwareVersion === 'v2',
        ).toBe(false);
        continue;
      }
      if (front.mayBeSent(request, softwareVersion, context)) {
        sent[softwareVersion] = (sent[softwareVersion] ?? 0) + 1;
      }
    }
  }
  return sent;
}

describe('a host sends to the new version', () => {
  const nothing = {v1: REQUESTS, v2: 0};
  const all = {v1: 0, v2: REQUESTS};
  it.each([
    {
      name: 'as to any other without an order',
      records: [],
      hasOrder: false,
      now: 1,
      sent: {v1: REQUESTS, v2: REQUESTS},
    },
    {
      name: 'nothing before the order is taken up',
      records: [],
      now: 1,
      sent: nothing,
    },
    {
      name: 'nothing without a share',
      records: [testing({share: 0})],
      now: 1,
      sent: nothing,
    },
    {
      name: 'nothing after the permit has lapsed',
      records: [testing()],
      now: 2501,
      sent: nothing,
    },
    {
      name: 'nothing of another order',
      records: [testing({orderId: 'order-0'})],
      now: 1,
      sent: nothing,
    },
    {
      name: 'everything after the move',
      records: [moving(1)],
      now: 1,
      sent: all,
    },
    {
      name: 'nothing after a move whose permit has lapsed',
      records: [moving(1)],
      now: 2501,
      sent: nothing,
    },
    {
      name: 'everything after the completion',
      records: [
        {...COMMON, phase: 'completed', replacedVersions: ['v1']} as const,
      ],
      now: 90_000,
      sent: all,
    },
    {
      name: 'nothing after it was rolled back',
      records: [{...COMMON, phase: 'rolled-back', reason: ''} as const],
      now: 90_000,
      sent: nothing,
    },
    {
      name: 'nothing if an older record arrives after it was rolled back',
      records: [
        {...COMMON, sequence: 5, phase: 'rolled-back', reason: ''} as const,
        testing(),
      ],
      now: 1,
      sent: nothing,
    },
  ])('$name', ({records, hasOrder = true, now, sent}) => {
    if (hasOrder) {
      steps.acceptOrder(ORDER);
    }
    records.forEach(record => steps.acceptRecord(record, 0));
    expect(sentTo(BOTH, now)).toEqual(sent);
  });

  it('the share of the test, and no more than the bound allows', () => {
    steps.acceptOrder(ORDER);
    steps.acceptRecord(testing({share: 0.5}), 0);
    const {v2 = 0} = sentTo(BOTH, 1);
    expect(v2).toBeGreaterThan(100);
    expect(v2).toBeLessThanOrEqual(REQUESTS * 0.1 * 1.4 + 50);
  });

  it('everything before the order is taken up if it serves alone', () => {
    steps.acceptOrder({...ORDER, softwareVersion: 'v1'});
    expect(sentTo(OLD, 1)).toEqual({v1: REQUESTS, v2: 0});
  });

  it('nothing while no engine of it is listed, at any step', () => {
    steps.acceptOrder(ORDER);
    steps.acceptRecord(moving(1), 0);
    expect(sentTo(OLD, 1)).toEqual(nothing);
  });

  it.each([
    {name: 'that was rolled back', record: rolledBack('v2')},
    {name: 'that was tested', record: testing()},
  ])('nothing of a version $name, once another is ordered', ({record}) => {
    steps.acceptRecord(record, 0);
    steps.acceptOrder({...ORDER, softwareVersion: 'v3', orderId: 'order-2'});
    expect(sentTo(BOTH, 1)).toEqual(nothing);
    expect(steps.trialVersions('service')).toEqual(['v2', 'v3']);
  });

  it('nothing of a version that an earlier roll-out gave up', () => {
    const order = {...ORDER, softwareVersion: 'v3', orderId: 'order-2'};
    steps.acceptOrder(order);
    steps.acceptRecord(
      testing({...order, share: 0, barredVersions: ['v2']}),
      0,
    );
    expect(sentTo(BOTH, 1)).toEqual(nothing);
  });

  it('as to any other if the deployment knows no roll-outs', () => {
    front = createFront(steps, () => undefined);
    steps.acceptOrder(ORDER);
    expect(sentTo(BOTH, 1)).toEqual({v1: REQUESTS, v2: REQUESTS});
  });
});

describe('a version that appears while another one serves', () => {
  const isFree = (ordersReadAt: number): boolean => {
    const request = {service: 'service', isAssigned: false, isBound: false};
    const context = {upstreams: BOTH, ordersReadAt, now: 6000, trueTime: 0};
    return (
      front.constraintOf(request, context) === undefined &&
      front.mayBeSent(request, 'v2', context)
    );
  };

  it.each([
    {
      name: 'gets nothing until the orders have been read again',
      readAt: 4900,
      free: false,
    },
    {
      name: 'serves once the orders have been read since',
      readAt: 5100,
      free: true,
    },
  ])('$name', ({readAt, free}) => {
    steps.recordListed('service', OLD, 1000);
    steps.recordListed('service', BOTH, 5000);
    expect(isFree(readAt)).toBe(free);
  });

  it('has its share of a roll-out whose order is known already', () => {
    steps.acceptOrder(ORDER);
    steps.acceptRecord(testing(), 5000);
    steps.recordListed('service', OLD, 1000);
    steps.recordListed('service', BOTH, 5000);
    const request = {service: 'service', isAssigned: true, isBound: false};
    const context = {
      upstreams: BOTH,
      ordersReadAt: 4900,
      now: 6000,
      trueTime: 0,
    };
    expect(front.constraintOf(request, context)).toMatchObject({
      kind: 'only',
      softwareVersion: 'v2',
    });
    expect(front.mayBeSent(request, 'v2', context)).toBe(true);
  });

  it('serves at once if it is in the first list', () => {
    steps.recordListed('service', BOTH, 5000);
    expect(isFree(0)).toBe(true);
  });
});

describe('a request that is bound to its stream', () => {
  it.each([
    {
      name: 'continues at the new version during the test',
      record: testing(),
      version: 'v2',
      may: true,
    },
    {
      name: 'continues at the old version after the move',
      record: moving(1),
      version: 'v1',
      may: true,
    },
    {
      name: 'does not continue at a version that was rolled back',
      record: {...COMMON, phase: 'rolled-back', reason: ''} as const,
      version: 'v2',
      may: false,
    },
  ])('$name', ({record, version, may}) => {
    steps.acceptOrder(ORDER);
    steps.acceptRecord(record, 0);
    const request = {service: 'service', isAssigned: false, isBound: true};
    const context = {upstreams: BOTH, ordersReadAt: 0, now: 1, trueTime: 0};
    expect(front.mayBeSent(request, version, context)).toBe(may);
  });
});
