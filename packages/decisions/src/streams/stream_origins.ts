/**
 * Where streams began. Clients take up a stream that broke off at any host, and
 * the host that began it may be gone, so that others keep its origin as well.
 */

/** The engine software that brought the first event of a stream. */
export interface StreamOrigin {
  /** ID of the client's attempt that brought the first event. */
  readonly attemptId: string;
  readonly service: string;
  readonly softwareVersion: string;
  /** Milliseconds for which the stream may be taken up. */
  readonly lifetimeMilliseconds: number;
}

interface KeptOrigin {
  readonly origin: StreamOrigin;
  readonly expiresAt: number;
}

/** Largest number of origins kept: those of seconds at the peak of a fleet. */
const MAXIMUM_ORIGINS = 20_000;

/** The origins that one host keeps, the oldest first. */
export class StreamOrigins {
  private readonly kept = new Map<string, KeptOrigin>();

  /** Keeps an origin; the first one of an attempt stays. */
  record(origin: StreamOrigin, now: number): void {
    this.dropExpired(now);
    if (this.find(origin.attemptId, now) !== undefined) {
      return;
    }
    const expiresAt = now + origin.lifetimeMilliseconds;
    this.kept.set(origin.attemptId, {origin, expiresAt});
    const [oldest] = this.kept.keys();
    if (this.kept.size > MAXIMUM_ORIGINS && oldest !== undefined) {
      this.kept.delete(oldest);
    }
  }

  /** Returns the origin of a stream that may still be taken up. */
  find(attemptId: string, now: number): StreamOrigin | undefined {
    const kept = this.kept.get(attemptId);
    return kept === undefined || kept.expiresAt <= now
      ? undefined
      : kept.origin;
  }

  /** Returns the origins of streams that may still be taken up. */
  all(now: number): readonly StreamOrigin[] {
    return [...this.kept.values()]
      .filter(({expiresAt}) => expiresAt > now)
      .map(({origin}) => origin);
  }

  /** Discards the origin of a stream that is complete. */
  forget(attemptId: string): void {
    this.kept.delete(attemptId);
  }

  private dropExpired(now: number): void {
    for (const [attemptId, {expiresAt}] of this.kept) {
      if (expiresAt > now) {
        return;
      }
      this.kept.delete(attemptId);
    }
  }
}
