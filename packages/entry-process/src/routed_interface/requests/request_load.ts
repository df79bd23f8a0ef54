/**
 * Counts the load that one request is for its service.
 */
import type {
  EngineChoice,
  ErrorKind,
  RoutedAdmission,
  ServiceLoadCounter,
} from '@lacewingwinch/decisions';

/** Kinds of refusal that more engines would have avoided. */
const KINDS_FOR_WANT_OF_CAPACITY: ReadonlySet<string> = new Set<ErrorKind>([
  'no-upstream',
  'overloaded',
]);

/** The attempt that was placed last. */
interface PlacedAttempt {
  readonly choice: EngineChoice;
  readonly placedAt: number;
  /** Undefined while its answer has not begun. */
  begunAt: number | undefined;
}

/** The load of one request. Times are steady clock readings. */
export class RequestLoad {
  private placed: PlacedAttempt | undefined;
  private readonly service: string;

  constructor(
    private readonly counter: ServiceLoadCounter,
    private readonly admission: RoutedAdmission,
    private readonly promptTokens: number,
    private readonly startedAt: number,
  ) {
    this.service = admission.service.name;
    counter.countRequest(this.service);
  }

  /** Counts the placement of an attempt. */
  recordPlaced(choice: EngineChoice, now: number): void {
    this.endAttempt(now);
    this.placed = {choice, placedAt: now, begunAt: undefined};
    this.counter.countPlacement(this.service, this.promptTokens, choice);
  }

  /** Counts the first byte of the answer to the last attempt. */
  recordBegan(now: number): void {
    if (this.placed === undefined || this.placed.begunAt !== undefined) {
      return;
    }
    this.placed.begunAt = now;
    const {choice, placedAt} = this.placed;
    this.counter.countStart(this.service, {
      promptTokens: this.promptTokens,
      placed: choice,
      elapsedMilliseconds: now - placedAt,
      latencyMilliseconds: now - this.startedAt,
      objectiveMilliseconds: this.admission.rule.objectiveMilliseconds,
    });
  }

  /** Counts the end of the request; `outcome` may be a kind of error. */
  recordEnd(outcome: string, now: number): void {
    this.endAttempt(now);
    if (KINDS_FOR_WANT_OF_CAPACITY.has(outcome)) {
      this.counter.countRefusal(this.service);
    }
  }

  private endAttempt(now: number): void {
    if (this.placed?.begunAt !== undefined) {
      this.counter.countOutput(this.service, now - this.placed.begunAt);
    }
    this.placed = undefined;
  }
}
