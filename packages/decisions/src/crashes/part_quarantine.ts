/**
 * The suspicions that one host knows, and what it makes of them. Every host keeps
 * all of them, so that none has to be queried and none can be lost alone.
 */
import {blameParts} from './blame_parts.js';
import {trialOf, trialTimeOf} from './blamed_group.js';
import {countedCrashes, isLapsed} from './judge_part.js';
import {
  mergePartSuspicions,
  NEVER_SOUND,
  type PartAtService,
  type PartSuspicion,
  partSuspicionOf,
  verdictInForce,
} from './part_suspicion.js';
import {SoundParts} from './sound_parts.js';
import type {UpstreamCrash} from './upstream_crash.js';

/** Largest number of suspicions that a host keeps. */
const MAXIMUM_SUSPICIONS = 512;

/** Number of suspicions for which room is made at once. */
const ROOM = 32;

/** Time after a crash for which a suspicion without a verdict is gossiped. */
const GOSSIP_MILLISECONDS = 10_000;

/** Why a request is refused. */
export interface PartRefusal extends PartAtService {
  /** Time of the next trial, in milliseconds since the epoch. */
  readonly until: number;
  /** See `PartTrial`. */
  readonly isSeparating: boolean;
}

interface Entry {
  readonly suspicion: PartSuspicion;
  /** Latest sound run that this host has sent or received. */
  readonly reportedSoundAt: number;
}

/** The prompt parts under suspicion at one host. */
export class PartQuarantine {
  /** By part and service. */
  private readonly entries = new Map<string, Entry>();
  /** Services with a suspicion of a part. */
  private readonly servicesByPart = new Map<string, ReadonlySet<string>>();
  private readonly soundParts = new SoundParts();

  /** Whether there is nothing to check or to gossip. */
  get isEmpty(): boolean {
    return this.entries.size === 0;
  }

  /** Records a crash under `parts` of `service`; returns what to report. */
  recordCrash(
    service: string,
    parts: readonly string[],
    crash: UpstreamCrash,
    now: number,
  ): readonly PartSuspicion[] {
    for (const partId of parts) {
      this.mergeOne(partSuspicionOf({service, partId}, crash), now);
    }
    this.judge(now);
    return parts.flatMap(partId => {
      const suspicion = this.find({service, partId});
      if (suspicion === undefined) {
        return [];
      }
      this.markReported(suspicion);
      return [suspicion];
    });
  }

  /** Records that a run with `parts` was sound at `soundAt`. */
  recordSound(
    service: string,
    parts: readonly string[],
    soundAt: number,
  ): void {
    for (const partId of parts) {
      const key = keyOf({service, partId});
      this.soundParts.add(key, soundAt);
      const entry = this.entries.get(key);
      if (entry !== undefined && soundAt > entry.suspicion.soundAt) {
        const suspicion = {...entry.suspicion, soundAt};
        this.entries.set(key, {...entry, suspicion});
      }
    }
  }

  /** Merges the suspicions that another host sent. */
  merge(received: readonly PartSuspicion[], now: number): void {
    for (const suspicion of received) {
      if (isLapsed(suspicion, now) && this.find(suspicion) === undefined) {
        continue;
      }
      this.mergeOne(suspicion, now);
      const key = keyOf(suspicion);
      const entry = this.entries.get(key);
      if (entry !== undefined) {
        const reportedSoundAt = Math.max(
          entry.reportedSoundAt,
          suspicion.soundAt,
        );
        this.entries.set(key, {...entry, reportedSoundAt});
      }
    }
    this.judge(now);
  }

  /**
   * Returns the suspicions that look different with the sound runs that only
   * this host knows, and marks them as reported.
   */
  takeRefutations(now: number): readonly PartSuspicion[] {
    return [...this.entries.values()]
      .filter(entry => isNews(entry, now))
      .map(({suspicion}) => {
        this.markReported(suspicion);
        return suspicion;
      });
  }

  /** Returns whether `takeRefutations` would return anything. */
  hasRefutations(now: number): boolean {
    return [...this.entries.values()].some(entry => isNews(entry, now));
  }

  /**
   * Returns why a request of `service` with `parts` is refused at `now`;
   * undefined if it may run.
   */
  findRefusal(
    service: string,
    parts: readonly string[],
    now: number,
  ): PartRefusal | undefined {
    if (this.isEmpty) {
      return undefined;
    }
    const [first, ...others] = parts.flatMap(
      partId => this.refusedSuspicionOf({service, partId}, now) ?? [],
    );
    if (first === undefined) {
      return undefined;
    }
    const trial = trialOf(parts, [first, ...others], this.verdicts());
    return {
      service: first.service,
      partId: first.partId,
      until: trial.at,
      isSeparating: trial.isSeparating,
    };
  }

  /**
   * Counts a request with a refused part as tried if one may be at `now`. Returns the
   * suspicion to report before it is sent; undefined if none may be tried. Only one
   * host calls this for a part.
   */
  takeTrial(
    refused: PartAtService,
    now: number,
    isSeparating = false,
  ): PartSuspicion | undefined {
    const key = keyOf(refused);
    const entry = this.entries.get(key);
    if (
      entry === undefined ||
      now < trialTimeOf(entry.suspicion, isSeparating)
    ) {
      return undefined;
    }
    const suspicion = {...entry.suspicion, triedAt: now};
    this.entries.set(key, {...entry, suspicion});
    return suspicion;
  }

  /** Returns whether a crash counts against one of `parts` at `now`. */
  isAnyAccused(
    service: string,
    parts: readonly string[],
    now: number,
  ): boolean {
    return parts.some(partId => {
      const suspicion = this.find({service, partId});
      return (
        suspicion !== undefined && countedCrashes(suspicion, now).length > 0
      );
    });
  }

  /** Returns the suspicion of a part, if there is one. */
  find(part: PartAtService): PartSuspicion | undefined {
    return this.entries.get(keyOf(part))?.suspicion;
  }

  /** Returns every verdict in force. */
  verdicts(): readonly PartSuspicion[] {
    return this.list().filter(
      suspicion => verdictInForce(suspicion) !== undefined,
    );
  }

  /**
   * Returns at most `limit` suspicions that another host should know of at
   * `now`, verdicts first.
   */
  open(limit: number, now: number): readonly PartSuspicion[] {
    const verdicts = this.verdicts();
    const recent = this.list().filter(
      suspicion =>
        verdictInForce(suspicion) === undefined &&
        countedCrashes(suspicion, now).some(
          ({time}) => now - time < GOSSIP_MILLISECONDS,
        ),
    );
    return [...verdicts, ...recent].slice(0, limit);
  }

  /** Discards what no longer counts at `now`. */
  forget(now: number): void {
    for (const [key, {suspicion}] of this.entries) {
      if (isLapsed(suspicion, now)) {
        this.remove(key, suspicion);
      }
    }
  }

  private list(): readonly PartSuspicion[] {
    return [...this.entries.values()].map(({suspicion}) => suspicion);
  }

  /** Returns the suspicion by which a part is refused; undefined if it is not. */
  private refusedSuspicionOf(
    part: PartAtService,
    now: number,
  ): PartSuspicion | undefined {
    const own = this.find(part);
    if (own !== undefined) {
      return verdictInForce(own) === undefined ? undefined : own;
    }
    if (this.soundParts.find(keyOf(part)) !== undefined) {
      return undefined;
    }
    for (const service of this.servicesByPart.get(part.partId) ?? []) {
      const other = this.find({service, partId: part.partId});
      const isRefused =
        other !== undefined &&
        verdictInForce(other) !== undefined &&
        trialTimeOf(other, false) > now;
      if (isRefused) {
        return other;
      }
    }
    return undefined;
  }

  private mergeOne(received: PartSuspicion, now: number): void {
    const key = keyOf(received);
    const existing = this.entries.get(key);
    const {latestAt = NEVER_SOUND, count = 0} = this.soundParts.find(key) ?? {};
    const known: PartSuspicion = {
      ...received,
      soundAt: Math.max(received.soundAt, latestAt),
      soundRuns: Math.max(received.soundRuns, count),
    };
    const merged =
      existing === undefined
        ? known
        : mergePartSuspicions(existing.suspicion, known);
    if (existing === undefined) {
      this.makeRoom(now);
      this.indexPart(received);
    }
    this.entries.set(key, {
      ...existing,
      suspicion: merged,
      reportedSoundAt: existing?.reportedSoundAt ?? NEVER_SOUND,
    });
  }

  /** Blames the parts that explain the crashes which no verdict explains. */
  private judge(now: number): void {
    for (const [{service, partId}, verdict] of blameParts(this.list(), now)) {
      const key = keyOf({service, partId});
      const entry = this.entries.get(key);
      if (entry !== undefined) {
        const suspicion = {...entry.suspicion, verdict};
        this.entries.set(key, {...entry, suspicion});
      }
    }
  }

  private markReported(suspicion: PartSuspicion): void {
    const key = keyOf(suspicion);
    const entry = this.entries.get(key);
    if (entry !== undefined) {
      this.entries.set(key, {...entry, reportedSoundAt: suspicion.soundAt});
    }
  }

  /** Drops the weakest suspicion if there are too many; verdicts come last. */
  private makeRoom(now: number): void {
    if (this.entries.size < MAXIMUM_SUSPICIONS) {
      return;
    }
    this.forget(now);
    const excess = this.entries.size - MAXIMUM_SUSPICIONS + ROOM;
    const weakestFirst = [...this.entries]
      .map(([key, {suspicion}]) => ({key, suspicion}))
      .sort(
        (left, right) =>
          weightOf(left.suspicion, now) - weightOf(right.suspicion, now),
      );
    for (const {key, suspicion} of weakestFirst.slice(0, Math.max(0, excess))) {
      this.remove(key, suspicion);
    }
  }

  private indexPart({service, partId}: PartAtService): void {
    const services = this.servicesByPart.get(partId) ?? new Set<string>();
    this.servicesByPart.set(partId, new Set([...services, service]));
  }

  private remove(key: string, {service, partId}: PartAtService): void {
    this.entries.delete(key);
    const others = [...(this.servicesByPart.get(partId) ?? [])].filter(
      other => other !== service,
    );
    if (others.length === 0) {
      this.servicesByPart.delete(partId);
      return;
    }
    this.servicesByPart.set(partId, new Set(others));
  }
}

function keyOf({service, partId}: PartAtService): string {
  return `${partId}@${service}`;
}

/** Returns whether the others would judge without this host's sound runs. */
function isNews({suspicion, reportedSoundAt}: Entry, now: number): boolean {
  if (suspicion.soundAt <= reportedSoundAt) {
    return false;
  }
  const reported: PartSuspicion = {...suspicion, soundAt: reportedSoundAt};
  return (
    countedCrashes(reported, now).length !==
      countedCrashes(suspicion, now).length ||
    (verdictInForce(reported) === undefined) !==
      (verdictInForce(suspicion) === undefined) ||
    (countedCrashes(suspicion, now).length > 0 &&
      reportedSoundAt === NEVER_SOUND)
  );
}

/** Returns the evidence against a part; larger for a verdict. */
function weightOf(suspicion: PartSuspicion, now: number): number {
  const crashes = countedCrashes(suspicion, now);
  const latest = crashes.at(-1)?.time ?? 0;
  const verdict = verdictInForce(suspicion) === undefined ? 0 : 1000;
  return verdict + crashes.length + latest / Number.MAX_SAFE_INTEGER;
}
