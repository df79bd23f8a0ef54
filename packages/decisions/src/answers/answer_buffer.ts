/**
 * The answer of one request, built from the events of its current attempt.
 */

/** What became of an event that an attempt delivered. */
export type EventVerdict =
  | 'accepted'
  /** The answer already has an event at this offset. */
  | 'doubled'
  /** Events before this one are missing. */
  | 'gap'
  /** The event is of an attempt that is no longer the current one. */
  | 'stale-attempt';

/** An append-only list of events, fed by one attempt at a time. */
export class AnswerBuffer {
  private attemptId: string | undefined;
  private readonly received: string[];

  /** `events` is what earlier attempts produced. */
  constructor(events: readonly string[] = []) {
    this.received = [...events];
  }

  /** Number of events; the offset that the next event must have. */
  get length(): number {
    return this.received.length;
  }

  /** Makes `attemptId` the only attempt whose events are accepted. */
  begin(attemptId: string): void {
    this.attemptId = attemptId;
  }

  /** Accepts no further events until `begin` is called again. */
  end(): void {
    this.attemptId = undefined;
  }

  /** Takes the event at `offset` from `attemptId`, if it is the next one. */
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

  /** The event at `offset`. */
  at(offset: number): string | undefined {
    return this.received[offset];
  }

  /** All events from `offset` on. */
  from(offset: number): readonly string[] {
    return this.received.slice(offset);
  }
}
