/**
 * One request that this host serves, and its answer.
 */
import type {StreamItem} from '@lacewingwinch/callers';
import {
  AnswerBuffer,
  type ExecutionRight,
  isServingError,
  type Ran,
  type ServingError,
} from '@lacewingwinch/decisions';
import type {BackupCopy, KeptAnswer} from '@lacewingwinch/entry-hosts';
import type {DatedStep, Explanation, TrailStep} from '@lacewingwinch/operators';

import {Signal} from '../util/signal.js';

/** Where a request stands. */
export type RequestState =
  | {
      readonly kind: 'answered';
      /** Absent for a model answer, whose events are the answer. */
      readonly answer?: KeptAnswer;
    }
  | {readonly kind: 'failed'; readonly error: ServingError}
  | {readonly kind: 'moved'; readonly location: string}
  | {readonly kind: 'running'};

/** Steps of one request that are remembered. */
const MAXIMUM_STEPS = 64;

/** A request, from its acceptance until its answer is forgotten. */
export class ServedRequest {
  /** Entry host that holds the backup copy. */
  backup: string | undefined;
  /** Whether any attempt wrote a byte. */
  wasSent = false;
  /** Attempts so far. */
  attempts = 0;
  /** Identity of the latest attempt. */
  attemptId = '';
  /** Upstream of the current attempt. */
  upstreamId: string | undefined;
  readonly buffer: AnswerBuffer;
  private permitsAsked = 0;
  private ownRight: ExecutionRight | undefined;
  private current: RequestState = {kind: 'running'};
  private readonly changed = new Signal();
  private readonly trail: DatedStep[] = [];
  private attemptControl: AbortController | undefined;

  constructor(
    readonly copy: BackupCopy,
    readonly fingerprint: string,
    readonly body: Buffer,
    readonly traceparent: string | undefined,
    events: readonly string[] = [],
  ) {
    this.buffer = new AnswerBuffer(events);
  }

  get id(): string {
    return this.copy.requestId;
  }

  /** The right to execute, for a non-idempotent request. */
  get right(): ExecutionRight | undefined {
    return this.ownRight;
  }

  set right(right: ExecutionRight | undefined) {
    this.ownRight = right;
    this.changed.notify();
  }

  /** Where the request stands. */
  get state(): RequestState {
    return this.current;
  }

  isRunning(): boolean {
    return this.current.kind === 'running';
  }

  /** A permit id that `hostId` has not used before. */
  nextPermitId(hostId: string): string {
    this.permitsAsked += 1;
    return `${this.id}/${hostId}/${this.permitsAsked}`;
  }

  /** Adds a step to the explanation. */
  note(step: TrailStep, now: number): void {
    if (this.trail.length < MAXIMUM_STEPS) {
      this.trail.push({time: now, step});
    }
  }

  /** Ends the request; false if it has ended before. */
  finish(state: Exclude<RequestState, {readonly kind: 'running'}>): boolean {
    const hasEnded = this.end(state);
    if (hasEnded) {
      this.changed.notify();
    }
    return hasEnded;
  }

  /**
   * Ends the request here because it goes on at `location`; false if it has
   * ended before. Waiting callers are told by `tellMoved`.
   */
  beginMove(location: string): boolean {
    return this.end({kind: 'moved', location});
  }

  /** Tells waiting callers where the request goes on. */
  tellMoved(): void {
    this.changed.notify();
  }

  /** Notes that the answer, which is complete, is now kept at `location`. */
  move(location: string): void {
    if (this.current.kind === 'answered') {
      this.current = {kind: 'moved', location};
    }
  }

  /** Resolves once there is an event at `offset`, or the request has ended. */
  async begun(offset: number): Promise<void> {
    while (this.isRunning() && this.buffer.length <= offset) {
      await this.changed.next();
    }
  }

  /** Begins an attempt; the returned signal cancels it. */
  beginAttempt(attemptId: string, upstreamId: string): AbortSignal {
    this.attempts += 1;
    this.attemptId = attemptId;
    this.upstreamId = upstreamId;
    this.buffer.begin(attemptId);
    this.attemptControl = new AbortController();
    return this.attemptControl.signal;
  }

  /** Cancels the current attempt, if there is one. */
  cancelAttempt(reason: unknown): void {
    this.attemptControl?.abort(reason);
  }

  /** Takes an event of an attempt. */
  acceptEvent(attemptId: string, offset: number, data: string): void {
    if (this.buffer.accept(attemptId, offset, data) === 'accepted') {
      this.changed.notify();
    }
  }

  /** Resolves once it is decided whether this host holds the right. */
  async rightDecided(): Promise<void> {
    const isDecided = (): boolean =>
      !this.copy.needsClaim || this.ownRight !== undefined || !this.isRunning();
    while (!isDecided()) {
      await this.changed.next();
    }
  }

  /** Resolves once the request no longer runs. */
  async ended(): Promise<Exclude<RequestState, {readonly kind: 'running'}>> {
    while (this.current.kind === 'running') {
      await this.changed.next();
    }
    return this.current;
  }

  /** The answer as a stream, from `offset` on. */
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
          await this.changed.next();
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

  /** What operators are told. */
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

/** Whether any byte of any attempt could have reached an upstream. */
export function ranOf(request: ServedRequest): Ran {
  return request.wasSent ? 'unknown' : 'no';
}

/** The error kind by which a request ended, or `answered`. */
export function outcomeOf(state: RequestState): string {
  return state.kind === 'failed' && isServingError(state.error)
    ? state.error.kind
    : state.kind;
}
