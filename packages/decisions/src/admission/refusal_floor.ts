/**
 * Keeps classes of requests from being starved by others: some capacity goes to
 * those whose requests have been refused several times in a row for the sake of
 * others, the same part of each class.
 */
import {DecayingRate} from './decaying_rate.js';

/** Refusals in a row after which a request of a class is admitted at the soonest. */
const TOLERATED_REFUSALS = 4;

/** Largest share of the capacity that is given in this way. */
const FLOOR_SHARE = 0.05;

/** Most classes that are remembered; the one refused longest ago is dropped. */
const MAXIMUM_CLASSES = 2000;

/** Requests that compete with others in the same way. */
export interface RequestClass {
  readonly rank: number;
  readonly workspace: string;
  readonly promptTokens: number;
}

/** The refusals in a row of each class. */
export class RefusalFloor {
  /** By class, the one refused longest ago first. */
  private readonly refusals = new Map<string, number>();
  /** Prompt tokens that displaced requests need. */
  private displacedWork: DecayingRate | undefined;

  /**
   * Returns whether a request that others displace is admitted all the same. Of
   * its prompt, `tokens` are read by engines that together read
   * `tokensPerMillisecond`.
   */
  admitsNext(
    requestClass: RequestClass,
    tokens: number,
    tokensPerMillisecond: number,
    now: number,
  ): boolean {
    const isAdmitted = this.wouldAdmit(
      requestClass,
      tokens,
      tokensPerMillisecond,
      now,
    );
    this.displacedWork ??= new DecayingRate(now);
    this.displacedWork.add(tokens, now);
    const key = keyOf(requestClass);
    const refusals = this.nextRefusalOf(key);
    this.refusals.delete(key);
    if (isAdmitted) {
      return true;
    }
    this.refusals.set(key, refusals);
    if (this.refusals.size > MAXIMUM_CLASSES) {
      const [oldest] = this.refusals.keys();
      this.refusals.delete(oldest ?? key);
    }
    return false;
  }

  /** Returns what `admitsNext` would return, and counts nothing. */
  wouldAdmit(
    requestClass: RequestClass,
    tokens: number,
    tokensPerMillisecond: number,
    now: number,
  ): boolean {
    const displacedWork = this.displacedWork ?? new DecayingRate(now);
    const capacity = tokensPerMillisecond * FLOOR_SHARE;
    const tolerated = Math.max(
      TOLERATED_REFUSALS,
      displacedWork.perMillisecond(now, tokens) / capacity,
    );
    return this.nextRefusalOf(keyOf(requestClass)) > tolerated;
  }

  private nextRefusalOf(key: string): number {
    return (this.refusals.get(key) ?? 0) + 1;
  }
}

/** Prompts of a class differ in size by less than a factor of two. */
function keyOf({rank, workspace, promptTokens}: RequestClass): string {
  const size = Math.floor(Math.log2(Math.max(1, promptTokens)));
  return `${rank}/${size}/${workspace}`;
}
