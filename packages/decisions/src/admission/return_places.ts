/**
 * Places in time for clients that retry. Refused requests that
 * return together are refused again, so each gets the next moment at which the
 * shard is expected to have read what was promised before. A request that
 * returns at its place comes before new ones of its rank.
 *
 * It answers bursts whose clients retry as stated, at once, or never.
 */

/** Soonest return after a refusal. */
const MINIMUM_RETURN_MILLISECONDS = 200;

/** Share of their remaining time for which clients wait before they retry. */
const USEFUL_SHARE_OF_TIME_LEFT = 0.3;

/** Time by which a timer of a client may be early. */
const EARLY_MILLISECONDS = 10;

/** Time after its place for which a request may still claim it. */
const PLACE_LIFETIME_MILLISECONDS = 1000;

/** Time after its return is due for which a refusal is remembered. */
const MEMORY_MILLISECONDS = 4000;

/** Most refusals that are remembered, about 200 bytes each. */
const MAXIMUM_REFUSALS = 2000;

/** How a request relates to an earlier refusal of the same request. */
export type ReturnKind =
  /** It returns in the time that it was promised. */
  | 'at-place'
  /** It returns before the time that was stated. */
  | 'early'
  /** No refusal of it is known. */
  | 'new'
  /** Its place has lapsed, or it returns at the stated time without one. */
  | 'without-place';

/** How a request relates to an earlier refusal that is known. */
export type KnownReturn = Exclude<ReturnKind, 'new'>;

/** A request that is placed, as far as an earlier refusal of it is known. */
export interface Returned {
  readonly kind: ReturnKind;
  /** Milliseconds since the first refusal. */
  readonly waitedMilliseconds: number;
}

/** A request of which no refusal is known. */
export const NEW_REQUEST: Returned = {kind: 'new', waitedMilliseconds: 0};

/** A request that is refused. */
export interface RefusedRequest {
  /** What the client repeats when it retries. */
  readonly fingerprint: string;
  readonly rank: number;
  /** Prompt tokens that an engine has to read for it. */
  readonly tokens: number;
  readonly millisecondsLeft: number;
}

/** The capacity from which places are promised. */
export interface PlaceCapacity {
  /**
   * The requests that share it: those of one rank or, where none is left over,
   * those of all ranks.
   */
  readonly lane: number | 'all';
  readonly tokensPerMillisecond: number;
}

/** The time that is stated to a client. */
export interface ReturnTime {
  readonly milliseconds: number;
  /** Whether the request will be served if it returns at that time. */
  readonly isPlace: boolean;
}

interface Refusal {
  readonly firstAt: number;
  readonly rank: number;
  readonly tokens: number;
  readonly dueAt: number;
  readonly isPlace: boolean;
}

/** The refusals of one shard, and the places that were promised. */
export class ReturnPlaces {
  /** By fingerprint, the oldest first. */
  private readonly refusals = new Map<string, Refusal>();
  /** The refusals with a place that has not lapsed, by fingerprint. */
  private readonly places = new Map<string, Refusal>();
  /** Time of the next free place by lane. */
  private readonly nextDueAt = new Map<PlaceCapacity['lane'], number>();

  /** Returns how a request relates to an earlier refusal. */
  find(fingerprint: string, now: number): Returned {
    const refusal = this.refusals.get(fingerprint);
    if (refusal === undefined || now > refusal.dueAt + MEMORY_MILLISECONDS) {
      return NEW_REQUEST;
    }
    return {
      kind: returnKindOf(refusal, now),
      waitedMilliseconds: now - refusal.firstAt,
    };
  }

  /**
   * Records a refusal, and returns when the client may return: at the next place
   * or, if there is none or it is too late for the client, after `otherwise`
   * milliseconds. A request that returned early keeps the stated time.
   */
  refuse(
    request: RefusedRequest,
    capacity: PlaceCapacity | undefined,
    otherwise: number,
    now: number,
  ): ReturnTime {
    const {fingerprint, rank, tokens} = request;
    const time = this.timeOf(request, capacity, otherwise, now);
    const known = this.refusals.get(fingerprint);
    if (known !== undefined && returnKindOf(known, now) === 'early') {
      return time;
    }
    const firstAt = known?.firstAt ?? now;
    const {milliseconds, isPlace} = time;
    const dueAt = now + milliseconds;
    this.release(fingerprint);
    const refusal = {firstAt, rank, tokens, dueAt, isPlace};
    this.refusals.set(fingerprint, refusal);
    if (isPlace && capacity !== undefined) {
      const {lane, tokensPerMillisecond} = capacity;
      this.nextDueAt.set(lane, dueAt + tokens / tokensPerMillisecond);
      this.places.set(fingerprint, refusal);
    }
    this.forgetLapsedPlaces(now);
    this.forgetOldest(now);
    return time;
  }

  /** Returns what `refuse` would return, and records nothing. */
  timeOf(
    {fingerprint, millisecondsLeft}: RefusedRequest,
    capacity: PlaceCapacity | undefined,
    otherwise: number,
    now: number,
  ): ReturnTime {
    const known = this.refusals.get(fingerprint);
    if (known !== undefined && returnKindOf(known, now) === 'early') {
      return {milliseconds: known.dueAt - now, isPlace: known.isPlace};
    }
    const milliseconds =
      capacity === undefined
        ? undefined
        : this.nextPlace(capacity, millisecondsLeft, now);
    return {
      milliseconds: milliseconds ?? otherwise,
      isPlace: milliseconds !== undefined,
    };
  }

  /** Returns the milliseconds to the next place; undefined if it is too late. */
  private nextPlace(
    {lane}: PlaceCapacity,
    millisecondsLeft: number,
    now: number,
  ): number | undefined {
    const nextDueAt = this.nextDueAt.get(lane) ?? -Infinity;
    const milliseconds = Math.max(MINIMUM_RETURN_MILLISECONDS, nextDueAt - now);
    return milliseconds > millisecondsLeft * USEFUL_SHARE_OF_TIME_LEFT
      ? undefined
      : milliseconds;
  }

  /** Forgets the refusal of a request that is admitted. */
  release(fingerprint: string): void {
    this.refusals.delete(fingerprint);
    this.places.delete(fingerprint);
  }

  /**
   * Returns the tokens that are promised before `until` to requests of `rank` or
   * more urgent ones.
   */
  reservedTokens(rank: number, until: number, now: number): number {
    let tokens = 0;
    for (const place of this.places.values()) {
      const isBefore = place.rank <= rank && place.dueAt <= until;
      if (isBefore && !isLapsed(place, now)) {
        tokens += place.tokens;
      }
    }
    return tokens;
  }

  private forgetLapsedPlaces(now: number): void {
    for (const [fingerprint, place] of this.places) {
      if (isLapsed(place, now)) {
        this.places.delete(fingerprint);
      }
    }
  }

  private forgetOldest(now: number): void {
    for (const [fingerprint, {dueAt}] of this.refusals) {
      const isOld = now > dueAt + MEMORY_MILLISECONDS;
      if (!isOld && this.refusals.size <= MAXIMUM_REFUSALS) {
        return;
      }
      this.release(fingerprint);
    }
  }
}

function returnKindOf(refusal: Refusal, now: number): KnownReturn {
  if (now < refusal.dueAt - EARLY_MILLISECONDS) {
    return 'early';
  }
  return refusal.isPlace && !isLapsed(refusal, now)
    ? 'at-place'
    : 'without-place';
}

function isLapsed({dueAt}: Refusal, now: number): boolean {
  return now > dueAt + PLACE_LIFETIME_MILLISECONDS;
}
