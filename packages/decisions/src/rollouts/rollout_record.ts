/**
 * The state of a roll-out, as the holder of the duties writes it to the store.
 * The newest record of a service is in force. Records of one service are numbered
 * without end, so that the newest one is known without the store.
 */
import {z} from 'zod';

import type {RolloutOrder} from './rollout_order.js';

const COMMON_FIELDS = {
  orderId: z.string(),
  service: z.string(),
  softwareVersion: z.string(),
  sequence: z.number().int().positive(),
  /** True time of the time limit, in milliseconds since the epoch. */
  deadline: z.number(),
  durationMilliseconds: z.number().positive(),
  /** Versions that were rolled back or given up; they get no requests. */
  barredVersions: z.array(z.string()).readonly(),
};

const ROLLOUT_RECORD_SCHEMA = z.discriminatedUnion('phase', [
  z.object({
    ...COMMON_FIELDS,
    phase: z.literal('testing'),
    /** Part of the requests that run at the new version. */
    share: z.number().min(0).max(1),
    /** Engines of the new version that get them. */
    upstreamIds: z.array(z.string()).readonly(),
  }),
  z.object({
    ...COMMON_FIELDS,
    phase: z.literal('moving'),
    share: z.number().min(0).max(1),
    /** True time at which `share` was reached. */
    steppedAt: z.number(),
    /** Sequence of the first record with this share. */
    stepSequence: z.number(),
  }),
  z.object({
    ...COMMON_FIELDS,
    phase: z.literal('completed'),
    /** Versions that served before; their engines stop at once. */
    replacedVersions: z.array(z.string()).readonly(),
  }),
  z.object({
    ...COMMON_FIELDS,
    phase: z.literal('rolled-back'),
    reason: z.string(),
  }),
]);

/** A record of the roll-out of a service. */
export type RolloutRecord = Readonly<z.infer<typeof ROLLOUT_RECORD_SCHEMA>>;

/** A record of a roll-out that is in progress. */
export type OpenRolloutRecord = Extract<
  RolloutRecord,
  {phase: 'moving' | 'testing'}
>;

/** Returns the record in `value`, or undefined if it is malformed. */
export function parseRolloutRecord(value: unknown): RolloutRecord | undefined {
  const parsed = ROLLOUT_RECORD_SCHEMA.safeParse(value);
  return parsed.success ? parsed.data : undefined;
}

/** Decodes a record from the store; undefined if it is malformed. */
export function decodeRolloutRecord(value: Buffer): RolloutRecord | undefined {
  try {
    return parseRolloutRecord(JSON.parse(value.toString()));
  } catch {
    return undefined;
  }
}

/** Returns whether a roll-out is in progress. */
export function isOpenRollout(
  record: RolloutRecord,
): record is OpenRolloutRecord {
  switch (record.phase) {
    case 'testing':
    case 'moving':
      return true;
    case 'completed':
    case 'rolled-back':
      return false;
  }
}

/**
 * Returns the versions that were given up before `order`, of which `record` may
 * know nothing yet. They get no request while the order is carried out.
 */
export function versionsGivenUp(
  order: RolloutOrder,
  record: RolloutRecord | undefined,
): readonly string[] {
  if (record === undefined) {
    return [];
  }
  if (record.orderId === order.orderId) {
    return record.barredVersions;
  }
  const versions = new Set(record.barredVersions);
  switch (record.phase) {
    case 'testing':
    case 'moving':
    case 'rolled-back':
      versions.add(record.softwareVersion);
      break;
    case 'completed':
  }
  versions.delete(order.softwareVersion);
  return [...versions];
}
