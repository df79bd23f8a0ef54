/**
 * The record with which one host at a time holds the duties. It also contains
 * the usage counts that must never be reported with different values. The
 * position of the record in its log is the fencing number of all calls that its
 * holder makes.
 */
import {z} from 'zod';

import {ENGINE_PLAN_SCHEMA} from '../orders/engine_plan.js';
import {eraOf} from '../store/store_position.js';

const COUNTS_SCHEMA = z.record(z.string(), z.number()).readonly();

const DUTY_RECORD_SCHEMA = z
  .object({
    holder: z.string(),
    /** ID of the holder's process, which changes at each start. */
    processId: z.string(),
    /** Era of the store in which the holder wrote the record. */
    era: z.number().default(0),
    /** Counts by window; they never change once they are in this record. */
    fixedUsage: z.record(z.string(), COUNTS_SCHEMA).readonly(),
    /** Last window up to which the platform has accepted all counts. */
    reportedTo: z.number(),
    /**
     * Last window whose counts can no longer be fixed, because they may have
     * been reported before the store lost its newest records.
     */
    closedTo: z.number().default(-1),
    /** Highest number of on-demand engines of each service without an order. */
    mostLastingEngines: z.record(z.string(), z.number()).readonly(),
    /**
     * Planned engines of the services that are ordered by load. A plan of
     * another shape is made anew and does not invalidate the record.
     */
    enginePlans: z
      .record(z.string(), ENGINE_PLAN_SCHEMA)
      .readonly()
      .optional()
      .catch(undefined),
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

/** Decodes a record from the store; undefined if it is malformed. */
export function decodeDutyRecord(value: Buffer): DutyRecord | undefined {
  try {
    return parseDutyRecord(JSON.parse(value.toString()));
  } catch {
    return undefined;
  }
}

/** The newest duty record as a host has read it from the log. */
export interface DutyView {
  readonly record: DutyRecord | undefined;
  /** Position of the record; undefined if there is none yet. */
  readonly position: number | undefined;
  /** Position that the next record of the log will get. */
  readonly end: number;
  /** Time at which this position was first seen, by the suspension clock. */
  readonly seenAt: number;
  /**
   * Whether the store has had no other era since the system started for the
   * first time.
   */
  readonly isFirstEra: boolean;
}

/** Time that each candidate waits in addition to the one ranked before it. */
export const CANDIDATE_DELAY_MILLISECONDS = 800;

/**
 * Returns whether the candidate of rank `rank` (0 is the first) may take over
 * the duties: no host has held them yet, or the holder has not renewed its
 * record for a full lease. Each further candidate waits longer. In a later era,
 * a store without a record may have lost the record of a holder.
 */
export function canTakeOverDuties(
  view: DutyView,
  rank: number,
  leaseMilliseconds: number,
  now: number,
): boolean {
  if (view.record === undefined && view.isFirstEra) {
    return (
      rank === 0 || now - view.seenAt > rank * CANDIDATE_DELAY_MILLISECONDS
    );
  }
  const requiredSilenceMilliseconds =
    leaseMilliseconds + rank * CANDIDATE_DELAY_MILLISECONDS;
  return now - view.seenAt > requiredSilenceMilliseconds;
}

/**
 * Returns whether the newest record was written by `processId` and no other
 * host can have held the duties since. A record that the store has brought back
 * from a copy can be followed by lost records of other hosts.
 */
export function isOwnNewestRecord(view: DutyView, processId: string): boolean {
  return (
    view.record?.processId === processId && view.record.era === eraOf(view.end)
  );
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

/** A host that held the duties when it last renewed them. */
export interface DutyHolder {
  readonly processId: string;
  /** Time at which its last successful renewal was sent. */
  readonly renewalSentAt: number;
}

/**
 * Returns whether a holder that has read the newest record may renew it. If the
 * store has come back from a copy since its last renewal, it may do so only
 * while its lease lasts and no host has written a record in the new era.
 */
export function canKeepDuties(
  view: DutyView,
  {processId, renewalSentAt}: DutyHolder,
  leaseMilliseconds: number,
  now: number,
): boolean {
  const isFirstOfEra = view.record?.era !== eraOf(view.end);
  return (
    isOwnNewestRecord(view, processId) ||
    (isFirstOfEra && canActOnDuties(renewalSentAt, leaseMilliseconds, now))
  );
}
