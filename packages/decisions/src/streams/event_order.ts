/**
 * Which events of an attempt belong to the stream that a client receives. A stream
 * may continue at another upstream, whose events must follow the last one without a
 * gap, and which may send other text than events of that stream.
 */

/** What becomes of an event. */
export type EventPlace =
  /** It is the next one of the stream. */
  | 'next'
  /** The client has it already, or it is none of the stream. */
  | 'skipped'
  /** Events before it are missing. */
  | 'after-gap';

/** Events after which the step between their ids is known if it is not 1. */
const EVENTS_OF_A_STEP = 2;

/** The order of the events of one stream. */
export class EventOrder {
  private last: number | undefined;
  private lastText: string | undefined;
  private placed = 0;
  /** Difference between ids; undefined if they differ by different numbers. */
  private step: number | undefined;
  private numbered = 0;
  private isAwaitingNext = false;
  /** Id before that of the first event. */
  private readonly start: number;

  /** `takenUpAfter`: id of the last event that the client got from elsewhere. */
  constructor(takenUpAfter?: string) {
    this.start = numberOf(takenUpAfter) ?? 0;
  }

  /** Id of the last event of the stream; undefined before the first one. */
  get lastId(): string | undefined {
    return this.lastText;
  }

  /** Number of events of the stream so far. */
  get count(): number {
    return this.placed;
  }

  /** Whether the stream can continue after its last event. */
  get canContinue(): boolean {
    return this.placed === 0 || this.lastText !== undefined;
  }

  /** Begins the events of another attempt. */
  beginAttempt(): void {
    this.isAwaitingNext = this.placed > 0;
  }

  /** Places an event by its id; undefined for one without an id. */
  place(id: string | undefined): EventPlace {
    const number = numberOf(id);
    if (id === undefined) {
      return this.isAwaitingNext ? 'skipped' : this.add(id, number);
    }
    if (number === undefined || this.last === undefined) {
      return this.add(id, number);
    }
    if (number <= this.last) {
      return 'skipped';
    }
    const step = this.knownStep;
    return this.isAwaitingNext &&
      step !== undefined &&
      number !== this.last + step
      ? 'after-gap'
      : this.add(id, number);
  }

  private get knownStep(): number | undefined {
    return this.step === 1 || this.numbered >= EVENTS_OF_A_STEP
      ? this.step
      : undefined;
  }

  private add(id: string | undefined, number: number | undefined): EventPlace {
    this.placed += 1;
    if (id === undefined) {
      return 'next';
    }
    if (number !== undefined && !this.isAwaitingNext) {
      const step = number - (this.last ?? this.start);
      this.step = this.numbered === 0 || this.step === step ? step : undefined;
      this.numbered += 1;
    }
    this.isAwaitingNext = false;
    this.last = number;
    this.lastText = id;
    return 'next';
  }
}

function numberOf(id: string | undefined): number | undefined {
  const number = id === undefined ? Number.NaN : Number(id);
  return Number.isFinite(number) ? number : undefined;
}
