/**
 * The explanation of a request: the steps that it went through and why.
 */
import type {
  AttemptFailure,
  ErrorKind,
  RanStatus,
  Resumption,
} from '@lacewingwinch/decisions';

/** A step in the processing of a request. */
export type TrailStep =
  | {
      readonly kind: 'accepted';
      readonly rule: string;
      readonly configurationVersion: number;
      /** Entry host that holds the backup copy; absent if there is none. */
      readonly backup?: string;
    }
  | {readonly kind: 'answered'; readonly status: number}
  | {
      readonly kind: 'attempt-ended';
      readonly attemptId: string;
      readonly failure: AttemptFailure['kind'];
    }
  | {
      readonly kind: 'attempt-started';
      readonly attemptId: string;
      readonly upstreamId: string;
    }
  | {
      readonly kind: 'claimed';
      readonly verdict: 'lost' | 'won';
      readonly rightId: string;
    }
  | {
      readonly kind: 'gave-up';
      readonly error: ErrorKind;
      readonly ran: RanStatus;
    }
  | {readonly kind: 'handed-over'; readonly to: string}
  | {
      readonly kind: 'permit';
      readonly dispatcher: string;
      readonly shard: string;
      readonly candidates: readonly string[];
      readonly chosen?: string;
      readonly refused?: ErrorKind;
      /** Time waited for the permit, in milliseconds. */
      readonly waited?: number;
    }
  | {readonly kind: 'resumed'; readonly way: Resumption['kind']}
  | {readonly kind: 'taken-over'; readonly from: string};

/** A step and the time at which it happened. */
export interface TimestampedStep {
  /** Milliseconds since the epoch. */
  readonly time: number;
  readonly step: TrailStep;
}

/** The steps of a request at one entry host, and its current state. */
export interface Explanation {
  readonly requestId: string;
  readonly entryHost: string;
  readonly workspace: string;
  readonly service: string;
  readonly state: 'answered' | 'failed' | 'moved' | 'running';
  readonly trail: readonly TimestampedStep[];
}

/** Returns the text of an explanation, with one line for each step. */
export function describeExplanation(explanation: Explanation): string {
  const {requestId, entryHost, workspace, service, state, trail} = explanation;
  const first = trail[0]?.time ?? 0;
  const lines = trail.map(
    ({time, step}) =>
      `  +${String(time - first).padStart(5)} ms  ${describeStep(step)}`,
  );
  return [
    `request ${requestId} of workspace ${workspace} to service ${service}: ${state} at ${entryHost}`,
    ...lines,
  ].join('\n');
}

function describeStep(step: TrailStep): string {
  switch (step.kind) {
    case 'accepted':
      return `accepted by rule ${step.rule} of configuration ${step.configurationVersion}, backup copy at ${step.backup ?? 'no other host'}`;
    case 'answered':
      return `answered with status ${step.status}`;
    case 'attempt-ended':
      return `attempt ${step.attemptId} ended: ${step.failure}`;
    case 'attempt-started':
      return `attempt ${step.attemptId} sent to upstream ${step.upstreamId}`;
    case 'claimed':
      return `claim of right ${step.rightId}: ${step.verdict}`;
    case 'gave-up':
      return `gave up: ${step.error}, ran: ${step.ran}`;
    case 'handed-over':
      return `handed over to ${step.to}`;
    case 'permit':
      return describePermit(step);
    case 'resumed':
      return `resumed by ${step.way}`;
    case 'taken-over':
      return `taken over from ${step.from}`;
  }
}

function describePermit(
  step: Extract<TrailStep, {readonly kind: 'permit'}>,
): string {
  const dispatcher = `dispatcher ${step.dispatcher} of shard ${step.shard}`;
  const candidates = `candidates ${step.candidates.join(', ')}`;
  return step.chosen === undefined
    ? `${dispatcher} refused: ${step.refused ?? 'no answer'}; ${candidates}`
    : `${dispatcher} chose ${step.chosen} after ${step.waited ?? 0} ms; ${candidates}`;
}
