/**
 * The records of the configuration stream.
 */
import {z} from 'zod';

const VERSION = z.number().int().min(-1);

const PUBLISH_SCHEMA = z
  .strictObject({
    type: z.literal('publish'),
    /** ID by which the sender finds the outcome of this publish. */
    publishId: z.string().min(1).max(100),
    operator: z.string().max(100),
    /** Key of the object, as `kind/name`. */
    key: z.string().min(1).max(100),
    /** The new object, or null to remove it. */
    object: z.unknown(),
    /** Version on which the change is based; -1 for a new object. */
    basedOn: VERSION,
  })
  .readonly();

const SNAPSHOT_SCHEMA = z
  .strictObject({
    type: z.literal('snapshot'),
    /** Offset of the last record that the snapshot covers. */
    upTo: z.number().int().min(-1),
    version: VERSION,
    entries: z
      .array(
        z
          .strictObject({
            key: z.string(),
            version: VERSION,
            object: z.unknown(),
          })
          .readonly(),
      )
      .readonly(),
  })
  .readonly();

/** The schema of a record of the configuration stream. */
export const CONFIGURATION_RECORD_SCHEMA = z.discriminatedUnion('type', [
  PUBLISH_SCHEMA,
  SNAPSHOT_SCHEMA,
]);

/** A record that publishes a change to one object. */
export type PublishRecord = z.infer<typeof PUBLISH_SCHEMA>;
/**
 * A record that repeats the complete configuration before the log's retention
 * removes the records that it is made of.
 */
export type SnapshotRecord = z.infer<typeof SNAPSHOT_SCHEMA>;
/** A record of the configuration stream. */
export type ConfigurationRecord = z.infer<typeof CONFIGURATION_RECORD_SCHEMA>;

/** A record as the log returns it. */
export interface LogRecord {
  readonly offset: number;
  /** Time at which the log accepted the record, in ms since the epoch. */
  readonly time: number;
  readonly data: unknown;
}
