/** Tests of the decisions on roll-outs. */
import {describe, expect, it} from 'vitest';

import {
  chooseTestUpstreams,
  decideRolloutStep,
  decodeRolloutRecord,
  firstShare,
  isExposureLeft,
  isHarmless,
  isWorse,
  judgeVersion,
  type ResultSums,
  RolloutEvidence,
  type RolloutOrder,
  type RolloutRecord,
  type RolloutSituation,
  type RouteEvidence,
  summarizeReports,
  timeBin,
  type UsableUpstream,
  type VersionResultReport,
} from '../src/index.js';

const BOUNDS = {
  exposureFraction: 0.1,
  exposureSlack: 50,
  rollbackMilliseconds: 5000,
};

const ORDER: RolloutOrder = {
  orderId: 'order-1',
  position: 1,
  service: 'service',
  softwareVersion: 'v2',
  durationMilliseconds: 16_000,
};

function engine(upstreamId: string, softwareVersion: string): UsableUpstream {
  return {
    upstreamId,
    service: 'service',
    softwareVersion,
    address: '',
    failureDomain: `domain-${upstreamId.slice(-1)}`,
    slots: 8,
    isLeaving: false,
    leavesInMilliseconds: undefined,
    bornAt: 0,
    isReclaimable: false,
    coldMilliseconds: 0,
    knownSince: 0,
  };
}

const OLD = [engine('old-0', 'v1'), engine('old-1', 'v1')];
const NEW = [0, 1, 2, 3].map(index => engine(`new-${index}`, 'v2'));

/** Returns results whose times are all in one bin. */
function results(
  answered: number,
  failed: number,
  {start = 100, slow = 0}: {start?: number; slow?: number} = {},
): ResultSums {
  const starts = Array.from({length: timeBin(start * 16) + 1}, () => 0);
  starts[timeBin(start)] = answered - slow;
  starts[timeBin(start * 16)] = slow;
  return {answered, failed, starts, gaps: []};
}

function route(
  name: string,
  old: ResultSums,
  ...byEngine: readonly ResultSums[]
): RouteEvidence {
  return {
    route: name,
    old,
    byUpstream: new Map(byEngine.map((sums, index) => [`new-${index}`, sums])),
  };
}

describe('the comparison of two rates', () => {
  it.each([
    {
      name: 'no results',
      bad: 0,
      trials: 0,
      old: [0, 100],
      worse: false,
      harmless: false,
    },
    {
      name: 'half of a few',
      bad: 8,
      trials: 14,
      old: [1, 200],
      worse: true,
      harmless: false,
    },
    {
      name: 'a single failure',
      bad: 1,
      trials: 1,
      old: [1, 200],
      worse: false,
      harmless: false,
    },
    {
      name: 'none of many',
      bad: 0,
      trials: 60,
      old: [1, 200],
      worse: false,
      harmless: true,
    },
    {
      name: 'as many as before',
      bad: 20,
      trials: 100,
      old: [40, 200],
      worse: false,
      harmless: true,
    },
    {
      name: 'an old version that fails',
      bad: 0,
      trials: 100,
      old: [150, 200],
      worse: false,
      harmless: false,
    },
    {
      name: 'an unknown old version',
      bad: 10,
      trials: 10,
      old: [0, 0],
      worse: false,
      harmless: false,
    },
  ])(
    '$name',
    ({bad, trials, old: [oldBad = 0, oldTrials = 0], worse, harmless}) => {
      const candidate = {bad, trials};
      const old = {bad: oldBad, trials: oldTrials};
      expect(isWorse(candidate, old)).toBe(worse);
      expect(isHarmless(candidate, old, 0.2)).toBe(harmless);
    },
  );

  it('rejects a good version seldom, though it looks after each result', () => {
    let state = 1;
    const random = (): number => {
      state = (state * 48_271) % 2_147_483_647;
      return state / 2_147_483_647;
    };
    const old = {trials: 2000, bad: 100};
    let rejected = 0;
    for (let run = 0; run < 400; run += 1) {
      let bad = 0;
      for (let trials = 1; trials <= 200; trials += 1) {
        bad += random() < 0.05 ? 1 : 0;
        if (isWorse({trials, bad}, old)) {
          rejected += 1;
          break;
        }
      }
    }
    expect(rejected).toBeLessThanOrEqual(2);
  });
});

describe('the verdict on a version', () => {
  const old = results(400, 4);
  const good = results(30, 0);
  const bad = results(15, 15);
  it.each([
    {name: 'no results', routes: [], kind: 'open'},
    {
      name: 'good',
      routes: [route('a', old, good, good, good)],
      kind: 'accepted',
    },
    {
      name: 'too few results',
      routes: [route('a', old, results(2, 0), results(2, 0))],
      kind: 'open',
    },
    {
      name: 'failing',
      routes: [route('a', old, bad, bad, bad)],
      kind: 'rejected',
    },
    {
      name: 'failing on one route of two',
      routes: [
        route('a', old, good, good, good),
        route('b', old, results(6, 6), results(6, 6), results(6, 6)),
      ],
      kind: 'rejected',
    },
    {
      name: 'one engine bad by itself',
      routes: [route('a', old, good, good, bad)],
      kind: 'accepted',
    },
    {
      name: 'both versions failing',
      routes: [route('a', results(200, 200), bad, bad, bad)],
      kind: 'open',
    },
    {
      name: 'slow in part',
      routes: [0, 1].map(index =>
        route(
          `${index}`,
          old,
          ...[0, 1, 2].map(() => results(30, 0, {slow: 12})),
        ),
      ),
      kind: 'rejected',
    },
    {
      name: 'slow like the old one',
      routes: [
        route(
          'a',
          results(400, 0, {slow: 60}),
          ...[0, 1, 2].map(() => results(30, 0, {slow: 5})),
        ),
      ],
      kind: 'accepted',
    },
    {
      name: 'a route that is not known yet',
      routes: [
        route('a', old, good, good, good),
        route('b', old, results(2, 0)),
      ],
      kind: 'open',
    },
  ])('$name: $kind', ({routes, kind}) => {
    expect(judgeVersion(routes, id => `domain-${id}`).kind).toBe(kind);
  });

  it('does not accuse a version of a failure domain that is lost', () => {
    const lost = results(0, 20);
    const routes = [route('a', old, lost, lost, good, good)];
    const domainOf = (id: string): string => (id < 'new-2' ? 'lost' : 'kept');
    expect(judgeVersion(routes, domainOf).kind).not.toBe('rejected');
  });
});

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

describe('the engines of a test', () => {
  const many = Array.from({length: 96}, (_, index) =>
    engine(`engine-${String(index).padStart(2, '0')}`, 'v2'),
  );
  it.each([
    {
      name: 'as few as have their later load',
      upstreams: many,
      share: 0.125,
      count: 10,
    },
    {name: 'three at least', upstreams: many, share: 0.01, count: 3},
    {name: 'all of two', upstreams: many.slice(0, 2), share: 0.5, count: 2},
  ])('are $name', ({upstreams, share, count}) => {
    const chosen = chooseTestUpstreams(upstreams, share, 'order', []);
    expect(chosen).toHaveLength(count);
    expect(new Set(chosen).size).toBe(count);
    expect(chooseTestUpstreams(upstreams, share, 'order', chosen)).toEqual(
      chosen,
    );
  });

  it('are in as many failure domains as possible', () => {
    const chosen = new Set(chooseTestUpstreams(many, 0.125, 'order', []));
    const domains = many
      .filter(({upstreamId}) => chosen.has(upstreamId))
      .map(({failureDomain}) => failureDomain);
    expect(new Set(domains).size).toBe(10);
  });
});

describe('the requests of one host to a version on trial', () => {
  it.each([
    {name: 'none yet', requests: 10, assigned: 0, hosts: 1, isLeft: true},
    {name: 'a tenth', requests: 1000, assigned: 100, hosts: 60, isLeft: false},
    {
      name: 'less than that',
      requests: 1000,
      assigned: 80,
      hosts: 60,
      isLeft: true,
    },
    {
      name: 'the first of a host of many',
      requests: 1,
      assigned: 0,
      hosts: 60,
      isLeft: false,
    },
  ])('$name', ({requests, assigned, hosts, isLeft}) => {
    const sent = {requests, assigned, elapsedPart: 0.9};
    expect(isExposureLeft(BOUNDS, sent, hosts)).toBe(isLeft);
  });
});

describe('the reports of hosts', () => {
  function report(
    processId: string,
    overrides: Partial<VersionResultReport> = {},
  ): VersionResultReport {
    return {
      processId,
      hostId: processId.slice(0, 6),
      service: 'service',
      orderId: 'order-1',
      sequence: 4,
      runningElsewhere: 2,
      requests: 100,
      assigned: 10,
      results: [{route: 'a', upstreamId: 'new-0', ...results(8, 1)}],
      ...overrides,
    };
  }

  function summaryOf(
    reports: readonly (readonly [VersionResultReport, number])[],
  ): object {
    const evidence = new RolloutEvidence();
    reports.forEach(([sent, at]) => evidence.merge(sent, at));
    const received = evidence.reportsOn('service', 'order-1');
    const hosts = ['host-0', 'host-1'];
    const times = {now: 10_000, millisecondsSinceOrder: 5000};
    const {traffic, followers, resultCount} = summarizeReports(
      received,
      hosts,
      times,
    );
    return {...followers, requests: traffic.requests, resultCount};
  }

  it.each([
    {name: 'no report', reports: [], summary: {lowestSequence: 0, requests: 0}},
    {
      name: 'a host that has not reported',
      reports: [[report('host-0a'), 9900]],
      summary: {lowestSequence: 0, requests: 100, resultCount: 9},
    },
    {
      name: 'all hosts',
      reports: [
        [report('host-0a'), 9900],
        [report('host-1a', {sequence: 3}), 9900],
      ],
      summary: {lowestSequence: 3, runningElsewhere: 4, requests: 200},
    },
    {
      name: 'a report that is old',
      reports: [
        [report('host-0a'), 9900],
        [report('host-1a'), 5000],
      ],
      summary: {lowestSequence: 0, runningElsewhere: 2, requests: 200},
    },
    {
      name: 'a process that was replaced',
      reports: [
        [report('host-0a', {sequence: 2}), 9000],
        [report('host-0b'), 9900],
        [report('host-1a'), 9900],
      ],
      summary: {lowestSequence: 4, runningElsewhere: 4, requests: 300},
    },
    {
      name: 'a report that overtook a later one',
      reports: [
        [report('host-0a', {requests: 120}), 9900],
        [report('host-0a'), 9950],
      ],
      summary: {requests: 120},
    },
    {
      name: 'another order',
      reports: [[report('host-0a', {orderId: 'order-0'}), 9900]],
      summary: {requests: 0},
    },
  ] as const)('$name', ({reports, summary}) => {
    expect(summaryOf(reports)).toMatchObject(summary);
  });
});
