/**
 * The parts of the decision on a request at the shard that is to run it, which
 * neither change nor keep any state.
 */
import type {
  EngineChoice,
  PlacementDemand,
} from '../placement/choose_engine.js';
import type {
  AdmissionRefusal,
  AdmissionRefusalReason,
  AdmissionTerms,
} from './admission_terms.js';
import {
  isDeadlineUnreachable,
  type MetLoad,
} from './decide_ranked_admission.js';
import type {RequestClass} from './refusal_floor.js';
import type {
  KnownReturn,
  PlaceCapacity,
  RefusedRequest,
  Returned,
  ReturnKind,
} from './return_places.js';
import type {ShareLevel} from './workspace_shares.js';

/**
 * Share of the capacity that is promised to refused requests where none is left
 * over, so that they are not refused for as long as the load lasts.
 */
const MINIMUM_SHARE_OF_PLACES = 0.02;

/** A request that is to be placed in the shard. */
export interface AdmissionRequest {
  readonly demand: PlacementDemand;
  readonly terms: AdmissionTerms;
}

/** The shard, as the host that places the request knows it. */
export interface AdmittingShard {
  /**
   * Prompt tokens that the engines of the shard, or this host's part of them,
   * read per millisecond.
   */
  readonly tokensPerMillisecond: number;
  /** Whether returning clients reach this host whichever front they call. */
  readonly keepsPlaces: boolean;
  /** Returns the prompt tokens that an engine reads per millisecond. */
  readonly speedOf: (upstreamId: string) => number;
  /**
   * Chooses an engine, and counts the request there if `isAdmitted` returns
   * true for it.
   */
  readonly place: (
    demand: PlacementDemand,
    isAdmitted: (choice: EngineChoice) => boolean,
  ) => EngineChoice | undefined;
}

/** The choice of an engine for an admitted request. */
export interface AdmittedChoice {
  readonly kind: 'chosen';
  readonly choice: EngineChoice;
  /** Rank at the engine; absent if it is that of the request. */
  readonly promotedRank?: number;
  /** How the request relates to an earlier refusal; absent if it is new. */
  readonly returned?: KnownReturn;
}

/** What is known of a request at the best engine for it. */
export interface AdmissionAssessment {
  readonly best: EngineChoice;
  /** Prompt tokens that the engine has to read. */
  readonly tokens: number;
  /** Whether the request counts as an arrival. */
  readonly isArrival: boolean;
  readonly load: MetLoad;
  /** Level of the shares of its rank; undefined if it was not computed. */
  readonly shareLevel: ShareLevel | undefined;
  readonly returned: ReturnKind;
  /** Undefined if the request is admitted. */
  readonly reason: AdmissionRefusalReason | undefined;
}

/** A refusal that is remembered until the client returns. */
export interface RememberedRefusal {
  readonly request: RefusedRequest;
  readonly capacity: PlaceCapacity | undefined;
  /** Milliseconds after which a client without a place may return. */
  readonly otherwise: number;
}

/** The decision on a request, with all that has to be counted for it. */
export interface AdmissionDecision {
  /** Undefined if there is no engine. */
  readonly result: AdmissionRefusal | AdmittedChoice | undefined;
  readonly assessment: AdmissionAssessment;
  /** Whether the request counts as displaced by others. */
  readonly isDisplaced: boolean;
  readonly remembered?: RememberedRefusal | undefined;
}

/**
 * Returns whether a request is refused for the sake of others; a client that was
 * refused before waits for its place.
 */
export function isDisplacedBy(
  reason: AdmissionRefusalReason,
  returned: ReturnKind,
): boolean {
  switch (reason) {
    case 'deadline':
    case 'share':
      return false;
    case 'held-back':
    case 'late':
      return returned === 'new';
  }
}

/** Returns the requests that compete with others in the same way. */
export function classOf({demand, terms}: AdmissionRequest): RequestClass {
  const {priority: rank, promptTokens} = demand;
  return {rank, workspace: terms.workspace, promptTokens};
}

/**
 * Returns what is remembered of a refusal, for a place in time; undefined if the
 * client may return to other hosts, or cannot be recognized.
 */
export function rememberedRefusal(
  {demand, terms}: AdmissionRequest,
  {load, tokens}: AdmissionAssessment,
  {keepsPlaces, tokensPerMillisecond}: AdmittingShard,
  otherwise: number,
): RememberedRefusal | undefined {
  const {fingerprint, millisecondsLeft, hasAnotherShard} = terms;
  if (fingerprint === undefined || !keepsPlaces) {
    return undefined;
  }
  const rank = demand.priority;
  const shareLeft = 1 - load.totalShare;
  const isLeft = shareLeft > MINIMUM_SHARE_OF_PLACES;
  const share = isLeft ? shareLeft : MINIMUM_SHARE_OF_PLACES;
  const capacity: PlaceCapacity = {
    lane: isLeft ? rank : 'all',
    tokensPerMillisecond: share * tokensPerMillisecond,
  };
  return {
    request: {fingerprint, rank, tokens, millisecondsLeft},
    capacity: hasAnotherShard === true ? undefined : capacity,
    otherwise,
  };
}

/** A promised place is void only if the client would leave before its start. */
export function reasonToRefuseAtPlace(
  best: EngineChoice,
  terms: AdmissionTerms,
  load: MetLoad,
): AdmissionRefusalReason | undefined {
  return isDeadlineUnreachable(best, terms, {...load, reservedMilliseconds: 0})
    ? 'deadline'
    : undefined;
}

/** Returns the terms of a client that has waited since an earlier refusal. */
export function afterWait(
  terms: AdmissionTerms,
  {waitedMilliseconds}: Returned,
): AdmissionTerms {
  const objectiveMilliseconds = Math.max(
    0,
    terms.objectiveMilliseconds - waitedMilliseconds,
  );
  return {...terms, objectiveMilliseconds};
}

/** Returns the field that says how a request relates to an earlier refusal. */
export function returnedField(
  returned: ReturnKind,
): Pick<AdmittedChoice, 'returned'> {
  return returned === 'new' ? {} : {returned};
}
