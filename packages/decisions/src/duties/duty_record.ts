/**
 * The record with which one host at a time holds the duties. It also contains
 * the usage counts that must never be reported with different values. The
 * offset of the record in its log is the fencing number of all calls that its
 * holder makes.
 */
import {z} from 'zod';

const COUNTS_SCHEMA = z.record(z.string(), z.number()).readonly();

const DUTY_RECORD_SCHEMA = z
  .object({
    holder: z.string(),
    /** ID of the holder's process, which changes at each start. */
    processId: z.string(),
    /** Counts by window; they never change once they are in this record. */
    fixedUsage: z.record(z.string(), COUNTS_SCHEMA).readonly(),
    /** Last window up to which the platform has accepted all counts. */
    reportedTo: z.number(),
    /** Highest number of on-demand engines of each service without an order. */
    mostLastingEngines: z.record(z.string(), z.number()).readonly(),
  })
  .readonly();

/** A record of the duties, of which the newest one is in force. */
export type DutyRecord = z.infer<typeof DUTY_RECORD_SCHEMA>;

/** Number of requests that began in a window, by workspace. */
export type UsageCounts = Readonly<Record<string, number>>;

/** Returns the record in `value`, or undefined if it is malformed. */
export function parseDutyRecord(value: unknown): DutyRecord | undefined {
  const parsed = DUTY_RECORD_SCHEMA.safeParse(value);
  return parsed.success ? parsed.data : undefined;
}

/** The newest duty record as a host has read it from the log. */
export interface DutyView {
  readonly record: DutyRecord | undefined;
  /** Offset of the record; undefined if there is none yet. */
  readonly offset: number | undefined;
  /** Offset that the next record of the log will get. */
  readonly end: number;
  /** Time at which this offset was first seen, by the suspension clock. */
  readonly seenAt: number;
}

/** Time that each candidate waits in addition to the one ranked before it. */
export const CANDIDATE_DELAY_MILLISECONDS = 800;

/**
 * Returns whether the candidate of rank `rank` (0 is the first) may take over
 * the duties: no host holds them, or the holder has not renewed its record for
 * a full lease. Each further candidate waits longer.
 */
export function canTakeOverDuties(
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
  const requiredSilenceMilliseconds =
    leaseMilliseconds + rank * CANDIDATE_DELAY_MILLISECONDS;
  return now - view.seenAt > requiredSilenceMilliseconds;
}

/** Share of a lease, from sending its renewal, in which the holder may act. */
const ACTIVE_LEASE_SHARE = 0.7;

/**
 * Returns whether the holder may act: its last renewal was sent recently enough
 * that no other host can have taken over the duties.
 */
export function canActOnDuties(
  renewalSentAt: number,
  leaseMilliseconds: number,
  now: number,
): boolean {
  return now - renewalSentAt < leaseMilliseconds * ACTIVE_LEASE_SHARE;
}
