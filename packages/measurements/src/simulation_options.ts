/**
 * Options and results of a simulated run.
 */
import type {WorkloadRequest, WorkloadShape} from './workload.js';

/** How the engine of a request is chosen. */
export type DispatchPolicy = 'dispatcher' | 'least-reported-load' | 'random';

/**
 * How streams move away from a leaving engine. `cheapest`: with their cache or
 * by prefill, whichever is cheaper and completes in time. `prefill`: never with
 * their cache. `restart`: from the first token.
 */
export type MovePolicy = 'cheapest' | 'prefill' | 'restart';

/** Reclaim of engines during a run. */
export interface Reclaim {
  /** Virtual time of the notice, in milliseconds. */
  readonly noticeTime: number;
  readonly engineIds: readonly string[];
  readonly noticeMilliseconds: number;
}

/** Options of a run. */
export interface SimulationOptions {
  readonly shape: WorkloadShape;
  readonly requests: readonly WorkloadRequest[];
  readonly policy: DispatchPolicy;
  readonly movePolicy: MovePolicy;
  readonly reclaims: readonly Reclaim[];
  readonly random: () => number;
  /** Milliseconds that a permit request may wait at the dispatcher. */
  readonly maximumWait: number;
}

/** An answered request. */
export interface AnsweredRequest {
  readonly request: WorkloadRequest;
  /** Milliseconds from arrival to the first token. */
  readonly firstTokenMilliseconds: number;
  /** Mean milliseconds between two tokens. */
  readonly millisecondsBetweenTokens: number;
  /** Virtual time of the last token, in milliseconds. */
  readonly end: number;
}

/** Result of a run. */
export interface SimulationResult {
  readonly answered: readonly AnsweredRequest[];
  /** New requests that the dispatcher refused. */
  readonly refused: number;
  /** Requests whose stream the dispatcher refused to move. */
  readonly lost: number;
  /** Cost of all engines, in the unit of their hourly prices. */
  readonly cost: number;
  /** Tokens recomputed for streams that moved. */
  readonly recomputedTokens: number;
  readonly prefixHitRatio: number;
}
