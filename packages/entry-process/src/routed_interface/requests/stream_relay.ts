/**
 * The streamed response to one request, across all its attempts.
 */
import type {RoutedResponder} from '@lacewingwinch/callers';
import type {BodyFraming, SplitEvent} from '@lacewingwinch/decisions';
import {
  type AnswerHeaders,
  encodeAnswerHeaders,
  weightVersionOfEvent,
} from '@lacewingwinch/platform';
import type {AnswerHead} from '@lacewingwinch/upstreams';

import type {StreamReceiver} from './routed_attempt.js';

/** Relays complete events, each one once and in the order of their ids. */
export class StreamRelay implements StreamReceiver {
  private framing: BodyFraming | undefined;
  private lastId: string | undefined;
  private count = 0;
  private version: number | undefined;
  /** Resumes the attempt that waits for the client; undefined if none does. */
  private resumeAttempt: (() => void) | undefined;

  constructor(
    private readonly responder: RoutedResponder,
    /** Called before the first event is relayed. */
    private readonly onFirstEvent: () => void,
  ) {}

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
    return this.lastId;
  }

  /** Number of relayed events. */
  get events(): number {
    return this.count;
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
    if (this.framing === undefined) {
      const {status, rawHeaders, framing} = head;
      this.framing = framing;
      this.version = weightVersion;
      this.responder.begin(status, encodeAnswerHeaders(rawHeaders), framing);
    }
  }

  onEvents(events: readonly SplitEvent[], resume: () => void): boolean {
    const newEvents = events.filter(event => this.isNew(event));
    if (newEvents.length === 0) {
      return true;
    }
    if (this.count === 0) {
      this.onFirstEvent();
    }
    this.count += newEvents.length;
    this.lastId = newEvents.at(-1)?.id ?? this.lastId;
    for (const {bytes} of newEvents) {
      this.version = weightVersionOfEvent(bytes) ?? this.version;
    }
    const canContinue = this.responder.write(
      Buffer.concat(newEvents.map(({bytes}) => bytes)),
    );
    if (!canContinue) {
      this.waitForClient(resume);
    }
    return canContinue;
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

  onTail(tail: Buffer): void {
    if (tail.length > 0) {
      this.responder.write(tail);
    }
  }

  /**
   * Returns whether an event has not been relayed yet. An event whose id is at
   * or before the last one has been relayed already.
   */
  private isNew({id}: SplitEvent): boolean {
    if (id === undefined || this.lastId === undefined) {
      return true;
    }
    const [next, last] = [Number(id), Number(this.lastId)];
    return !Number.isFinite(next) || !Number.isFinite(last) || next > last;
  }
}
