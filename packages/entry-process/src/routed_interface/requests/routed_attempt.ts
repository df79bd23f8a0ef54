/**
 * One attempt at an upstream, from the first byte sent to its outcome.
 */
import {
  type AnswerEnd,
  type AnswerMemory,
  ByteAccumulator,
  type CollectedAnswer,
  EventSplitter,
  findStreamFault,
  judgeAnswerEnd,
  MAXIMUM_RESPONSE_BYTES,
  type RoutedAttemptFailure,
  type SplitEvent,
} from '@lacewingwinch/decisions';
import {type AnswerHeaders, decodeAnswerHeaders} from '@lacewingwinch/platform';
import {
  type AnswerHead,
  type ExchangeSender,
  type PooledExchange,
  type PooledRequest,
  type SendingConnection,
} from '@lacewingwinch/upstreams';

import {
  failureOfHead,
  failureOfUnsent,
  isForeign,
  lostAnswer,
  lostStream,
} from './attempt_faults.js';

/** Outcome of an attempt. */
export type AttemptOutcome =
  | {
      readonly kind: 'whole';
      readonly head: AnswerHead;
      /** The body in parts. */
      readonly body: readonly Buffer[];
    }
  /** Every event was passed to the receiver. */
  | {
      readonly kind: 'streamed';
      /** Whether the upstream stated that the stream is complete. */
      readonly isConfirmed: boolean;
    }
  | {readonly kind: 'failed'; readonly failure: RoutedAttemptFailure}
  | {readonly kind: 'cancelled'};

/** What a receiver makes of events. */
export type EventsResult =
  | {readonly kind: 'continue'}
  /** The response pauses until `resume` is called. */
  | {readonly kind: 'paused'}
  /** They are not those of the stream. */
  | {readonly kind: 'faulty'; readonly reason: string};

/** Receiver of a streamed response while it arrives. */
export interface StreamReceiver {
  /** Whether an orderly end reports the stream as complete to the client. */
  readonly isFramed: boolean;
  /** Number of events that the client has got. */
  readonly events: number;
  onHead(head: AnswerHead, answerHeaders: AnswerHeaders): void;
  onEvents(events: readonly SplitEvent[], resume: () => void): EventsResult;
}

/** Inputs and callbacks of an attempt. */
export interface AttemptPlan {
  readonly attemptId: string;
  readonly isStreamed: boolean;
  /** Whether the request continues a stream after one of its events. */
  readonly isContinuation: boolean;
  /** Milliseconds within which a begun event of a stream must be complete. */
  readonly eventPatienceMilliseconds: number;
  readonly request: PooledRequest;
  /** Bounds the memory of all answers of the process. */
  readonly memory: AnswerMemory;
  readonly stream: StreamReceiver;
  /** Returns whether the upstream accepts requests from this host. */
  readonly isAccepting: () => boolean;
  /** Called just before the first byte is written. */
  readonly onSend: (connection: SendingConnection) => void;
  /** Called with each part of a response that arrives. */
  readonly onBytes: () => void;
  /** Called with the head of each response. */
  readonly onHead: (
    head: AnswerHead,
    headers: AnswerHeaders,
    isOwn: boolean,
  ) => void;
  /** Called when the answer ends without an error of its connection. */
  readonly onAnswerEnd: (end: AnswerEnd) => void;
  /** Called at the first sign that the upstream is working on the request. */
  readonly onFirstAnswerByte: () => void;
}

/** A running attempt. */
export class RoutedAttempt {
  readonly outcome: Promise<AttemptOutcome>;
  private settle: (outcome: AttemptOutcome) => void = () => undefined;
  private exchange: PooledExchange | undefined;
  private head: AnswerHead | undefined;
  private isRelayed = false;
  private readonly splitter = new EventSplitter();
  private readonly body = new ByteAccumulator();
  /** Events that the client had got from earlier attempts. */
  private earlierEvents = 0;
  /** Time at which the pending event began; undefined without one. */
  private eventBegunAt: number | undefined;
  private isCancelled = false;
  /** What the answer takes of the memory; undefined before its body. */
  private collected: CollectedAnswer | undefined;

  constructor(
    private readonly pool: ExchangeSender,
    private readonly plan: AttemptPlan,
    private readonly clock: () => number,
  ) {
    this.outcome = new Promise(resolve => {
      this.settle = outcome => {
        this.releaseMemory();
        resolve(outcome);
      };
    });
  }

  /** Sends the request. */
  start(): void {
    this.exchange = this.pool.send(this.plan.request, {
      onSend: connection => {
        if (this.isCancelled) {
          return false;
        }
        if (!this.plan.isAccepting()) {
          this.fail({
            kind: 'withheld',
            reason: 'the upstream has stopped accepting requests',
          });
          return false;
        }
        this.plan.onSend(connection);
        return true;
      },
      onHead: head => this.onHead(head),
      onData: chunk => this.onData(chunk),
      onEnd: () => this.onEnd(),
      onError: (error, wasSent) => {
        this.fail(
          wasSent
            ? {kind: 'lost', cause: 'connection', reason: error.message}
            : failureOfUnsent(error),
        );
      },
    });
    if (this.exchange === undefined) {
      this.fail({
        kind: 'no-connection',
        reason: 'every connection is in use',
      });
    }
  }

  /**
   * Closes the connection, so that the upstream stops working on the request.
   */
  cancel(outcome: AttemptOutcome = {kind: 'cancelled'}): void {
    this.isCancelled = true;
    this.exchange?.cancel();
    this.settle(outcome);
  }

  private onHead(head: AnswerHead): void {
    this.head = head;
    const answerHeaders = decodeAnswerHeaders(head.headers);
    const {status} = head;
    const isOwn = !isForeign(answerHeaders, this.plan.attemptId);
    this.plan.onBytes();
    this.plan.onHead(head, answerHeaders, isOwn);
    if (answerHeaders.attemptId === undefined) {
      // A late copy of this answer could not be distinguished from the next one.
      this.exchange?.retire();
    }
    const isStream = this.plan.isStreamed && status === 200;
    const failure = failureOfHead(status, answerHeaders, {
      isStream,
      attemptId: this.plan.attemptId,
      isFirstOnConnection: head.isFirstOnConnection,
    });
    if (failure !== undefined) {
      this.cancelUnlessReusable(failure);
      return;
    }
    this.plan.onFirstAnswerByte();
    if (isStream) {
      this.isRelayed = true;
      this.earlierEvents = this.plan.stream.events;
      this.plan.stream.onHead(head, answerHeaders);
    }
  }

  /**
   * Reads a "not executed" response to its end and keeps the connection; closes
   * the connection after any other failure.
   */
  private cancelUnlessReusable(failure: RoutedAttemptFailure): void {
    if (failure.kind === 'not-executed') {
      this.settle({kind: 'failed', failure});
      return;
    }
    this.cancel({kind: 'failed', failure});
  }

  private onData(chunk: Buffer): void {
    this.plan.onBytes();
    if (this.isRelayed) {
      const events = this.splitter.push(chunk);
      if (events.length > 0) {
        this.relayEvents(events);
      }
      this.checkPendingEvent(events.length > 0, this.clock());
      this.countMemory(this.splitter.pendingBytes);
      return;
    }
    if (this.body.length + chunk.length > MAXIMUM_RESPONSE_BYTES) {
      const failure = lostAnswer('the answer is too large');
      this.cancel({kind: 'failed', failure});
      return;
    }
    this.body.appendOwned(chunk);
    this.countMemory(this.body.length);
  }

  private relayEvents(events: readonly SplitEvent[]): void {
    const result = this.plan.stream.onEvents(events, () =>
      this.exchange?.resume(),
    );
    switch (result.kind) {
      case 'continue':
        return;
      case 'paused':
        this.exchange?.pause();
        return;
      case 'faulty':
        this.cancel({kind: 'failed', failure: lostAnswer(result.reason)});
    }
  }

  /** Counts the bytes that are kept of the answer. */
  private countMemory(bytes: number): void {
    if (this.isCancelled) {
      return;
    }
    this.collected ??= {
      hasLength: this.head?.framing === 'length',
      giveUp: () =>
        this.cancel({
          kind: 'failed',
          failure: lostAnswer('all answers together take too much memory'),
        }),
    };
    this.plan.memory.update(this.collected, bytes);
  }

  private releaseMemory(): void {
    if (this.collected !== undefined) {
      this.plan.memory.remove(this.collected);
    }
  }

  /**
   * Gives up a stream whose pending event grows without end. Silence alone does
   * not end a stream, because the upstream may still be working on it.
   */
  private checkPendingEvent(hasNewEvent: boolean, now: number): void {
    const bytes = this.splitter.pendingBytes;
    if (bytes === 0) {
      this.eventBegunAt = undefined;
      return;
    }
    const since = hasNewEvent ? now : (this.eventBegunAt ?? now);
    this.eventBegunAt = since;
    const fault = findStreamFault(
      {bytes, since},
      this.plan.eventPatienceMilliseconds,
      now,
    );
    if (fault !== undefined) {
      this.cancel({kind: 'failed', failure: lostAnswer(fault)});
    }
  }

  private onEnd(): void {
    if (this.head === undefined) {
      this.fail(lostAnswer('the answer has no head'));
      return;
    }
    const {framing} = this.head;
    const end = {
      framing,
      pendingBytes: this.splitter.pendingBytes,
      events: this.plan.stream.events - this.earlierEvents,
      isContinuation: this.plan.isContinuation,
      isJoined: this.earlierEvents > 0,
    };
    this.plan.onAnswerEnd(end);
    if (this.isRelayed) {
      this.endStream(end);
      return;
    }
    this.settle({kind: 'whole', head: this.head, body: this.body.takeParts()});
  }

  private endStream(end: AnswerEnd): void {
    const verdict = judgeAnswerEnd(end);
    switch (verdict) {
      case 'broken-off':
        this.fail(
          lostStream(
            end,
            end.pendingBytes > 0
              ? 'the stream ended inside an event'
              : 'the stream ended without an event',
          ),
        );
        return;
      case 'unconfirmed':
        if (this.plan.stream.isFramed) {
          this.fail(lostStream(end, 'the end of the stream is not confirmed'));
          return;
        }
        break;
      case 'complete':
    }
    this.settle({kind: 'streamed', isConfirmed: verdict === 'complete'});
  }

  private fail(failure: RoutedAttemptFailure): void {
    this.settle({kind: 'failed', failure});
  }
}
