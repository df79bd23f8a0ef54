/**
 * The work that requests of each rank offer to a shard. Urgent requests that
 * arrive in the next moment need capacity that less urgent ones would otherwise
 * fill, because an engine finishes the prompts that it has begun to read.
 */
import type {RankPressure} from './admission_terms.js';
import {DecayingRate} from './decaying_rate.js';

/** Time after which an objective counts no more. */
const OBJECTIVE_LIFETIME_MILLISECONDS = 5000;

/** A request that needs capacity. */
export interface RankedArrival {
  /** 0 is the most urgent. */
  readonly rank: number;
  /** Prompt tokens that an engine has to read. */
  readonly tokens: number;
  readonly objectiveMilliseconds: number;
}

interface RankRecord {
  readonly work: DecayingRate;
  objectiveMilliseconds: number;
  /** Time of the last arrival with that objective. */
  objectiveSeenAt: number;
}

/** The work and the objectives of recent requests by rank. */
export class RankArrivals {
  private readonly ranks = new Map<number, RankRecord>();

  /** Counts a request, whether it is admitted or not. */
  record(arrival: RankedArrival, now: number): void {
    const {rank, tokens, objectiveMilliseconds} = arrival;
    const record = this.ranks.get(rank) ?? {
      work: new DecayingRate(now),
      objectiveMilliseconds,
      objectiveSeenAt: now,
    };
    this.ranks.set(rank, record);
    record.work.add(tokens, now);
    if (
      objectiveMilliseconds <= record.objectiveMilliseconds ||
      now - record.objectiveSeenAt > OBJECTIVE_LIFETIME_MILLISECONDS
    ) {
      record.objectiveMilliseconds = objectiveMilliseconds;
      record.objectiveSeenAt = now;
    }
  }

  /**
   * Returns the most urgent rank of recent requests and of one that is not
   * counted yet, if any.
   */
  mostUrgentRank(now: number, uncountedRank = Infinity): number {
    const recent = [...this.ranks].filter(
      ([, {objectiveSeenAt}]) =>
        now - objectiveSeenAt <= OBJECTIVE_LIFETIME_MILLISECONDS,
    );
    return Math.min(uncountedRank, ...recent.map(([rank]) => rank));
  }

  /**
   * Returns the load that requests of `rank` meet at engines that together read
   * `tokensPerMillisecond`, as if a request of the rank for `uncountedTokens`
   * had been recorded now.
   */
  pressureOn(
    rank: number,
    tokensPerMillisecond: number,
    now: number,
    uncountedTokens = 0,
  ): RankPressure {
    let urgentWork = 0;
    const own = this.ranks.get(rank)?.work ?? new DecayingRate(now);
    const ownWork = own.perMillisecond(now, uncountedTokens);
    let urgentObjectiveMilliseconds = Infinity;
    for (const [otherRank, record] of this.ranks) {
      if (otherRank >= rank) {
        continue;
      }
      urgentWork += record.work.perMillisecond(now);
      if (now - record.objectiveSeenAt <= OBJECTIVE_LIFETIME_MILLISECONDS) {
        urgentObjectiveMilliseconds = Math.min(
          urgentObjectiveMilliseconds,
          record.objectiveMilliseconds,
        );
      }
    }
    const capacity = Math.max(tokensPerMillisecond, Number.EPSILON);
    return {
      urgentShare: urgentWork / capacity,
      totalShare: (urgentWork + ownWork) / capacity,
      urgentObjectiveMilliseconds,
    };
  }
}
