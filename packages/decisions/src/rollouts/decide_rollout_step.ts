/**
 * The next step of a roll-out, as the holder of the duties decides it: the share
 * of the new version, the completion or the way back.
 */
import type {UsableUpstream} from '../upstreams/listed_upstream.js';
import {chooseTestUpstreams} from './choose_test_upstreams.js';
import {describeVerdict, type VersionVerdict} from './judge_version.js';
import type {RolloutBounds, RolloutOrder} from './rollout_order.js';
import {
  COMPLETION_MARGIN_MILLISECONDS,
  earliestMove,
  firstShare,
  latestMove,
  RENEWAL_MILLISECONDS,
  type RolloutTimes,
  type RolloutTraffic,
  testShare,
  WIDER_STEP_MILLISECONDS,
  widerShare,
} from './rollout_plan.js';
import {
  isOpenRollout,
  type OpenRolloutRecord,
  type RolloutRecord,
  versionsGivenUp,
} from './rollout_record.js';

/** Results of the new version after which the share of the test is taken. */
const FIRST_RESULTS = 10;

/** What the hosts have reported about the steps that they follow. */
export interface RolloutFollowers {
  /** Lowest sequence that a serving host follows; 0 if one has not reported. */
  readonly lowestSequence: number;
  /** Requests in progress at versions other than the new one. */
  readonly runningElsewhere: number;
}

/** What the holder knows of a roll-out. */
export interface RolloutSituation {
  readonly bounds: RolloutBounds;
  /** The newest order of the service. */
  readonly order: RolloutOrder;
  /** The newest record of the service; undefined if it never had a roll-out. */
  readonly record: RolloutRecord | undefined;
  /** Usable upstreams of the service, of all versions. */
  readonly upstreams: readonly UsableUpstream[];
  readonly verdict: VersionVerdict;
  /** Results of the new version. */
  readonly resultCount: number;
  readonly traffic: RolloutTraffic;
  readonly followers: RolloutFollowers;
  /** Milliseconds since the newest record was written or read. */
  readonly recordAge: number;
  /** Milliseconds for which this host has known the order. */
  readonly orderAge: number;
  /** True time, in milliseconds since the epoch. */
  readonly trueTime: number;
}

/** Why a record is written. */
export type RolloutStepKind =
  | 'accepted'
  | 'completed'
  | 'moved-on'
  | 'renewed'
  | 'rolled-back'
  | 'started'
  | 'superseded'
  | 'upstreams-changed'
  | 'widened';

/** A record that is to be written, and why. */
export interface RolloutStep {
  readonly kind: RolloutStepKind;
  readonly record: RolloutRecord;
}

/** Returns the next step; undefined if nothing is to be written. */
export function decideRolloutStep(
  situation: RolloutSituation,
): RolloutStep | undefined {
  const {order, record} = situation;
  if (record?.orderId !== order.orderId) {
    return startRollout(situation);
  }
  switch (record.phase) {
    case 'testing':
      return decideTestStep(situation, record);
    case 'moving':
      return decideMoveStep(situation, record);
    case 'completed':
    case 'rolled-back':
      return undefined;
  }
}

/** Takes up an order that no record is about. */
function startRollout({
  order,
  record,
  upstreams,
  orderAge,
  trueTime,
}: RolloutSituation): RolloutStep {
  const {orderId, service, softwareVersion, durationMilliseconds} = order;
  const common = {
    orderId,
    service,
    softwareVersion,
    durationMilliseconds,
    sequence: (record?.sequence ?? 0) + 1,
    deadline: trueTime - orderAge + durationMilliseconds,
    barredVersions: versionsGivenUp(order, record),
  };
  const isAlone =
    upstreams.length > 0 &&
    upstreams.every(upstream => upstream.softwareVersion === softwareVersion);
  if (isAlone) {
    return {
      kind: 'completed',
      record: {...common, phase: 'completed', replacedVersions: []},
    };
  }
  const previous =
    record !== undefined && isOpenRollout(record) ? record : undefined;
  if (previous?.softwareVersion === softwareVersion) {
    // The same order once more: what has been shown so far still holds.
    const deadline = Math.min(previous.deadline, common.deadline);
    return {kind: 'started', record: {...previous, ...common, deadline}};
  }
  return {
    kind: previous === undefined ? 'started' : 'superseded',
    record: {...common, phase: 'testing', share: 0, upstreamIds: []},
  };
}

function decideTestStep(
  situation: RolloutSituation,
  record: Extract<RolloutRecord, {phase: 'testing'}>,
): RolloutStep | undefined {
  const {bounds, upstreams, verdict, traffic, trueTime} = situation;
  const times = timesOf(record, trueTime);
  const elapsed = times.elapsedMilliseconds;
  const duration = times.durationMilliseconds;
  if (verdict.kind === 'rejected') {
    return rollBack(record, describeVerdict(verdict));
  }
  if (verdict.kind === 'accepted' && elapsed >= earliestMove(duration)) {
    const share = widerShare(bounds, traffic, times);
    return stepTo(record, share, trueTime, 'accepted');
  }
  if (elapsed >= latestMove(duration)) {
    return rollBack(record, `not proven in time: ${describeVerdict(verdict)}`);
  }
  const candidates = upstreams.filter(
    upstream => upstream.softwareVersion === record.softwareVersion,
  );
  const share = shareInTest(situation, record, candidates.length);
  const upstreamIds = chooseTestUpstreams(
    candidates,
    share,
    record.orderId,
    record.upstreamIds,
  );
  const next = {...record, sequence: record.sequence + 1, share, upstreamIds};
  if (share !== record.share) {
    return {kind: 'widened', record: next};
  }
  if (!haveSameMembers(upstreamIds, record.upstreamIds)) {
    return {kind: 'upstreams-changed', record: next};
  }
  return share > 0 ? renewal(situation, next) : undefined;
}

function shareInTest(
  {bounds, traffic, resultCount, trueTime}: RolloutSituation,
  record: Extract<RolloutRecord, {phase: 'testing'}>,
  candidateCount: number,
): number {
  if (candidateCount === 0) {
    return 0;
  }
  const first = firstShare(bounds);
  if (resultCount < FIRST_RESULTS) {
    return first;
  }
  return testShare(bounds, traffic, timesOf(record, trueTime), record.share);
}

function decideMoveStep(
  situation: RolloutSituation,
  record: Extract<RolloutRecord, {phase: 'moving'}>,
): RolloutStep | undefined {
  const {verdict, followers, upstreams, trueTime} = situation;
  if (verdict.kind === 'rejected') {
    return rollBack(record, describeVerdict(verdict));
  }
  const hasCandidate = upstreams.some(
    upstream => upstream.softwareVersion === record.softwareVersion,
  );
  if (!hasCandidate) {
    return rollBack(record, 'no upstream of the version is left');
  }
  const next = {...record, sequence: record.sequence + 1};
  if (record.share < 1) {
    return trueTime - record.steppedAt >= WIDER_STEP_MILLISECONDS
      ? stepTo(record, 1, trueTime, 'moved-on')
      : renewal(situation, next);
  }
  const haveAllMoved = followers.lowestSequence >= record.stepSequence;
  const isTimeShort =
    record.deadline - trueTime <= COMPLETION_MARGIN_MILLISECONDS;
  if (haveAllMoved && (followers.runningElsewhere === 0 || isTimeShort)) {
    return {kind: 'completed', record: completed(record, upstreams)};
  }
  return renewal(situation, next);
}

function completed(
  record: OpenRolloutRecord,
  upstreams: readonly UsableUpstream[],
): RolloutRecord {
  const versions = new Set(upstreams.map(upstream => upstream.softwareVersion));
  versions.delete(record.softwareVersion);
  return {
    ...commonOf(record),
    sequence: record.sequence + 1,
    phase: 'completed',
    replacedVersions: [...versions],
  };
}

function stepTo(
  record: OpenRolloutRecord,
  share: number,
  trueTime: number,
  kind: RolloutStepKind,
): RolloutStep {
  const sequence = record.sequence + 1;
  return {
    kind,
    record: {
      ...commonOf(record),
      sequence,
      phase: 'moving',
      share,
      steppedAt: trueTime,
      stepSequence: sequence,
    },
  };
}

function rollBack(record: OpenRolloutRecord, reason: string): RolloutStep {
  return {
    kind: 'rolled-back',
    record: {
      ...commonOf(record),
      sequence: record.sequence + 1,
      phase: 'rolled-back',
      reason,
    },
  };
}

function renewal(
  {recordAge}: RolloutSituation,
  record: RolloutRecord,
): RolloutStep | undefined {
  return recordAge >= RENEWAL_MILLISECONDS
    ? {kind: 'renewed', record}
    : undefined;
}

function commonOf(
  record: OpenRolloutRecord,
): Pick<
  RolloutRecord,
  | 'barredVersions'
  | 'deadline'
  | 'durationMilliseconds'
  | 'orderId'
  | 'service'
  | 'softwareVersion'
> {
  const {orderId, service, softwareVersion} = record;
  const {deadline, durationMilliseconds, barredVersions} = record;
  return {
    orderId,
    service,
    softwareVersion,
    deadline,
    durationMilliseconds,
    barredVersions,
  };
}

function timesOf(
  {deadline, durationMilliseconds}: RolloutRecord,
  trueTime: number,
): RolloutTimes {
  const elapsedMilliseconds = durationMilliseconds - (deadline - trueTime);
  return {durationMilliseconds, elapsedMilliseconds};
}

function haveSameMembers(
  left: readonly string[],
  right: readonly string[],
): boolean {
  return (
    left.length === right.length && left.every(member => right.includes(member))
  );
}
