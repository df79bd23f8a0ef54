/**
 * The terms on which a request may wait, and its refusal.
 */
import type {LatencyBounds} from '../placement/decide_load_shedding.js';
import type {ReturnKind} from './return_places.js';

/** What a client needs, stated with each placement request. */
export interface AdmissionTerms extends LatencyBounds {
  /** Time without a first event after which the client leaves. */
  readonly patienceMilliseconds: number;
  /** Workspace of the request; empty if there is none. */
  readonly workspace: string;
  /**
   * Weight of the workspace among those of its rank; absent if its quota states
   * no rate in tokens.
   */
  readonly workspaceWeight?: number;
  /** What the client repeats when it retries; absent from older hosts. */
  readonly fingerprint?: string;
  /**
   * Whether the request was offered to another shard before, which counts it
   * as an arrival.
   */
  readonly isOverflow?: boolean;
  /** Whether the request is offered to another shard if this one refuses it. */
  readonly hasAnotherShard?: boolean;
}

/** Why a request is refused. */
export type AdmissionRefusalReason =
  /** The client would have left before the first event. */
  | 'deadline'
  /** More urgent requests need the capacity. */
  | 'held-back'
  /** The answer would be late and would delay others. */
  | 'late'
  /** Other workspaces of the rank get less than their share. */
  | 'share';

/** The load of a shard, as seen by requests of one rank. */
export interface RankPressure {
  /**
   * Share of the capacity that more urgent requests need; may exceed 1.
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
  /**
   * Whether the request will be served if it returns at that time; absent from
   * older hosts.
   */
  readonly isPlace?: boolean;
  /** How the request relates to an earlier refusal; absent from older hosts. */
  readonly returned?: ReturnKind;
  /** Expected milliseconds until the first event. */
  readonly startMilliseconds: number;
  /** Error of the expected start in milliseconds. */
  readonly errorMilliseconds: number;
  /** Age of the knowledge that the expected start rests on; -1 if unknown. */
  readonly knowledgeAgeMilliseconds: number;
  /** Share of the capacity that requests up to this rank need. */
  readonly totalShare: number;
}
