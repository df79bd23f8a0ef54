/**
 * The records of the claim stream.
 */
import {z} from 'zod';

const CLAIM_SCHEMA = z
  .strictObject({
    type: z.literal('claim'),
    /** Workspace, service and idempotency key, as one string. */
    key: z.string().min(1),
    /** Hash of the content, to tell a key that is used twice. */
    fingerprint: z.string(),
    /** Entry host whose process holds the right. */
    holder: z.string().min(1),
    /** Request that the claim is for. */
    requestId: z.string().min(1),
    /** Identity of this right; never used twice. */
    rightId: z.string().min(1),
  })
  .readonly();

const RELEASE_SCHEMA = z
  .strictObject({
    type: z.literal('release'),
    key: z.string().min(1),
    /** The right, which its holder destroyed unused before it wrote this. */
    rightId: z.string().min(1),
  })
  .readonly();

const BATCH_SCHEMA = z
  .strictObject({
    type: z.literal('batch'),
    entries: z
      .array(z.discriminatedUnion('type', [CLAIM_SCHEMA, RELEASE_SCHEMA]))
      .readonly(),
  })
  .readonly();

/** Schema of a record of the claim stream. */
export const CLAIM_RECORD_SCHEMA = BATCH_SCHEMA;

/** A claim of the right to execute one keyed request. */
export type Claim = z.infer<typeof CLAIM_SCHEMA>;
/** The statement that a right was destroyed unused. */
export type Release = z.infer<typeof RELEASE_SCHEMA>;
/** A record of the claim stream: one append carries many entries. */
export type ClaimRecord = z.infer<typeof CLAIM_RECORD_SCHEMA>;
