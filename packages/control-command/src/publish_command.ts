/**
 * `lacewingctl publish`.
 */
import {
  type ConfigurationObject,
  objectKey,
  type PublishOutcome,
} from '@lacewingwinch/decisions';
import {
  fetchStatus,
  publishChange,
  readConfiguration,
} from '@lacewingwinch/operators';
import {connectLogService, type LogService} from '@lacewingwinch/platform';
import {v7 as uuidV7} from 'uuid';

import {
  type CommandSettings,
  requireLogUrl,
  UsageError,
} from './command_settings.js';
import {readObjectFile} from './object_file.js';

/** Milliseconds between two looks at the entry hosts. */
const LOOK_PERIOD_MILLISECONDS = 100;

/** What to publish. */
export interface PublishArguments {
  readonly file: string | undefined;
  /** Key of an object to remove. */
  readonly remove: string | undefined;
  /** Version that the change is based on; the current one by default. */
  readonly basedOn: number | undefined;
}

/** What became of one object. */
export interface PublishReport {
  readonly key: string;
  readonly publishId: string;
  readonly outcome: PublishOutcome | {readonly kind: 'unknown'};
  /** Entry hosts where the change is in force. */
  readonly inForceAt: readonly string[];
  /** Live entry hosts that did not report the change in time. */
  readonly behind: readonly string[];
}

/** All that a publish did. */
export interface PublishSummary {
  readonly warnings: readonly string[];
  readonly reports: readonly PublishReport[];
}

interface Change {
  readonly key: string;
  readonly object: ConfigurationObject | null;
}

/** Publishes a file, or the removal of an object. */
export async function publish(
  given: PublishArguments,
  settings: CommandSettings,
): Promise<PublishSummary> {
  const log = connectLogService(requireLogUrl(settings));
  const {changes, warnings} = await readChanges(given);
  const reports: PublishReport[] = [];
  for (const change of changes) {
    reports.push(await publishOne(log, change, given.basedOn, settings));
  }
  return {warnings, reports};
}

async function readChanges(given: PublishArguments): Promise<{
  readonly changes: readonly Change[];
  readonly warnings: readonly string[];
}> {
  if (given.remove !== undefined) {
    return {changes: [{key: given.remove, object: null}], warnings: []};
  }
  if (given.file === undefined) {
    throw new UsageError(['a file or --remove is missing']);
  }
  const {objects, warnings} = await readObjectFile(given.file);
  const changes = objects.map(object => ({key: objectKey(object), object}));
  return {changes, warnings};
}

async function publishOne(
  log: LogService,
  change: Change,
  basedOn: number | undefined,
  settings: CommandSettings,
): Promise<PublishReport> {
  const publishId = uuidV7();
  const deadline = Date.now() + settings.waitSeconds * 1000;
  const current = await readConfiguration(log);
  const result = await publishChange(
    log,
    {
      type: 'publish',
      publishId,
      operator: process.env['USER'] ?? '',
      key: change.key,
      object: change.object,
      basedOn: basedOn ?? current.objects.get(change.key)?.version ?? -1,
    },
    deadline,
    Date.now,
  );
  const base = {key: change.key, publishId};
  if (result.kind === 'unknown') {
    return {...base, outcome: {kind: 'unknown'}, inForceAt: [], behind: []};
  }
  const {outcome} = result;
  const reached =
    outcome.kind === 'accepted' && settings.operatorAddress !== undefined
      ? await waitForHosts(settings.operatorAddress, outcome.version, deadline)
      : {inForceAt: [], behind: []};
  return {...base, outcome, ...reached};
}

async function waitForHosts(
  address: string,
  version: number,
  deadline: number,
): Promise<Pick<PublishReport, 'behind' | 'inForceAt'>> {
  for (;;) {
    const reached = await lookAtHosts(address, version);
    const isComplete = reached.behind.length === 0;
    if (isComplete || Date.now() >= deadline) {
      return reached;
    }
    await new Promise(resolve => {
      setTimeout(resolve, LOOK_PERIOD_MILLISECONDS);
    });
  }
}

async function lookAtHosts(
  address: string,
  version: number,
): Promise<Pick<PublishReport, 'behind' | 'inForceAt'>> {
  const {members} = await fetchStatus(address);
  const live = members.filter(({status}) => status === 'serving');
  const states = await Promise.all(
    live.map(async ({hostId, addresses}) => ({
      hostId,
      isInForce: await hasVersion(addresses.operators, version),
    })),
  );
  const idsOf = (isInForce: boolean): readonly string[] =>
    states
      .filter(state => state.isInForce === isInForce)
      .map(({hostId}) => hostId);
  return {inForceAt: idsOf(true), behind: idsOf(false)};
}

async function hasVersion(address: string, version: number): Promise<boolean> {
  try {
    const {configurationReadTo} = await fetchStatus(address);
    return configurationReadTo >= version;
  } catch {
    return false;
  }
}
