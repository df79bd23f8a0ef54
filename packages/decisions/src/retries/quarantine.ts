/**
 * Quarantine of content that crashes the upstreams that run it.
 */

/** Crashes on distinct upstreams that condemn a content. */
const CRASHES_TO_CONDEMN = 2;

/** Milliseconds for which a suspicion lasts after the last crash. */
const SUSPICION_MILLISECONDS = 600_000;

/** One suspicion, as hosts tell it to one another. */
export interface Suspicion {
  /** Hash of workspace and content. */
  readonly fingerprint: string;
  /** Upstreams that crashed while they ran the content. */
  readonly crashed: readonly string[];
  /** Upstreams that crashed while they ran nothing else. */
  readonly crashedAlone: readonly string[];
  /** Milliseconds since the epoch. */
  readonly lastCrash: number;
  /** When the content last ran alone to its end; 0 for never. */
  readonly lastCleared: number;
}

/** How a request is to be treated. */
export type QuarantineVerdict =
  | {readonly kind: 'clear'}
  | {readonly kind: 'condemned'; readonly until: number}
  /** The request must share its upstream with no other. */
  | {readonly kind: 'run-alone'};

/** The suspicions that a host knows. */
export class Quarantine {
  private readonly suspicions = new Map<string, Suspicion>();

  /** How to treat a content now. */
  verdict(
    fingerprint: string,
    quarantineMilliseconds: number,
    now: number,
  ): QuarantineVerdict {
    const suspicion = this.suspicions.get(fingerprint);
    if (suspicion === undefined) {
      return {kind: 'clear'};
    }
    const isOver =
      now >= suspicion.lastCrash + SUSPICION_MILLISECONDS ||
      suspicion.lastCleared > suspicion.lastCrash;
    if (isOver) {
      return {kind: 'clear'};
    }
    const until = suspicion.lastCrash + quarantineMilliseconds;
    if (isCondemned(suspicion) && now < until) {
      return {kind: 'condemned', until};
    }
    return {kind: 'run-alone'};
  }

  /** Notes a crash of `upstreamId` while it ran `fingerprint`. */
  noteCrash(
    upstreamId: string,
    fingerprint: string,
    wasAlone: boolean,
    now: number,
  ): Suspicion {
    return this.merge({
      fingerprint,
      crashed: [upstreamId],
      crashedAlone: wasAlone ? [upstreamId] : [],
      lastCrash: now,
      lastCleared: 0,
    });
  }

  /** Joins a suspicion with what is known; the order does not matter. */
  merge(heard: Suspicion): Suspicion {
    const known = this.suspicions.get(heard.fingerprint);
    const merged: Suspicion = {
      fingerprint: heard.fingerprint,
      crashed: union(known?.crashed, heard.crashed),
      crashedAlone: union(known?.crashedAlone, heard.crashedAlone),
      lastCrash: Math.max(known?.lastCrash ?? 0, heard.lastCrash),
      lastCleared: Math.max(known?.lastCleared ?? 0, heard.lastCleared),
    };
    this.suspicions.set(heard.fingerprint, merged);
    return merged;
  }

  /** Clears a content that ran alone to its end, here and wherever it is told. */
  clear(fingerprint: string, now: number): void {
    const known = this.suspicions.get(fingerprint);
    if (known !== undefined) {
      this.suspicions.set(fingerprint, {...known, lastCleared: now});
    }
  }

  /** Forgets suspicions that no longer matter at `now`. */
  forget(now: number): void {
    for (const [fingerprint, {lastCrash}] of this.suspicions) {
      if (now >= lastCrash + SUSPICION_MILLISECONDS) {
        this.suspicions.delete(fingerprint);
      }
    }
  }

  /** Every suspicion known. */
  list(): readonly Suspicion[] {
    return [...this.suspicions.values()];
  }
}

function isCondemned(suspicion: Suspicion): boolean {
  return (
    suspicion.crashed.length >= CRASHES_TO_CONDEMN &&
    suspicion.crashedAlone.length > 0
  );
}

function union(
  left: readonly string[] | undefined,
  right: readonly string[],
): readonly string[] {
  return [...new Set([...(left ?? []), ...right])].sort();
}
