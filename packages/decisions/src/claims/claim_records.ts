/**
 * The records of the claim stream, in which entry hosts claim the right to
 * execute non-idempotent requests.
 */
import {z} from 'zod';

const CLAIM_SCHEMA = z
  .strictObject({
    type: z.literal('claim'),
    /** Workspace, service and idempotency key, joined into one string. */
    key: z.string().min(1),
    /** Hash of the content, to detect a key reused with other content. */
    fingerprint: z.string(),
    /** Entry host whose process holds the execution right. */
    holder: z.string().min(1),
    /** Request for which the claim was made. */
    requestId: z.string().min(1),
    /** Unique ID of this execution right; never reused. */
    rightId: z.string().min(1),
  })
  .readonly();

const RELEASE_SCHEMA = z
  .strictObject({
    type: z.literal('release'),
    key: z.string().min(1),
    /** Execution right that its holder destroyed unused before this record. */
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

/** The schema of a record of the claim stream. */
export const CLAIM_RECORD_SCHEMA = BATCH_SCHEMA;

/** A claim of the right to execute one request with an idempotency key. */
export type Claim = z.infer<typeof CLAIM_SCHEMA>;
/** A statement that an execution right was destroyed unused. */
export type Release = z.infer<typeof RELEASE_SCHEMA>;
/** A record of the claim stream; one append carries many entries. */
export type ClaimRecord = z.infer<typeof CLAIM_RECORD_SCHEMA>;
