/**
 * Quarantine of content that crashes the upstreams that run it.
 */
import {z} from 'zod';

import {nextTrialAt, VERDICT_RETENTION_MILLISECONDS} from './trial_schedule.js';
import {
  groupCrashReports,
  joinCrashReports,
  UPSTREAM_CRASH_SCHEMA,
} from './upstream_crash.js';

/**
 * Time after the latest crash of content at which all of its crashes stop
 * counting.
 */
const CRASH_RETENTION_MILLISECONDS = 600_000;

/** Largest number of crashes kept for the same content, the latest ones. */
const MAXIMUM_CRASHES_PER_CONTENT = 8;

const CRASH_SCHEMA = UPSTREAM_CRASH_SCHEMA.unwrap()
  .partial({bornAt: true})
  .extend({
    /** Whether the upstream ran no other request. */
    wasAlone: z.boolean(),
  })
  .readonly();

const SUSPICION_SCHEMA = z
  .object({
    /** Hash of the workspace and the content. */
    fingerprint: z.string(),
    /** The latest crashes, oldest first. */
    crashes: z.array(CRASH_SCHEMA).readonly(),
    /** Time of the last complete run of the content; -1 if there was none. */
    lastCleared: z.number(),
    /** See `TrialHistory`. */
    triedAt: z.number().optional(),
  })
  .readonly();

/** A crash of an upstream while it ran certain content. */
export type Crash = z.infer<typeof CRASH_SCHEMA>;

/** The crashes during runs of the same content, as exchanged by hosts. */
export type Suspicion = z.infer<typeof SUSPICION_SCHEMA>;

/** Decodes a suspicion from the store; undefined if it is none. */
export function decodeSuspicion(value: Buffer): Suspicion | undefined {
  try {
    const parsed = SUSPICION_SCHEMA.safeParse(JSON.parse(value.toString()));
    return parsed.success ? parsed.data : undefined;
  } catch {
    return undefined;
  }
}

/** Value of `lastCleared` for content without a complete run. */
const NEVER_CLEARED = -1;

/** How requests with certain content are treated. */
export type QuarantineVerdict =
  /** The request may run. */
  | {readonly kind: 'clear'}
  /** The content is in quarantine: the request is refused. */
  | {readonly kind: 'quarantined'; readonly until: number}
  /** The request must be the only one at its upstream. */
  | {readonly kind: 'run-alone'};

/** The conditions under which content is put into quarantine. */
export interface QuarantinePolicy {
  /** Number of crashes of upstreams. */
  readonly crashes: number;
  /** Whether one of the upstreams must have run no other request. */
  readonly needsCrashAlone: boolean;
  /** Milliseconds after the last crash at which enough crashes stop counting. */
  readonly retentionMilliseconds: number;
}

/** The policy for requests that can be made to run alone. */
export const ALONE_POLICY: QuarantinePolicy = {
  crashes: 2,
  needsCrashAlone: true,
  retentionMilliseconds: CRASH_RETENTION_MILLISECONDS,
};

/**
 * The policy for requests that share their upstreams with others. Content is
 * refused after its third crash, the last one that a host may attribute to
 * chance, until a trial shows that it is sound.
 */
export const SHARED_POLICY: QuarantinePolicy = {
  crashes: 3,
  needsCrashAlone: false,
  retentionMilliseconds: VERDICT_RETENTION_MILLISECONDS,
};

/** The suspicions known to a host, and the decisions based on them. */
export class Quarantine {
  private readonly suspicions = new Map<string, Suspicion>();

  constructor(private readonly policy: QuarantinePolicy = ALONE_POLICY) {}

  /** Whether no content is suspected. */
  get isEmpty(): boolean {
    return this.suspicions.size === 0;
  }

  /** Returns how to treat requests with the content at `now`. */
  verdict(
    fingerprint: string,
    quarantineMilliseconds: number,
    now: number,
  ): QuarantineVerdict {
    const suspicion = this.suspicions.get(fingerprint);
    const crashes =
      suspicion === undefined ? [] : crashesSinceCleared(suspicion);
    const lastCrashAt = crashes.at(-1)?.time;
    if (
      lastCrashAt === undefined ||
      now >= lastCrashAt + CRASH_RETENTION_MILLISECONDS
    ) {
      return {kind: 'clear'};
    }
    const until = lastCrashAt + quarantineMilliseconds;
    if (this.requiresQuarantine(crashes) && now < until) {
      return {kind: 'quarantined', until};
    }
    return {kind: 'run-alone'};
  }

  /** Records a crash of `upstreamId` while it ran `fingerprint`. */
  recordCrash(
    upstreamId: string,
    fingerprint: string,
    wasAlone: boolean,
    now: number,
  ): Suspicion {
    return this.merge(
      suspicionOfCrash(fingerprint, {upstreamId, wasAlone, time: now}),
    );
  }

  /**
   * Merges a suspicion from another host into the known one and returns the
   * result, which does not depend on the order of the merges.
   */
  merge(received: Suspicion): Suspicion {
    const {fingerprint} = received;
    const existing = this.suspicions.get(fingerprint);
    const triedAt = Math.max(
      existing?.triedAt ?? -Infinity,
      received.triedAt ?? -Infinity,
    );
    const merged: Suspicion = {
      fingerprint,
      crashes: mergeCrashes([
        ...(existing?.crashes ?? []),
        ...received.crashes,
      ]),
      lastCleared: Math.max(
        existing?.lastCleared ?? NEVER_CLEARED,
        received.lastCleared,
      ),
      ...(Number.isFinite(triedAt) && {triedAt}),
    };
    this.suspicions.set(fingerprint, merged);
    return merged;
  }

  /**
   * Clears content after a complete run. Returns the suspicion that clears it
   * at other hosts, or undefined if the content is not under suspicion.
   */
  clear(fingerprint: string, now: number): Suspicion | undefined {
    return this.suspicions.has(fingerprint)
      ? this.merge(clearedSuspicion(fingerprint, now))
      : undefined;
  }

  /**
   * Returns the time from which one request with refused content may be tried;
   * undefined if the content is not refused at `now`.
   */
  refusedUntil(
    fingerprint: string,
    trialMilliseconds: number,
    now: number,
  ): number | undefined {
    const suspicion = this.suspicions.get(fingerprint);
    if (suspicion === undefined || !this.isInForce(suspicion, now)) {
      return undefined;
    }
    const crashes = crashesSinceCleared(suspicion);
    const at = crashes[this.policy.crashes - 1]?.time ?? 0;
    const {triedAt} = suspicion;
    return nextTrialAt({crashes, triedAt}, {at, trialMilliseconds});
  }

  /**
   * Counts a request with refused content as tried if one may be at `now`. Returns the
   * suspicion to report before it is sent; undefined if none may be tried. Only one
   * host calls this for a content.
   */
  takeTrial(
    fingerprint: string,
    trialMilliseconds: number,
    now: number,
  ): Suspicion | undefined {
    const until = this.refusedUntil(fingerprint, trialMilliseconds, now);
    return until === undefined || now < until
      ? undefined
      : this.merge({
          ...clearedSuspicion(fingerprint, NEVER_CLEARED),
          triedAt: now,
        });
  }

  /** Discards the suspicions whose crashes no longer count at `now`. */
  forget(now: number): void {
    for (const [fingerprint, suspicion] of this.suspicions) {
      const hasEnded =
        now >= lastCrashOf(suspicion) + CRASH_RETENTION_MILLISECONDS;
      if (hasEnded && !this.isInForce(suspicion, now)) {
        this.suspicions.delete(fingerprint);
      }
    }
  }

  /** Returns the suspicion of the content, if there is one. */
  find(fingerprint: string): Suspicion | undefined {
    return this.suspicions.get(fingerprint);
  }

  /**
   * Returns the suspicions of at most `maximum` contents that are refused at `now`, or
   * have been until lately and were cleared, the latest ones.
   */
  decided(
    maximum: number,
    quarantineMilliseconds: number,
    now: number,
  ): readonly Suspicion[] {
    return this.list()
      .filter(
        suspicion =>
          this.isInForce(suspicion, now) ||
          (this.requiresQuarantine(suspicion.crashes) &&
            now < lastCrashOf(suspicion) + quarantineMilliseconds),
      )
      .sort((left, right) => lastCrashOf(left) - lastCrashOf(right))
      .slice(-maximum);
  }

  /** Returns all known suspicions. */
  list(): readonly Suspicion[] {
    return [...this.suspicions.values()];
  }

  /** Returns whether content is refused at `now` until a trial shows it sound. */
  private isInForce(suspicion: Suspicion, now: number): boolean {
    return (
      this.requiresQuarantine(crashesSinceCleared(suspicion)) &&
      now < lastCrashOf(suspicion) + this.policy.retentionMilliseconds
    );
  }

  private requiresQuarantine(crashes: readonly Crash[]): boolean {
    return (
      crashes.length >= this.policy.crashes &&
      (!this.policy.needsCrashAlone || crashes.some(({wasAlone}) => wasAlone))
    );
  }
}

function lastCrashOf({crashes}: Suspicion): number {
  return crashes.at(-1)?.time ?? 0;
}

/** Returns a suspicion that records a single crash. */
export function suspicionOfCrash(fingerprint: string, crash: Crash): Suspicion {
  return {fingerprint, crashes: [crash], lastCleared: NEVER_CLEARED};
}

/** Returns a suspicion that records a complete run at `time`. */
export function clearedSuspicion(fingerprint: string, time: number): Suspicion {
  return {fingerprint, crashes: [], lastCleared: time};
}

/** Returns the crashes after the last complete run of the content. */
function crashesSinceCleared({
  crashes,
  lastCleared,
}: Suspicion): readonly Crash[] {
  return crashes.filter(({time}) => time > lastCleared);
}

/**
 * Returns the crashes of which `reports` are, oldest first. The upstream was alone
 * if one of them states so.
 */
function mergeCrashes(reports: readonly Crash[]): readonly Crash[] {
  return groupCrashReports(reports)
    .map(([first, ...others]) => others.reduce(joinCrashes, first))
    .slice(-MAXIMUM_CRASHES_PER_CONTENT);
}

function joinCrashes(left: Crash, right: Crash): Crash {
  return {
    ...joinCrashReports(left, right),
    wasAlone: left.wasAlone || right.wasAlone,
  };
}
