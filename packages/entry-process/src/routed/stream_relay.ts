/**
 * The streamed answer of one request, over all its attempts.
 */
import type {RoutedResponder} from '@lacewingwinch/callers';
import type {SplitEvent} from '@lacewingwinch/decisions';
import {
  type AnswerHeaders,
  encodeAnswerHeaders,
  weightVersionOfEvent,
} from '@lacewingwinch/platform';
import type {AnswerHead} from '@lacewingwinch/upstreams';

import type {StreamReceiver} from './routed_attempt.js';

/** Passes whole events on, each once, in the order of their ids. */
export class StreamRelay implements StreamReceiver {
  private hasStarted = false;
  private lastId: string | undefined;
  private count = 0;
  private version: number | undefined;

  constructor(private readonly responder: RoutedResponder) {}

  /** Whether the caller has got the head of the answer. */
  get hasBegun(): boolean {
    return this.hasStarted;
  }

  /** Id of the last event passed on. */
  get lastEventId(): string | undefined {
    return this.lastId;
  }

  /** Events passed on. */
  get events(): number {
    return this.count;
  }

  /** Version of the weights that made the last event passed on, if known. */
  get weightVersion(): number | undefined {
    return this.version;
  }

  /** The headers of the first attempt stand for the whole answer. */
  onHead(head: AnswerHead, {weightVersion}: AnswerHeaders): void {
    if (!this.hasStarted) {
      this.hasStarted = true;
      this.version = weightVersion;
      this.responder.begin(head.status, encodeAnswerHeaders(head.rawHeaders));
    }
  }

  onEvents(events: readonly SplitEvent[], resume: () => void): boolean {
    const fresh = events.filter(event => this.isNew(event));
    if (fresh.length === 0) {
      return true;
    }
    this.count += fresh.length;
    this.lastId = fresh.at(-1)?.id ?? this.lastId;
    for (const {bytes} of fresh) {
      this.version = weightVersionOfEvent(bytes) ?? this.version;
    }
    const goesOn = this.responder.write(
      Buffer.concat(fresh.map(({bytes}) => bytes)),
    );
    if (!goesOn) {
      this.responder.onDrain(resume);
    }
    return goesOn;
  }

  onTail(rest: Buffer): void {
    if (rest.length > 0) {
      this.responder.write(rest);
    }
  }

  /** An event with an id at or before the last one was passed on already. */
  private isNew({id}: SplitEvent): boolean {
    if (id === undefined || this.lastId === undefined) {
      return true;
    }
    const [next, last] = [Number(id), Number(this.lastId)];
    return !Number.isFinite(next) || !Number.isFinite(last) || next > last;
  }
}
