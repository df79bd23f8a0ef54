/** Tests that reading what a request would get changes nothing. */
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';

import {
  QuotaShare,
  RolloutFront,
  type RolloutRecord,
  RolloutSteps,
  UpstreamList,
  type UsableUpstream,
  UsedUpQuotas,
  type WorkspaceQuota,
} from '../src/index.js';

function engine(upstreamId: string, softwareVersion: string): UsableUpstream {
  return {
    upstreamId,
    service: 'service',
    softwareVersion,
    address: '',
    failureDomain: 'north',
    slots: 8,
    isLeaving: false,
    leavesInMilliseconds: undefined,
    bornAt: 0,
    isReclaimable: false,
    coldMilliseconds: 0,
    knownSince: 0,
  };
}

const OLD: readonly UsableUpstream[] = [engine('old', 'v1')];
const BOTH: readonly UsableUpstream[] = [...OLD, engine('new', 'v2')];

const COMMON = {
  orderId: 'order-1',
  service: 'service',
  softwareVersion: 'v2',
  durationMilliseconds: 16_000,
  sequence: 4,
  deadline: 16_000,
  barredVersions: [],
} as const;

const RECORDS: Readonly<Record<string, RolloutRecord>> = {
  testing: {...COMMON, phase: 'testing', share: 0.5, upstreamIds: ['new']},
  moving: {
    ...COMMON,
    phase: 'moving',
    share: 0.5,
    steppedAt: 0,
    stepSequence: 4,
  },
};

describe('the assignment of a request to a version', () => {
  it.each(Object.entries(RECORDS))(
    'is read without a change while %s',
    (_phase, record) => {
      const steps = new RolloutSteps();
      const front = new RolloutFront({
        processId: 'process',
        hostId: 'host',
        steps,
        bounds: () => ({
          exposureFraction: 0.2,
          exposureSlack: 10,
          rollbackMilliseconds: 5000,
        }),
        hostCount: () => 1,
      });
      const {orderId, service, softwareVersion, durationMilliseconds} = COMMON;
      steps.acceptOrder({
        orderId,
        position: 10,
        service,
        softwareVersion,
        durationMilliseconds,
      });
      steps.acceptRecord(record, 0);
      const assigned = new Set<boolean>();
      for (let index = 0; index < 200; index += 1) {
        const context = {
          upstreams: index < 20 ? [...OLD] : [...BOTH],
          ordersReadAt: index < 40 ? 0 : 100,
          now: 10 + index,
          trueTime: 8000,
        };
        const before = structuredClone(stateOf(front, steps));
        const isRead = front.wouldAssign('service', `a-${index}`, context);
        const request = {service, isAssigned: isRead, isBound: false};
        const constraint = front.peekConstraintOf(request, context);
        expect(stateOf(front, steps)).toEqual(before);
        expect(front.assign('service', `a-${index}`, context)).toBe(isRead);
        expect(front.constraintOf(request, context)).toEqual(constraint);
        assigned.add(isRead);
      }
      expect(assigned.size).toBe(2);
    },
  );
});

function stateOf(front: RolloutFront, steps: RolloutSteps): unknown {
  const {countsByService, running} = front as unknown as {
    readonly countsByService: unknown;
    readonly running: unknown;
  };
  const {firstSeen} = steps as unknown as {readonly firstSeen: unknown};
  return {countsByService, running, firstSeen};
}

describe('what is left of a quota', () => {
  const quota: WorkspaceQuota = {
    unit: 'tokens',
    perSecond: 100,
    burst: 300,
    defaultTokens: 10,
  };

  it('is read without a change, and is what is then taken', () => {
    const calls = fc.array(
      fc.record({
        milliseconds: fc.integer({min: 0, max: 2000}),
        amount: fc.integer({min: 1, max: 400}),
        rank: fc.option(fc.integer({min: 0, max: 2}), {nil: undefined}),
      }),
      {minLength: 5, maxLength: 40},
    );
    const property = fc.property(calls, made => {
      const share = new QuotaShare(0, 1);
      let now = 0;
      for (const {milliseconds, amount, rank} of made) {
        now += milliseconds;
        const before = structuredClone(share);
        const {wait} = share.outlook('w', quota, amount, 2, now, rank);
        expect(structuredClone(share)).toEqual(before);
        expect(share.take('w', quota, amount, 2, now, rank)).toBe(wait);
      }
    });
    fc.assert(property);
  });

  it('is read without forgetting that it was used up', () => {
    const usedUp = new UsedUpQuotas();
    usedUp.record('w', 5, 1000, 0);
    const before = structuredClone(usedUp);
    expect(usedUp.peekWaitFor('w', 5, 100)).toBe(900);
    expect(usedUp.peekWaitFor('w', 5, 500)).toBe(0);
    expect(structuredClone(usedUp)).toEqual(before);
    expect(usedUp.waitFor('w', 5, 100)).toBe(900);
  });
});

describe('the usable upstreams', () => {
  it('are read without dropping those that have lapsed', () => {
    const list = new UpstreamList();
    const listed = ['i-0', 'i-1'].map(upstreamId => ({
      kind: 'listed' as const,
      upstream: engine(upstreamId, 'v1'),
      heartbeat: 1,
    }));
    list.apply(listed, {readTo: 1, relistedBy: -Infinity}, 0);
    list.apply(
      [{kind: 'withdrawn', upstreamId: 'i-0'}],
      {readTo: 2, relistedBy: 100},
      0,
    );
    const usableIds = (now: number): readonly string[] =>
      list.peekUsable('service', now).map(({upstreamId}) => upstreamId);
    expect(usableIds(50)).toEqual(['i-0', 'i-1']);
    expect(usableIds(150)).toEqual(['i-1']);
    expect(list.all().length).toBe(2);
    const used = list.usable('service', 150);
    expect(used.map(({upstreamId}) => upstreamId)).toEqual(['i-1']);
    expect(list.peekUsable('service', 150)).toBe(used);
  });
});
