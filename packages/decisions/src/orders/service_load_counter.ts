/**
 * Counts the load that this process offers to the services whose engines are
 * ordered by load.
 */
import type {EngineChoice} from '../placement/choose_engine.js';
import {
  addLoadSums,
  NO_LOAD_SUMS,
  type ServiceLoadReport,
  type ServiceLoadSums,
} from './service_load_report.js';

/**
 * Fewest uncached tokens from which the time to read a token is measured. For
 * shorter prompts, the duration of the engine's steps dominates.
 */
const MINIMUM_MEASURED_TOKENS = 1000;

/**
 * Lowest measured speed. A host that was frozen before it read the first byte
 * says nothing about the engine.
 */
const MINIMUM_TOKENS_PER_MILLISECOND = 2;

/** What the placement of a request says of the work that it is. */
export type PlacedPrompt = Pick<
  EngineChoice,
  'cachedTokens' | 'estimateMilliseconds' | 'mustWait'
>;

/** The beginning of an answer. */
export interface AnswerStart {
  readonly promptTokens: number;
  readonly placed: PlacedPrompt;
  /** Milliseconds from the placement to the first byte. */
  readonly elapsedMilliseconds: number;
  /** Milliseconds from the arrival of the request to the first byte. */
  readonly latencyMilliseconds: number;
  readonly objectiveMilliseconds: number;
}

/** The sums of this process by service. */
export class ServiceLoadCounter {
  private readonly sums = new Map<string, ServiceLoadSums>();

  constructor(private readonly processId: string) {}

  /** Counts a request within its quota. */
  countRequest(service: string): void {
    this.add(service, {requests: 1});
  }

  /** Counts a request that is refused for want of capacity. */
  countRefusal(service: string): void {
    this.add(service, {refusals: 1});
  }

  /** Counts the placement of an attempt. */
  countPlacement(
    service: string,
    promptTokens: number,
    placed: PlacedPrompt,
  ): void {
    const uncachedTokens = Math.max(0, promptTokens - placed.cachedTokens);
    this.add(service, {
      placements: 1,
      uncachedTokens,
      cachedTokens: promptTokens - uncachedTokens,
      squaredMegatokens: uncachedTokens ** 2 / 1e6,
    });
  }

  /** Counts the beginning of an answer. */
  countStart(service: string, start: AnswerStart): void {
    const {promptTokens, placed, elapsedMilliseconds} = start;
    const tokens = Math.max(0, promptTokens - placed.cachedTokens);
    const isMeasured = !placed.mustWait && tokens >= MINIMUM_MEASURED_TOKENS;
    this.add(service, {
      starts: 1,
      lateStarts: isAvoidablyLate(start) ? 1 : 0,
      ...(isMeasured && {
        measuredSquares: tokens ** 2 / 1e6,
        measuredProducts:
          (tokens / 1e6) *
          Math.min(
            elapsedMilliseconds,
            tokens / MINIMUM_TOKENS_PER_MILLISECOND,
          ),
      }),
    });
  }

  /** Counts the time for which an answer took a place at its upstream. */
  countOutput(service: string, milliseconds: number): void {
    this.add(service, {outputMilliseconds: milliseconds});
  }

  /**
   * Returns the sums for `services`, also for those without requests:
   * a host without load counts as one that reports.
   */
  reports(services: readonly string[]): readonly ServiceLoadReport[] {
    return services.map(service => {
      const sums = this.sums.get(service) ?? NO_LOAD_SUMS;
      return {
        processId: this.processId,
        service,
        ...sums,
        squaredMegatokens: Math.round(sums.squaredMegatokens),
        measuredSquares: Math.round(sums.measuredSquares),
        measuredProducts: Math.round(sums.measuredProducts * 100) / 100,
        outputMilliseconds: Math.round(sums.outputMilliseconds),
      };
    });
  }

  private add(service: string, amounts: Partial<ServiceLoadSums>): void {
    const sums = this.sums.get(service) ?? NO_LOAD_SUMS;
    this.sums.set(service, addLoadSums(sums, {...NO_LOAD_SUMS, ...amounts}));
  }
}

/**
 * Returns whether an answer is late because of other requests: those that it was
 * known to wait for, or others, as it was expected on time. A prompt that takes
 * longer than the objective to read is late on any number of engines.
 */
function isAvoidablyLate({
  placed,
  latencyMilliseconds,
  objectiveMilliseconds,
}: AnswerStart): boolean {
  const isExpectedOnTime = placed.estimateMilliseconds <= objectiveMilliseconds;
  return (
    latencyMilliseconds > objectiveMilliseconds &&
    (placed.mustWait || isExpectedOnTime)
  );
}
