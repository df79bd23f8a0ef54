/**
 * The records of the lease stream and their fold. The offset of the record
 * that granted a lease is its fencing number.
 */
import {z} from 'zod';

import type {LogRecord} from '../configuration/configuration_records.js';

const LEASE_RECORD_SCHEMA = z
  .strictObject({
    type: z.literal('lease'),
    holder: z.string().min(1),
    /** ID of the holder's process, which changes at each start. */
    processId: z.string().min(1),
    /** Fencing number of the previous lease; -1 if there is none. */
    after: z.number().int().min(-1),
    /** Requested duration of the lease in milliseconds. */
    duration: z.number().positive(),
  })
  .readonly();

/** A record that requests or renews the lease. */
export type LeaseRecord = z.infer<typeof LEASE_RECORD_SCHEMA>;

/** The lease after the records that were read so far. */
export interface Lease {
  /** Offset of the last folded record; -1 before the first. */
  readonly readTo: number;
  /** Offset of the record that granted the lease; -1 if there is none. */
  readonly fencingNumber: number;
  readonly holder: string;
  readonly processId: string;
  /** Milliseconds since the epoch, by the log's clock. */
  readonly granted: number;
  /** Milliseconds since the epoch, by the log's clock. */
  readonly expires: number;
}

/** The state before any record was read. */
export const NO_LEASE: Lease = {
  readTo: -1,
  fencingNumber: -1,
  holder: '',
  processId: '',
  granted: 0,
  expires: 0,
};

/**
 * Returns the lease after `record`. A renewal keeps the fencing number. Another
 * process gets the lease only after it has expired by the log's clock.
 */
export function foldLease(state: Lease, record: LogRecord): Lease {
  if (record.offset <= state.readTo) {
    return state;
  }
  const next = {...state, readTo: record.offset};
  const parsed = LEASE_RECORD_SCHEMA.safeParse(record.data);
  if (!parsed.success || parsed.data.after !== state.fencingNumber) {
    return next;
  }
  const {holder, processId, duration} = parsed.data;
  const expires = record.time + duration;
  if (state.processId === processId && record.time < state.expires) {
    return {...next, expires: Math.max(state.expires, expires)};
  }
  if (record.time < state.expires) {
    return next;
  }
  return {
    ...next,
    fencingNumber: record.offset,
    holder,
    processId,
    granted: record.time,
    expires,
  };
}
