/**
 * The answer to one request, assembled from the events of its attempts.
 */

/** The result of offering an event to an `AnswerBuffer`. */
export type EventVerdict =
  | 'accepted'
  /** The answer already has an event at this offset. */
  | 'doubled'
  /** Events before this offset are missing. */
  | 'gap'
  /** The event belongs to an attempt that is no longer the current one. */
  | 'stale-attempt';

/** An append-only list of events that accepts one attempt at a time. */
export class AnswerBuffer {
  private attemptId: string | undefined;
  private readonly received: string[];

  /** Starts with `events`, which earlier attempts produced. */
  constructor(events: readonly string[] = []) {
    this.received = [...events];
  }

  /** Number of events, which is the offset that the next event must have. */
  get length(): number {
    return this.received.length;
  }

  /** Makes `attemptId` the current attempt; events of others are rejected. */
  begin(attemptId: string): void {
    this.attemptId = attemptId;
  }

  /** Ends the current attempt; all events are rejected until `begin`. */
  end(): void {
    this.attemptId = undefined;
  }

  /** Appends `event` if its attempt is current and its offset is the next. */
  accept(attemptId: string, offset: number, event: string): EventVerdict {
    if (attemptId !== this.attemptId) {
      return 'stale-attempt';
    }
    if (offset < this.received.length) {
      return 'doubled';
    }
    if (offset > this.received.length) {
      return 'gap';
    }
    this.received.push(event);
    return 'accepted';
  }

  /** Returns the event at `offset`, or undefined if there is none. */
  at(offset: number): string | undefined {
    return this.received[offset];
  }

  /** Returns all events from `offset` on. */
  from(offset: number): readonly string[] {
    return this.received.slice(offset);
  }
}
