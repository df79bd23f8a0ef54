/**
 * The terms on which a request may wait, and the decision to admit or refuse
 * it.
 */
import type {LatencyBounds} from '../placement/decide_load_shedding.js';

/** What a client needs, stated with each placement request. */
export interface AdmissionTerms extends LatencyBounds {
  /** Time without a first event after which the client leaves. */
  readonly patienceMilliseconds: number;
  /** Workspace of the request; empty if there is none. */
  readonly workspace: string;
  /**
   * Whether the request was offered to another shard before, which counts it
   * as an arrival.
   */
  readonly isOverflow?: boolean;
}

/** Why a request is refused. */
export type AdmissionRefusalReason =
  /** The client would have left before the first event. */
  | 'deadline'
  /** More urgent requests need the capacity. */
  | 'held-back'
  /** The answer would be late and would delay others. */
  | 'late';

/** The load of a shard, as seen by requests of one rank. */
export interface RankPressure {
  /**
   * Share of the capacity that more urgent requests ask for; may exceed 1.
   */
  readonly urgentShare: number;
  /** The same with the requests of the rank itself. */
  readonly totalShare: number;
  /**
   * Shortest objective of more urgent requests in milliseconds; `Infinity` if
   * there are none.
   */
  readonly urgentObjectiveMilliseconds: number;
}

/** The refusal of a request that has not run and will not run. */
export interface AdmissionRefusal {
  readonly kind: 'refused';
  readonly reason: AdmissionRefusalReason;
  readonly retryAfterMilliseconds: number;
  /** Expected milliseconds until the first event. */
  readonly startMilliseconds: number;
  /** Error of the expected start in milliseconds. */
  readonly errorMilliseconds: number;
  /** Age of the knowledge that the expected start rests on; -1 if unknown. */
  readonly knowledgeAgeMilliseconds: number;
  /** Share of the capacity that requests up to this rank ask for. */
  readonly totalShare: number;
}

/** The decision on a request. */
export type AdmissionVerdict =
  | {readonly kind: 'admitted'}
  /**
   * The request is admitted so that its class is not starved, and is read with
   * the most urgent ones, because it would be late otherwise.
   */
  | {readonly kind: 'promoted'; readonly rank: number}
  | AdmissionRefusal;
