/**
 * The record by which one host at a time holds the duties, and what must not be
 * said twice in different words. The offset of the record in its log is the
 * fencing number of whatever is done under it.
 */
import {z} from 'zod';

const COUNTS_SCHEMA = z.record(z.string(), z.number()).readonly();

const DUTY_RECORD_SCHEMA = z
  .object({
    holder: z.string(),
    /** Identity of the holder's process, new at each start. */
    processId: z.string(),
    /** Counts by window: once they stand here they never change. */
    fixedUsage: z.record(z.string(), COUNTS_SCHEMA).readonly(),
    /** The platform has accepted every window up to this one. */
    reportedTo: z.number(),
    /** The most engines of each service that were there without an order. */
    mostLastingEngines: z.record(z.string(), z.number()).readonly(),
  })
  .readonly();

/** The newest record of the duties. */
export type DutyRecord = z.infer<typeof DUTY_RECORD_SCHEMA>;

/** Requests that began in a window, by workspace. */
export type UsageCounts = Readonly<Record<string, number>>;

/** The record in `value`; undefined if it cannot be read. */
export function parseDutyRecord(value: unknown): DutyRecord | undefined {
  const parsed = DUTY_RECORD_SCHEMA.safeParse(value);
  return parsed.success ? parsed.data : undefined;
}

/** The newest record and what is known of it. */
export interface DutyView {
  readonly record: DutyRecord | undefined;
  /** Offset of the record; undefined while there is none. */
  readonly offset: number | undefined;
  /** Offset that the next record will get. */
  readonly end: number;
  /** Suspension-aware milliseconds at which this offset was first seen. */
  readonly seenAt: number;
}

/** Milliseconds by which each further candidate waits longer for a dead holder. */
export const CANDIDATE_DELAY_MILLISECONDS = 800;

/**
 * Whether the candidate of rank `rank` (0 is the first) may take the duties
 * over: nobody holds them, or the holder has renewed nothing for a whole lease.
 */
export function mayTakeDuties(
  view: DutyView,
  rank: number,
  leaseMilliseconds: number,
  now: number,
): boolean {
  if (view.record === undefined) {
    return (
      rank === 0 || now - view.seenAt > rank * CANDIDATE_DELAY_MILLISECONDS
    );
  }
  const wait = leaseMilliseconds + rank * CANDIDATE_DELAY_MILLISECONDS;
  return now - view.seenAt > wait;
}

/** Share of a lease after whose renewal was sent its holder may still act. */
const ACTING_SHARE = 0.7;

/** Whether the holder may act: its renewal was sent recently enough. */
export function mayActOnDuties(
  renewalSentAt: number,
  leaseMilliseconds: number,
  now: number,
): boolean {
  return now - renewalSentAt < leaseMilliseconds * ACTING_SHARE;
}
