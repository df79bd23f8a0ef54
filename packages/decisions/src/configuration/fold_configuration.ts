/**
 * The deterministic fold of the configuration stream. All hosts that have read
 * the same records hold the same configuration.
 */
import {
  CONFIGURATION_OBJECT_SCHEMA,
  type ConfigurationObject,
  objectKey,
} from './configuration_objects.js';
import {
  CONFIGURATION_RECORD_SCHEMA,
  type LogRecord,
  type PublishRecord,
  type SnapshotRecord,
} from './configuration_records.js';

/** A configuration object and the offset of the record that set it. */
export interface VersionedObject {
  readonly version: number;
  /**
   * Null for a removed object. Its version is kept, so that a duplicate of an
   * earlier publish is a conflict on every host.
   */
  readonly object: ConfigurationObject | null;
}

/** The outcome of one publish. */
export type PublishOutcome =
  | {readonly kind: 'accepted'; readonly version: number}
  | {readonly kind: 'conflict'; readonly current: number}
  | {readonly kind: 'invalid'; readonly faults: readonly string[]};

/** The configuration after all records up to `readTo`. */
export interface Configuration {
  /** Offset of the last folded record; -1 before the first. */
  readonly readTo: number;
  /** Offset of the last accepted change; -1 before the first. */
  readonly version: number;
  readonly objects: ReadonlyMap<string, VersionedObject>;
  /** Outcomes of recent publishes by publish ID, oldest first. */
  readonly outcomes: ReadonlyMap<string, PublishOutcome>;
}

/** The configuration before any record. */
export const EMPTY_CONFIGURATION: Configuration = {
  readTo: -1,
  version: -1,
  objects: new Map(),
  outcomes: new Map(),
};

/** Maximum number of publish outcomes that a host keeps. */
const MAXIMUM_OUTCOMES = 256;

/** A mutable configuration, used only while this module folds records. */
interface Draft {
  readTo: number;
  version: number;
  readonly objects: Map<string, VersionedObject>;
  readonly outcomes: Map<string, PublishOutcome>;
}

/**
 * Returns the configuration after `record`, which must be the first record of
 * the stream after `state.readTo`. A record that was already folded changes
 * nothing. A snapshot changes no object, because it only repeats the
 * configuration.
 */
export function foldConfiguration(
  state: Configuration,
  record: LogRecord,
): Configuration {
  return foldRecords(state, [record]);
}

/** Returns the configuration after `records`, which must be consecutive. */
export function foldRecords(
  state: Configuration,
  records: readonly LogRecord[],
): Configuration {
  if (!records.some(({offset}) => offset > state.readTo)) {
    return state;
  }
  const draft: Draft = {
    ...state,
    objects: new Map(state.objects),
    outcomes: new Map(state.outcomes),
  };
  for (const record of records) {
    foldInto(draft, record);
  }
  return draft;
}

/**
 * Rebuilds the configuration when the stream has lost all records before
 * `earliest`. `records` are all that it still has. Returns undefined if none of
 * them is a snapshot that covers the lost ones.
 */
export function foldAfterLoss(
  records: readonly LogRecord[],
  earliest: number,
): Configuration | undefined {
  const snapshot = records
    .map(record => CONFIGURATION_RECORD_SCHEMA.safeParse(record.data).data)
    .filter(data => data?.type === 'snapshot')
    .find(snapshot => snapshot.upTo >= earliest - 1);
  const initialState =
    snapshot === undefined ? undefined : configurationOf(snapshot);
  return initialState === undefined
    ? undefined
    : foldRecords(initialState, records);
}

/** Returns a snapshot record of `state`. */
export function snapshotOf(state: Configuration): SnapshotRecord {
  const entries = [...state.objects].map(([key, {version, object}]) => ({
    key,
    version,
    object,
  }));
  return {
    type: 'snapshot',
    upTo: state.readTo,
    version: state.version,
    entries: entries.sort((left, right) => (left.key < right.key ? -1 : 1)),
  };
}

/** Returns the configuration in a snapshot, or undefined if malformed. */
export function configurationOf(
  snapshot: SnapshotRecord,
): Configuration | undefined {
  const objects = new Map<string, VersionedObject>();
  for (const entry of snapshot.entries) {
    if (entry.object === null) {
      objects.set(entry.key, {version: entry.version, object: null});
      continue;
    }
    const parsed = CONFIGURATION_OBJECT_SCHEMA.safeParse(entry.object);
    if (!parsed.success) {
      return undefined;
    }
    objects.set(entry.key, {version: entry.version, object: parsed.data});
  }
  return {
    readTo: snapshot.upTo,
    version: snapshot.version,
    objects,
    outcomes: new Map(),
  };
}

/** Returns the configuration that was read further; `left` if equal. */
export function laterConfiguration(
  left: Configuration,
  right: Configuration,
): Configuration {
  return right.readTo > left.readTo ? right : left;
}

function foldInto(draft: Draft, {offset, data}: LogRecord): void {
  if (offset <= draft.readTo) {
    return;
  }
  draft.readTo = offset;
  const parsed = CONFIGURATION_RECORD_SCHEMA.safeParse(data);
  if (!parsed.success) {
    return;
  }
  switch (parsed.data.type) {
    case 'publish':
      recordOutcome(
        draft,
        parsed.data,
        foldPublish(draft, offset, parsed.data),
      );
      return;
    case 'snapshot':
      return;
  }
}

function foldPublish(
  draft: Draft,
  offset: number,
  record: PublishRecord,
): PublishOutcome {
  const current = draft.objects.get(record.key)?.version ?? -1;
  if (record.basedOn !== current) {
    return {kind: 'conflict', current};
  }
  const validated = validateObject(record);
  if (validated.kind === 'invalid') {
    return validated;
  }
  draft.objects.set(record.key, {version: offset, object: validated.object});
  draft.version = offset;
  return {kind: 'accepted', version: offset};
}

type ValidatedObject =
  | Extract<PublishOutcome, {readonly kind: 'invalid'}>
  | {readonly kind: 'valid'; readonly object: ConfigurationObject | null};

function validateObject(record: PublishRecord): ValidatedObject {
  if (record.object === null) {
    return {kind: 'valid', object: null};
  }
  const parsed = CONFIGURATION_OBJECT_SCHEMA.safeParse(record.object);
  if (!parsed.success) {
    const faults = parsed.error.issues.map(
      issue => `${issue.path.join('.')}: ${issue.message}`,
    );
    return {kind: 'invalid', faults};
  }
  if (objectKey(parsed.data) !== record.key) {
    const faults = [`key: ${record.key} names another object`];
    return {kind: 'invalid', faults};
  }
  return {kind: 'valid', object: parsed.data};
}

function recordOutcome(
  draft: Draft,
  {publishId}: PublishRecord,
  outcome: PublishOutcome,
): void {
  const {outcomes} = draft;
  if (outcomes.has(publishId)) {
    return;
  }
  outcomes.set(publishId, outcome);
  const [oldest] = outcomes.keys();
  if (outcomes.size > MAXIMUM_OUTCOMES && oldest !== undefined) {
    outcomes.delete(oldest);
  }
}
