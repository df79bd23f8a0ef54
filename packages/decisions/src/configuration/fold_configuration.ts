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

/** A configuration that is being built; only this module changes one. */
interface Draft {
  readTo: number;
  version: number;
  readonly objects: Map<string, VersionedObject>;
  readonly outcomes: Map<string, PublishOutcome>;
}

/**
 * The configuration after `record`, which must be the first one after
 * `state.readTo` that the stream has. A record already folded changes nothing;
 * a snapshot says nothing new.
 */
export function foldConfiguration(
  state: Configuration,
  record: LogRecord,
): Configuration {
  return foldRecords(state, [record]);
}

/** The configuration after `records`, which follow one another in the stream. */
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
  return start === undefined ? undefined : foldRecords(start, records);
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
      noteOutcome(draft, parsed.data, foldPublish(draft, offset, parsed.data));
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
  const checked = checkObject(record);
  if (checked.kind === 'invalid') {
    return checked;
  }
  draft.objects.set(record.key, {version: offset, object: checked.object});
  draft.version = offset;
  return {kind: 'accepted', version: offset};
}

type CheckedObject =
  | Extract<PublishOutcome, {readonly kind: 'invalid'}>
  | {readonly kind: 'valid'; readonly object: ConfigurationObject | null};

function checkObject(record: PublishRecord): CheckedObject {
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

function noteOutcome(
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
