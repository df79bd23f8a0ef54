/**
 * The deterministic fold of the configuration stream. Every host that has
 * read the same records holds the same configuration.
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

/** An object and the offset of the record that set it. */
export interface VersionedObject {
  readonly version: number;
  /** Null for an object that was removed; its version stays, so that a doubled
   * publish of it is a conflict on every host. */
  readonly object: ConfigurationObject | null;
}

/** What the fold decided on one publish. */
export type PublishOutcome =
  | {readonly kind: 'accepted'; readonly version: number}
  | {readonly kind: 'conflict'; readonly current: number}
  | {readonly kind: 'invalid'; readonly faults: readonly string[]};

/** The configuration after all records up to `readTo`. */
export interface Configuration {
  /** Offset of the last record folded; -1 before the first. */
  readonly readTo: number;
  /** Offset of the last change accepted; -1 before the first. */
  readonly version: number;
  readonly objects: ReadonlyMap<string, VersionedObject>;
  /** Outcomes of the latest publishes by publish id, oldest first. */
  readonly outcomes: ReadonlyMap<string, PublishOutcome>;
}

/** The configuration before any record. */
export const EMPTY_CONFIGURATION: Configuration = {
  readTo: -1,
  version: -1,
  objects: new Map(),
  outcomes: new Map(),
};

/** Publish outcomes that a host remembers. */
const MAXIMUM_OUTCOMES = 256;

/**
 * The configuration after `record`, which must be the first one after
 * `state.readTo` that the stream has. A record already folded changes nothing;
 * a snapshot says nothing new.
 */
export function foldConfiguration(
  state: Configuration,
  record: LogRecord,
): Configuration {
  if (record.offset <= state.readTo) {
    return state;
  }
  const advanced = {...state, readTo: record.offset};
  const parsed = CONFIGURATION_RECORD_SCHEMA.safeParse(record.data);
  if (!parsed.success) {
    return advanced;
  }
  switch (parsed.data.type) {
    case 'publish':
      return foldPublish(advanced, record.offset, parsed.data);
    case 'snapshot':
      return advanced;
  }
}

/**
 * The configuration after `records`, which are all that the stream still has
 * from its earliest offset on, when earlier ones are lost. Undefined if no
 * snapshot among them covers what is lost.
 */
export function foldAfterLoss(
  records: readonly LogRecord[],
  earliest: number,
): Configuration | undefined {
  const base = records
    .map(record => CONFIGURATION_RECORD_SCHEMA.safeParse(record.data).data)
    .filter(data => data?.type === 'snapshot')
    .find(snapshot => snapshot.upTo >= earliest - 1);
  const start = base === undefined ? undefined : configurationOf(base);
  return start === undefined
    ? undefined
    : records.reduce(foldConfiguration, start);
}

/** The snapshot record of `state`. */
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

/** The configuration that a snapshot describes, or undefined if malformed. */
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

/** The later of two configurations; never the older one. */
export function laterConfiguration(
  left: Configuration,
  right: Configuration,
): Configuration {
  return right.readTo > left.readTo ? right : left;
}

function foldPublish(
  state: Configuration,
  offset: number,
  record: PublishRecord,
): Configuration {
  const current = state.objects.get(record.key)?.version ?? -1;
  if (record.basedOn !== current) {
    return withOutcome(state, record, {kind: 'conflict', current});
  }
  const objects = new Map(state.objects);
  if (record.object === null) {
    objects.set(record.key, {version: offset, object: null});
    return withOutcome({...state, objects, version: offset}, record, {
      kind: 'accepted',
      version: offset,
    });
  }
  const parsed = CONFIGURATION_OBJECT_SCHEMA.safeParse(record.object);
  if (!parsed.success) {
    const faults = parsed.error.issues.map(
      issue => `${issue.path.join('.')}: ${issue.message}`,
    );
    return withOutcome(state, record, {kind: 'invalid', faults});
  }
  if (objectKey(parsed.data) !== record.key) {
    const faults = [`key: ${record.key} names another object`];
    return withOutcome(state, record, {kind: 'invalid', faults});
  }
  objects.set(record.key, {version: offset, object: parsed.data});
  return withOutcome({...state, objects, version: offset}, record, {
    kind: 'accepted',
    version: offset,
  });
}

function withOutcome(
  state: Configuration,
  record: PublishRecord,
  outcome: PublishOutcome,
): Configuration {
  if (state.outcomes.has(record.publishId)) {
    return state;
  }
  const outcomes = new Map(state.outcomes);
  outcomes.set(record.publishId, outcome);
  for (const publishId of outcomes.keys()) {
    if (outcomes.size <= MAXIMUM_OUTCOMES) {
      break;
    }
    outcomes.delete(publishId);
  }
  return {...state, outcomes};
}
