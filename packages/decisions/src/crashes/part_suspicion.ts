/**
 * What is known of a prompt part under which upstreams of a service crashed.
 * Hosts exchange and merge suspicions; the result does not depend on the order.
 */

import {z} from 'zod';

import {
  mergeCrashReports,
  UPSTREAM_CRASH_SCHEMA,
  type UpstreamCrash,
} from './upstream_crash.js';

const PART_VERDICT_SCHEMA = z
  .object({
    /**
     * Time of the last crash that led to it, in milliseconds since the epoch. A
     * later sound run refutes all of them.
     */
    at: z.number(),
    /** Milliseconds from the verdict to the first trial of one request. */
    trialMilliseconds: z.number(),
  })
  .readonly();

const PART_SUSPICION_SCHEMA = z
  .object({
    service: z.string(),
    partId: z.string(),
    /** One crash of each incarnation, earliest first. */
    crashes: z.array(UPSTREAM_CRASH_SCHEMA).readonly(),
    /**
     * Time at which the latest sound run with the part was known to be sound, in
     * milliseconds since the epoch; `NEVER_SOUND` without one.
     */
    soundAt: z.number(),
    /** Most sound runs in about the last minute that one host knows of. */
    soundRuns: z.number(),
    verdict: PART_VERDICT_SCHEMA.optional(),
    /** See `TrialHistory`. */
    triedAt: z.number().optional(),
  })
  .readonly();

/** The decision that requests with a part are refused. */
export type PartVerdict = z.infer<typeof PART_VERDICT_SCHEMA>;

/** A part and the crashes of which it is accused. */
export type PartSuspicion = z.infer<typeof PART_SUSPICION_SCHEMA>;

/** A prompt part at a service. */
export type PartAtService = Pick<PartSuspicion, 'partId' | 'service'>;

/** Decodes a suspicion from the store; undefined if it is malformed. */
export function decodePartSuspicion(value: Buffer): PartSuspicion | undefined {
  try {
    const parsed = PART_SUSPICION_SCHEMA.safeParse(
      JSON.parse(value.toString()),
    );
    return parsed.success ? parsed.data : undefined;
  } catch {
    return undefined;
  }
}

/** Value of `soundAt` without a sound run. */
export const NEVER_SOUND = -1;

/** Largest number of crashes kept for one part, the latest ones. */
const MAXIMUM_CRASHES_PER_PART = 32;

/** Returns a suspicion of a single crash. */
export function partSuspicionOf(
  {service, partId}: PartAtService,
  crash: UpstreamCrash,
): PartSuspicion {
  return {
    service,
    partId,
    crashes: [crash],
    soundAt: NEVER_SOUND,
    soundRuns: 0,
  };
}

/** Returns what two hosts together know of the same part. */
export function mergePartSuspicions(
  left: PartSuspicion,
  right: PartSuspicion,
): PartSuspicion {
  const verdict = laterVerdict(left.verdict, right.verdict);
  const triedAt = Math.max(
    left.triedAt ?? -Infinity,
    right.triedAt ?? -Infinity,
  );
  return {
    service: left.service,
    partId: left.partId,
    crashes: mergeCrashReports([...left.crashes, ...right.crashes]).slice(
      -MAXIMUM_CRASHES_PER_PART,
    ),
    soundAt: Math.max(left.soundAt, right.soundAt),
    soundRuns: Math.max(left.soundRuns, right.soundRuns),
    ...(verdict === undefined ? {} : {verdict}),
    ...(Number.isFinite(triedAt) && {triedAt}),
  };
}

/** Returns the crashes that no later sound run refutes, earliest first. */
export function unrefutedCrashes({
  crashes,
  soundAt,
}: PartSuspicion): readonly UpstreamCrash[] {
  return crashes.filter(({time}) => time > soundAt);
}

/** Returns the verdict that no later sound run refutes. */
export function verdictInForce({
  verdict,
  soundAt,
}: PartSuspicion): PartVerdict | undefined {
  return verdict !== undefined && verdict.at > soundAt ? verdict : undefined;
}

function laterVerdict(
  left: PartVerdict | undefined,
  right: PartVerdict | undefined,
): PartVerdict | undefined {
  if (left === undefined || right === undefined) {
    return left ?? right;
  }
  return left.at === right.at
    ? {
        at: left.at,
        trialMilliseconds: Math.max(
          left.trialMilliseconds,
          right.trialMilliseconds,
        ),
      }
    : left.at > right.at
      ? left
      : right;
}
