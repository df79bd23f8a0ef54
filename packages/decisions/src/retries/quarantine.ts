/**
 * Quarantine of content that crashes the upstreams that run it.
 */

/** Milliseconds for which a crash counts. */
const SUSPICION_MILLISECONDS = 600_000;

/** Crashes of one content that are kept, the latest ones. */
const MAXIMUM_CRASHES = 8;

/** One crash of an upstream that ran a content. */
export interface Crash {
  readonly upstreamId: string;
  /** Whether the upstream ran nothing else. */
  readonly wasAlone: boolean;
  /** Milliseconds since the epoch. */
  readonly time: number;
}

/** What is known of one content, as hosts tell it to one another. */
export interface Suspicion {
  /** Hash of workspace and content. */
  readonly fingerprint: string;
  /** The last crash of each upstream, oldest first. */
  readonly crashes: readonly Crash[];
  /** When the content last ran to its end; -1 for never. */
  readonly lastCleared: number;
}

/** Time of a content that has not run to its end since its first crash. */
const NEVER_CLEARED = -1;

/** How a request is to be treated. */
export type QuarantineVerdict =
  | {readonly kind: 'clear'}
  | {readonly kind: 'condemned'; readonly until: number}
  /** The request must share its upstream with no other. */
  | {readonly kind: 'run-alone'};

/** What condemns a content. */
export interface QuarantinePolicy {
  /** Crashes on distinct upstreams. */
  readonly crashes: number;
  /** Whether one of them must have been of an upstream that ran nothing else. */
  readonly needsCrashAlone: boolean;
}

/** For requests that can be made to run alone. */
export const ALONE_POLICY: QuarantinePolicy = {
  crashes: 2,
  needsCrashAlone: true,
};

/**
 * For requests that share their upstreams with others: the third crash is the
 * last that a host may take for chance.
 */
export const SHARED_POLICY: QuarantinePolicy = {
  crashes: 3,
  needsCrashAlone: false,
};

/** The suspicions that a host knows. */
export class Quarantine {
  private readonly suspicions = new Map<string, Suspicion>();

  constructor(private readonly policy: QuarantinePolicy = ALONE_POLICY) {}

  /** How to treat a content now. */
  verdict(
    fingerprint: string,
    quarantineMilliseconds: number,
    now: number,
  ): QuarantineVerdict {
    const suspicion = this.suspicions.get(fingerprint);
    const counted = suspicion === undefined ? [] : countedCrashes(suspicion);
    const last = counted.at(-1)?.time;
    if (last === undefined || now >= last + SUSPICION_MILLISECONDS) {
      return {kind: 'clear'};
    }
    const until = last + quarantineMilliseconds;
    if (this.condemns(counted) && now < until) {
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
    return this.merge(
      suspicionOfCrash(fingerprint, {upstreamId, wasAlone, time: now}),
    );
  }

  /** Joins a suspicion with what is known; the order does not matter. */
  merge(heard: Suspicion): Suspicion {
    const {fingerprint} = heard;
    const known = this.suspicions.get(fingerprint);
    const merged: Suspicion = {
      fingerprint,
      crashes: joinCrashes([...(known?.crashes ?? []), ...heard.crashes]),
      lastCleared: Math.max(
        known?.lastCleared ?? NEVER_CLEARED,
        heard.lastCleared,
      ),
    };
    this.suspicions.set(fingerprint, merged);
    return merged;
  }

  /**
   * Clears a content that ran to its end, here and wherever the suspicion that
   * is returned is told; undefined if the content is under none.
   */
  clear(fingerprint: string, now: number): Suspicion | undefined {
    return this.suspicions.has(fingerprint)
      ? this.merge(liftedSuspicion(fingerprint, now))
      : undefined;
  }

  /** Forgets suspicions that no longer matter at `now`. */
  forget(now: number): void {
    for (const [fingerprint, {crashes}] of this.suspicions) {
      const last = crashes.at(-1)?.time ?? 0;
      if (now >= last + SUSPICION_MILLISECONDS) {
        this.suspicions.delete(fingerprint);
      }
    }
  }

  /** What is known of a content. */
  find(fingerprint: string): Suspicion | undefined {
    return this.suspicions.get(fingerprint);
  }

  /** Every suspicion known. */
  list(): readonly Suspicion[] {
    return [...this.suspicions.values()];
  }

  private condemns(counted: readonly Crash[]): boolean {
    return (
      counted.length >= this.policy.crashes &&
      (!this.policy.needsCrashAlone || counted.some(({wasAlone}) => wasAlone))
    );
  }
}

/** What one crash tells of a content. */
export function suspicionOfCrash(fingerprint: string, crash: Crash): Suspicion {
  return {fingerprint, crashes: [crash], lastCleared: NEVER_CLEARED};
}

/** What a run to the end at `time` tells of a content. */
export function liftedSuspicion(fingerprint: string, time: number): Suspicion {
  return {fingerprint, crashes: [], lastCleared: time};
}

/** The crashes since the content last ran to its end. */
function countedCrashes({crashes, lastCleared}: Suspicion): readonly Crash[] {
  return crashes.filter(({time}) => time > lastCleared);
}

/** One crash for each upstream, oldest first. */
function joinCrashes(crashes: readonly Crash[]): readonly Crash[] {
  const byUpstream = new Map<string, Crash>();
  for (const crash of crashes) {
    const known = byUpstream.get(crash.upstreamId);
    byUpstream.set(
      crash.upstreamId,
      known === undefined
        ? crash
        : {
            upstreamId: crash.upstreamId,
            wasAlone: known.wasAlone || crash.wasAlone,
            time: Math.max(known.time, crash.time),
          },
    );
  }
  return [...byUpstream.values()]
    .sort(
      (left, right) =>
        left.time - right.time || (left.upstreamId < right.upstreamId ? -1 : 1),
    )
    .slice(-MAXIMUM_CRASHES);
}
