/**
 * The streamed response to one request, across all its attempts.
 */
import type {RoutedResponder} from '@lacewingwinch/callers';
import {
  type BodyFraming,
  EventOrder,
  type SplitEvent,
} from '@lacewingwinch/decisions';
import {
  type AnswerHeaders,
  encodeAnswerHeaders,
  weightVersionOfEvent,
} from '@lacewingwinch/platform';
import type {AnswerHead} from '@lacewingwinch/upstreams';

import type {EventsResult, StreamReceiver} from './routed_attempt.js';

/** Relays complete events, each one once and in the order of their ids. */
export class StreamRelay implements StreamReceiver {
  private framing: BodyFraming | undefined;
  private readonly order: EventOrder;
  private version: number | undefined;
  /** Resumes the attempt that waits for the client; undefined if none does. */
  private resumeAttempt: (() => void) | undefined;

  constructor(
    private readonly responder: RoutedResponder,
    /** Called before the first event is relayed. */
    private readonly onFirstEvent: () => void,
    /** Id of the event after which the client takes the stream up. */
    takenUpAfter?: string,
  ) {
    this.order = new EventOrder(takenUpAfter);
  }

  /** Whether the head of the response has been sent to the client. */
  get hasBegun(): boolean {
    return this.framing !== undefined;
  }

  /** Whether an orderly end reports the response as complete to the client. */
  get isFramed(): boolean {
    return this.framing !== undefined && this.framing !== 'connection';
  }

  /** Id of the last relayed event. */
  get lastEventId(): string | undefined {
    return this.order.lastId;
  }

  /** Number of relayed events. */
  get events(): number {
    return this.order.count;
  }

  /** Whether another attempt can continue after the last relayed event. */
  get canContinue(): boolean {
    return this.order.canContinue;
  }

  /** Version of the weights that produced the last relayed event, if known. */
  get weightVersion(): number | undefined {
    return this.version;
  }

  /**
   * Sends the head of the response; only the headers of the first attempt are
   * used.
   */
  onHead(head: AnswerHead, {weightVersion}: AnswerHeaders): void {
    this.order.beginAttempt();
    if (this.framing === undefined) {
      const {status, rawHeaders, framing} = head;
      this.framing = framing;
      this.version = weightVersion;
      this.responder.begin(status, encodeAnswerHeaders(rawHeaders), framing);
    }
  }

  onEvents(events: readonly SplitEvent[], resume: () => void): EventsResult {
    const isFirst = this.order.count === 0;
    const relayed: SplitEvent[] = [];
    let fault: string | undefined;
    for (const event of events) {
      fault = this.faultOf(event, relayed);
      if (fault !== undefined) {
        break;
      }
    }
    const canContinue = this.write(relayed, isFirst);
    if (fault !== undefined) {
      return {kind: 'faulty', reason: fault};
    }
    if (!canContinue) {
      this.waitForClient(resume);
    }
    return {kind: canContinue ? 'continue' : 'paused'};
  }

  /** Adds `event` to those to relay; returns why the answer is not the stream. */
  private faultOf(
    event: SplitEvent,
    relayed: SplitEvent[],
  ): string | undefined {
    if (!event.isWellFormed) {
      return 'the stream has bytes that are no event';
    }
    switch (this.order.place(event.id)) {
      case 'next':
        relayed.push(event);
        return undefined;
      case 'skipped':
        return undefined;
      case 'after-gap':
        return 'events are missing in the continuation';
    }
  }

  /** Returns whether the client takes more. */
  private write(events: readonly SplitEvent[], isFirst: boolean): boolean {
    if (events.length === 0) {
      return true;
    }
    if (isFirst) {
      this.onFirstEvent();
    }
    for (const {bytes} of events) {
      this.version = weightVersionOfEvent(bytes) ?? this.version;
    }
    return this.responder.write(Buffer.concat(events.map(({bytes}) => bytes)));
  }

  /** Resumes the attempt that paused last as soon as the client has read on. */
  private waitForClient(resume: () => void): void {
    const isWaiting = this.resumeAttempt !== undefined;
    this.resumeAttempt = resume;
    if (isWaiting) {
      return;
    }
    this.responder.onDrain(() => {
      const resumeLast = this.resumeAttempt;
      this.resumeAttempt = undefined;
      resumeLast?.();
    });
  }
}
