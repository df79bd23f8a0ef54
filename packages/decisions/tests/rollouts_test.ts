/** Tests of the steps of a roll-out. */
import {describe, expect, it} from 'vitest';

import {
  decideRolloutStep,
  decodeRolloutRecord,
  firstShare,
  type RolloutRecord,
  type RolloutSituation,
} from '../src/index.js';
import {BOUNDS, NEW, OLD, ORDER} from './rollout_fixtures.js';

/** Fields of a record of `ORDER` that has been in progress for `elapsed`. */
function common(
  sequence: number,
): Omit<Extract<RolloutRecord, {phase: 'rolled-back'}>, 'phase' | 'reason'> {
  const {orderId, service, softwareVersion, durationMilliseconds} = ORDER;
  return {
    orderId,
    service,
    softwareVersion,
    durationMilliseconds,
    sequence,
    deadline: 16_000,
    barredVersions: [],
  };
}

const TESTING: RolloutRecord = {
  ...common(3),
  phase: 'testing',
  share: firstShare(BOUNDS),
  upstreamIds: ['new-0', 'new-1', 'new-2'],
};
const MOVING: RolloutRecord = {
  ...common(7),
  phase: 'moving',
  share: 0.5,
  steppedAt: 8000,
  stepSequence: 6,
};
const MOVED: RolloutRecord = {...MOVING, share: 1, stepSequence: 7};
const ROLLED_BACK: RolloutRecord = {
  ...common(8),
  phase: 'rolled-back',
  reason: 'failures',
};
const COMPLETED: RolloutRecord = {
  ...common(9),
  phase: 'completed',
  replacedVersions: ['v1'],
};

const REJECTED = {
  kind: 'rejected',
  route: '',
  measure: 'failures',
  candidate: {trials: 10, bad: 5},
  old: {trials: 100, bad: 0},
} as const;
const OPEN = {kind: 'open', missing: undefined} as const;
const ACCEPTED = {kind: 'accepted'} as const;

function situation(overrides: Partial<RolloutSituation>): RolloutSituation {
  return {
    bounds: BOUNDS,
    order: ORDER,
    record: undefined,
    upstreams: [...OLD, ...NEW],
    verdict: OPEN,
    resultCount: 0,
    traffic: {requests: 1000, assigned: 80, requestsPerSecond: 250},
    followers: {lowestSequence: 0, runningElsewhere: 5},
    recordAge: 100,
    orderAge: 0,
    trueTime: 4000,
    ...overrides,
  };
}

describe('the step after', () => {
  const otherOrder = {...ORDER, orderId: 'order-2', position: 2};
  const cases: readonly {
    readonly name: string;
    readonly given: Partial<RolloutSituation>;
    readonly kind: string | undefined;
    readonly record?: object;
  }[] = [
    {
      name: 'an order',
      given: {},
      kind: 'started',
      record: {phase: 'testing', share: 0, sequence: 1, deadline: 20_000},
    },
    {
      name: 'an order that was known before its holder',
      given: {orderAge: 1500},
      kind: 'started',
      record: {phase: 'testing', deadline: 18_500},
    },
    {
      name: 'an order for the version that serves',
      given: {upstreams: NEW},
      kind: 'completed',
    },
    {
      name: 'an order without engines',
      given: {record: {...TESTING, share: 0, upstreamIds: []}, upstreams: OLD},
      kind: undefined,
    },
    {
      name: 'the first engines',
      given: {record: {...TESTING, share: 0, upstreamIds: []}},
      kind: 'widened',
      record: {
        share: firstShare(BOUNDS),
        upstreamIds: expect.any(Array) as unknown,
      },
    },
    {
      name: 'the first results',
      given: {record: TESTING, resultCount: 20},
      kind: 'widened',
    },
    {
      name: 'the loss of a test engine',
      given: {record: TESTING, upstreams: [...OLD, ...NEW.slice(1)]},
      kind: 'upstreams-changed',
      record: {upstreamIds: ['new-1', 'new-2', 'new-3']},
    },
    {name: 'a short time', given: {record: TESTING}, kind: undefined},
    {
      name: 'a second',
      given: {record: TESTING, recordAge: 1000},
      kind: 'renewed',
      record: {sequence: 4},
    },
    {
      name: 'a rejection',
      given: {record: TESTING, verdict: REJECTED},
      kind: 'rolled-back',
    },
    {
      name: 'an acceptance that is early',
      given: {record: TESTING, verdict: ACCEPTED},
      kind: undefined,
    },
    {
      name: 'an acceptance',
      given: {record: TESTING, verdict: ACCEPTED, trueTime: 8000},
      kind: 'accepted',
      record: {phase: 'moving', stepSequence: 4},
    },
    {
      name: 'too long a test',
      given: {record: TESTING, trueTime: 12_000},
      kind: 'rolled-back',
    },
    {
      name: 'the end of the engines during the test',
      given: {record: TESTING, upstreams: OLD},
      kind: 'widened',
      record: {share: 0, upstreamIds: []},
    },
    {
      name: 'a wider step',
      given: {record: MOVING, trueTime: 8500},
      kind: undefined,
    },
    {
      name: 'a wider step that shows no harm',
      given: {record: MOVING, trueTime: 9500},
      kind: 'moved-on',
      record: {share: 1, stepSequence: 8},
    },
    {
      name: 'a rejection at the wider step',
      given: {record: MOVING, verdict: REJECTED},
      kind: 'rolled-back',
    },
    {
      name: 'the end of the engines',
      given: {record: MOVED, upstreams: OLD},
      kind: 'rolled-back',
    },
    {
      name: 'a move that a host does not follow',
      given: {
        record: MOVED,
        followers: {lowestSequence: 6, runningElsewhere: 0},
      },
      kind: undefined,
    },
    {
      name: 'a move with work left',
      given: {
        record: MOVED,
        followers: {lowestSequence: 7, runningElsewhere: 1},
      },
      kind: undefined,
    },
    {
      name: 'a move with work left at the time limit',
      given: {
        record: MOVED,
        followers: {lowestSequence: 7, runningElsewhere: 1},
        trueTime: 15_200,
      },
      kind: 'completed',
    },
    {
      name: 'a move that a host does not follow at the time limit',
      given: {
        record: MOVED,
        followers: {lowestSequence: 6, runningElsewhere: 0},
        trueTime: 15_200,
      },
      kind: undefined,
    },
    {
      name: 'a move',
      given: {
        record: MOVED,
        followers: {lowestSequence: 7, runningElsewhere: 0},
      },
      kind: 'completed',
      record: {replacedVersions: ['v1']},
    },
    {
      name: 'the completion',
      given: {record: COMPLETED, verdict: REJECTED},
      kind: undefined,
    },
    {
      name: 'the way back',
      given: {record: ROLLED_BACK, verdict: ACCEPTED},
      kind: undefined,
    },
    {
      name: 'the same order published again while it is under way',
      given: {order: otherOrder, record: TESTING},
      kind: 'started',
      record: {
        orderId: 'order-2',
        phase: 'testing',
        share: firstShare(BOUNDS),
        deadline: 16_000,
        sequence: 4,
      },
    },
    {
      name: 'an order for another version while one is under way',
      given: {order: {...otherOrder, softwareVersion: 'v3'}, record: MOVING},
      kind: 'superseded',
      record: {
        phase: 'testing',
        share: 0,
        softwareVersion: 'v3',
        barredVersions: ['v2'],
      },
    },
    {
      name: 'an order for a version that was rolled back',
      given: {
        order: otherOrder,
        record: {...ROLLED_BACK, barredVersions: ['v0']},
      },
      kind: 'started',
      record: {phase: 'testing', barredVersions: ['v0']},
    },
    {
      name: 'an order after a version that was rolled back',
      given: {
        order: {...otherOrder, softwareVersion: 'v3'},
        record: ROLLED_BACK,
      },
      kind: 'started',
      record: {barredVersions: ['v2']},
    },
    {
      name: 'the order of a version that has replaced the others',
      given: {order: otherOrder, record: COMPLETED, upstreams: NEW},
      kind: 'completed',
    },
  ];

  it.each(cases)('$name: $kind', ({given, kind, record}) => {
    const step = decideRolloutStep(situation(given));
    expect(step?.kind).toBe(kind);
    if (record !== undefined) {
      expect(step?.record).toMatchObject(record);
    }
    if (step !== undefined) {
      const {sequence = 0} = given.record ?? {};
      expect(step.record.sequence).toBe(sequence + 1);
      const stored = Buffer.from(JSON.stringify(step.record));
      expect(decodeRolloutRecord(stored)).toEqual(step.record);
    }
  });
});

/** Plays a roll-out with a holder that is replaced after step `killedAfter`. */
function playSteps(
  verdictAt: (trueTime: number) => RolloutSituation['verdict'],
  killedAfter: number,
): readonly RolloutRecord[] {
  const records: RolloutRecord[] = [];
  let recordAge = Infinity;
  let awayUntil = 0;
  for (let trueTime = 0; trueTime <= 16_000; trueTime += 500) {
    recordAge += 500;
    if (trueTime < awayUntil) {
      continue;
    }
    const record = records.at(-1);
    const step = decideRolloutStep(
      situation({
        record,
        trueTime,
        recordAge,
        verdict: verdictAt(trueTime),
        resultCount: trueTime / 100,
        traffic: {requests: trueTime / 4, assigned: 40, requestsPerSecond: 250},
        followers: {
          lowestSequence: record?.sequence ?? 0,
          runningElsewhere: 0,
        },
      }),
    );
    if (step !== undefined) {
      records.push(step.record);
      recordAge = 0;
      awayUntil = records.length === killedAfter ? trueTime + 3000 : awayUntil;
    }
  }
  return records;
}

describe('a holder that is killed after any single step', () => {
  const killedAfter = Array.from({length: 16}, (_, index) => index + 1);
  it.each(killedAfter)('%i leaves a good roll-out that completes', step => {
    const records = playSteps(() => ACCEPTED, step);
    expect(records.at(-1)?.phase).toBe('completed');
    expect(records.map(({sequence}) => sequence)).toEqual(
      records.map((_, index) => index + 1),
    );
  });

  it.each(killedAfter)('%i leaves a bad one that is rolled back', step => {
    const records = playSteps(time => (time < 5000 ? OPEN : REJECTED), step);
    expect(records.at(-1)?.phase).toBe('rolled-back');
    expect(records.filter(({phase}) => phase === 'moving')).toEqual([]);
  });
});
