/**
 * A request that this host serves, and its response.
 */
import type {StreamItem} from '@lacewingwinch/callers';
import {
  AnswerBuffer,
  type ExecutionRight,
  isServingError,
  type RanStatus,
  type ServingError,
} from '@lacewingwinch/decisions';
import type {BackupCopy, KeptAnswer} from '@lacewingwinch/entry-hosts';
import type {
  Explanation,
  TimestampedStep,
  TrailStep,
} from '@lacewingwinch/operators';

import {ChangeNotifier} from '../util/change_notifier.js';
import {sharedMessageIds} from './message_parts.js';

/** The state of a request. */
export type RequestState =
  | {
      readonly kind: 'answered';
      /** Absent for a completion, whose buffered events are the response. */
      readonly answer?: KeptAnswer;
    }
  | {readonly kind: 'failed'; readonly error: ServingError}
  | {readonly kind: 'moved'; readonly location: string}
  | {readonly kind: 'running'};

/** Maximum number of steps recorded for one request. */
const MAXIMUM_TRAIL_STEPS = 64;

/** A request, from its admission until its response is removed. */
export class ServedRequest {
  /** Id of the entry host that holds the backup copy. */
  backup: string | undefined;
  /** Whether any attempt may have sent a byte to an upstream. */
  wasSent = false;
  /** Number of attempts begun so far. */
  attempts = 0;
  /** Id of the latest attempt. */
  attemptId = '';
  /** Id of the upstream of the current attempt. */
  upstreamId: string | undefined;
  /** Time of the first event of the current attempt; undefined before it. */
  attemptBegunAt: number | undefined;
  readonly buffer: AnswerBuffer;
  /** Ids of the messages that other requests can share. */
  readonly sharedParts: readonly string[];
  private permitRequestCount = 0;
  private currentRight: ExecutionRight | undefined;
  private current: RequestState = {kind: 'running'};
  private readonly changes = new ChangeNotifier();
  private readonly trail: TimestampedStep[] = [];
  private attemptController: AbortController | undefined;

  constructor(
    readonly copy: BackupCopy,
    readonly fingerprint: string,
    readonly body: Buffer,
    readonly traceparent: string | undefined,
    events: readonly string[] = [],
  ) {
    this.buffer = new AnswerBuffer(events);
    this.sharedParts =
      copy.callKind === 'chat-completion' ? sharedMessageIds(body) : [];
  }

  get id(): string {
    return this.copy.requestId;
  }

  /** The execution right of a non-idempotent request, once it is claimed. */
  get executionRight(): ExecutionRight | undefined {
    return this.currentRight;
  }

  set executionRight(right: ExecutionRight | undefined) {
    this.currentRight = right;
    this.changes.notify();
  }

  /** The current state. */
  get state(): RequestState {
    return this.current;
  }

  isRunning(): boolean {
    return this.current.kind === 'running';
  }

  /** Returns a permit id that `hostId` has not used before. */
  nextPermitId(hostId: string): string {
    this.permitRequestCount += 1;
    return `${this.id}/${hostId}/${this.permitRequestCount}`;
  }

  /** Adds a step to the trail that is shown to operators. */
  recordStep(step: TrailStep, now: number): void {
    if (this.trail.length < MAXIMUM_TRAIL_STEPS) {
      this.trail.push({time: now, step});
    }
  }

  /** Ends the request. Returns false if it had already ended. */
  finish(state: Exclude<RequestState, {readonly kind: 'running'}>): boolean {
    const hasEnded = this.end(state);
    if (hasEnded) {
      this.changes.notify();
    }
    return hasEnded;
  }

  /**
   * Ends the request on this host because it continues at `location`. Returns
   * false if it had already ended. Waiting clients are not redirected until
   * `notifyMoved` is called.
   */
  beginMove(location: string): boolean {
    return this.end({kind: 'moved', location});
  }

  /** Redirects waiting clients to the new location of the request. */
  notifyMoved(): void {
    this.changes.notify();
  }

  /** Redirects later fetches of the complete response to `location`. */
  redirectAnswer(location: string): void {
    if (this.current.kind === 'answered') {
      this.current = {kind: 'moved', location};
    }
  }

  /** Resolves once there is an event at `offset` or the request has ended. */
  async waitForEvent(offset: number): Promise<void> {
    while (this.isRunning() && this.buffer.length <= offset) {
      await this.changes.next();
    }
  }

  /** Counts an attempt, which may take several ways to its upstream. */
  countAttempt(): void {
    this.attempts += 1;
  }

  /** Begins an attempt. The returned signal aborts when it is cancelled. */
  beginAttempt(attemptId: string, upstreamId: string): AbortSignal {
    this.attemptId = attemptId;
    this.upstreamId = upstreamId;
    this.attemptBegunAt = undefined;
    this.buffer.begin(attemptId);
    this.attemptController = new AbortController();
    return this.attemptController.signal;
  }

  /** Cancels the current attempt, if there is one, because of `reason`. */
  cancelAttempt(reason: unknown): void {
    this.attemptController?.abort(reason);
  }

  /** Adds an event of an attempt to the response. */
  acceptEvent(
    attemptId: string,
    offset: number,
    data: string,
    now: number,
  ): void {
    if (attemptId === this.attemptId) {
      this.attemptBegunAt ??= now;
    }
    if (this.buffer.accept(attemptId, offset, data) === 'accepted') {
      this.changes.notify();
    }
  }

  /**
   * Resolves once it is decided whether this host holds the execution right, or
   * the request needs none.
   */
  async waitForClaimDecision(): Promise<void> {
    const isDecided = (): boolean =>
      !this.copy.needsClaim ||
      this.currentRight !== undefined ||
      !this.isRunning();
    while (!isDecided()) {
      await this.changes.next();
    }
  }

  /** Resolves with the final state once the request has ended. */
  async ended(): Promise<Exclude<RequestState, {readonly kind: 'running'}>> {
    while (this.current.kind === 'running') {
      await this.changes.next();
    }
    return this.current;
  }

  /** Yields the response as a stream that begins at `offset`. */
  async *items(offset: number): AsyncGenerator<StreamItem> {
    let next = offset;
    for (;;) {
      const data = this.buffer.at(next);
      if (data !== undefined) {
        yield {kind: 'event', offset: next, data};
        next += 1;
        continue;
      }
      const {current} = this;
      switch (current.kind) {
        case 'running':
          await this.changes.next();
          break;
        case 'answered':
          yield {kind: 'end'};
          return;
        case 'failed':
          yield {kind: 'failed', error: current.error};
          return;
        case 'moved':
          yield {kind: 'moved', location: current.location};
          return;
      }
    }
  }

  private end(
    state: Exclude<RequestState, {readonly kind: 'running'}>,
  ): boolean {
    if (!this.isRunning()) {
      return false;
    }
    this.current = state;
    this.buffer.end();
    return true;
  }

  /** Returns the explanation of this request for operators. */
  explain(entryHost: string): Explanation {
    return {
      requestId: this.id,
      entryHost,
      workspace: this.copy.workspace,
      service: this.copy.service,
      state: this.current.kind,
      trail: this.trail,
    };
  }
}

/** Returns whether any attempt may have run at an upstream. */
export function ranOf(request: ServedRequest): RanStatus {
  return request.wasSent ? 'unknown' : 'no';
}

/** Returns the error kind of a failed request, or the kind of its state. */
export function outcomeOf(state: RequestState): string {
  return state.kind === 'failed' && isServingError(state.error)
    ? state.error.kind
    : state.kind;
}
