/**
 * The rules of admission that the model of overload compares.
 */
import {
  type AdmissionRefusal,
  type AdmissionTerms,
  type AdmittedChoice,
  decideLoadShedding,
  type EngineChoice,
  NO_GRANTS,
  type PlacementDemand,
  PlacementTable,
  ShardAdmission,
  type UsableUpstream,
} from '@lacewingwinch/decisions';

import type {RequestKind} from './overload_patterns.js';
import {randomFrom} from './random_numbers.js';

/** The rule by which requests are admitted and ordered. */
export type AdmissionPolicy =
  /** Nothing is refused, and engines read prompts in the order of arrival. */
  | 'arrival-order'
  /** A wait is tolerated by the objective of the request alone. */
  | 'by-objective'
  /** A wait is tolerated by the rank of the request. */
  | 'by-rank';

/** Distance of the seed of the jitter from that of the arrivals. */
const JITTER_SEED_OFFSET = 1000;

const CACHE_RETENTION_MILLISECONDS = 20_000;

/** A request of the model. */
export interface ModelRequest {
  readonly kind: RequestKind;
  readonly index: number;
  readonly workspace: string;
  readonly sharedPart: string;
  readonly tokens: number;
  readonly arrivedAt: number;
  readonly isCounted: boolean;
  attempts: number;
  /** Whether the last refusal promised a place. */
  hasPlace: boolean;
  hasStarted: boolean;
}

/** The refusal of a request of the model. */
export type ModelRefusal = Pick<
  AdmissionRefusal,
  'isPlace' | 'kind' | 'retryAfterMilliseconds'
>;

/** Admits requests by one policy. */
export class ModelAdmission {
  readonly table = new PlacementTable(CACHE_RETENTION_MILLISECONDS);
  private readonly shard = new ShardAdmission();
  /** Of its own, so that arrivals do not depend on the policy. */
  private readonly jitter: () => number;

  constructor(
    private readonly policy: AdmissionPolicy,
    seed: number,
  ) {
    this.jitter = randomFrom(seed + JITTER_SEED_OFFSET);
  }

  /** Places a request, or refuses it, by the policy. */
  place(
    request: ModelRequest,
    demand: PlacementDemand,
    upstreams: readonly UsableUpstream[],
    now: number,
  ): AdmittedChoice | ModelRefusal {
    const terms = termsOf(request, now);
    const place = (
      placed: PlacementDemand,
      isAdmitted: (choice: EngineChoice) => boolean,
    ): EngineChoice | undefined =>
      this.table.place(
        'front',
        placed,
        upstreams,
        'north',
        now,
        NO_GRANTS,
        isAdmitted,
      );
    let retryAfterMilliseconds = 0;
    let placed: AdmissionRefusal | AdmittedChoice | undefined;
    switch (this.policy) {
      case 'arrival-order':
      case 'by-objective': {
        const choice = place(demand, candidate => {
          const verdict = decideLoadShedding(candidate, terms, this.jitter());
          if (verdict.kind === 'send' || this.policy === 'arrival-order') {
            return true;
          }
          ({retryAfterMilliseconds} = verdict);
          return false;
        });
        placed = choice && {kind: 'chosen', choice};
        break;
      }
      case 'by-rank':
        placed = this.shard.place(
          {demand, terms},
          {
            tokensPerMillisecond: upstreams.reduce(
              (sum, {upstreamId}) =>
                sum + this.table.prefillSpeedOf(upstreamId),
              0,
            ),
            keepsPlaces: true,
            speedOf: upstreamId => this.table.prefillSpeedOf(upstreamId),
            place,
          },
          this.jitter(),
          now,
        );
    }
    return placed ?? {kind: 'refused', retryAfterMilliseconds};
  }
}

/** Returns what the client of a request needs at `now`. */
export function termsOf(
  {kind, index, arrivedAt, workspace}: ModelRequest,
  now: number,
): AdmissionTerms {
  return {
    objectiveMilliseconds: kind.objective,
    millisecondsLeft: arrivedAt + kind.deadline - now,
    patienceMilliseconds: Math.max(2000, kind.objective * 4),
    workspace,
    fingerprint: `${kind.name}/${index}`,
  };
}
