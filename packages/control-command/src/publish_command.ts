/**
 * The command `lacewingctl publish`.
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

/** Milliseconds between two checks of the entry hosts for the new version. */
const POLL_INTERVAL_MILLISECONDS = 100;

/** The arguments of a publish. */
export interface PublishArguments {
  readonly file: string | undefined;
  /** Key of the object to remove, as kind/name. */
  readonly remove: string | undefined;
  /** Version that the change is based on; by default the current version. */
  readonly basedOn: number | undefined;
}

/** The result of publishing one object. */
export interface PublishReport {
  readonly key: string;
  readonly publishId: string;
  readonly outcome: PublishOutcome | {readonly kind: 'unknown'};
  /** IDs of the entry hosts where the change is in force. */
  readonly inForceAt: readonly string[];
  /** IDs of the serving entry hosts that did not report the change in time. */
  readonly behind: readonly string[];
}

/** The results of a publish, and the warnings about its file. */
export interface PublishSummary {
  readonly warnings: readonly string[];
  readonly reports: readonly PublishReport[];
}

interface Change {
  readonly key: string;
  readonly object: ConfigurationObject | null;
}

/** Publishes the objects of a file, or the removal of one object. */
export async function publish(
  publishArguments: PublishArguments,
  settings: CommandSettings,
): Promise<PublishSummary> {
  const log = connectLogService(requireLogUrl(settings));
  const {changes, warnings} = await readChanges(publishArguments);
  const reports: PublishReport[] = [];
  for (const change of changes) {
    reports.push(
      await publishOne(log, change, publishArguments.basedOn, settings),
    );
  }
  return {warnings, reports};
}

async function readChanges(publishArguments: PublishArguments): Promise<{
  readonly changes: readonly Change[];
  readonly warnings: readonly string[];
}> {
  if (publishArguments.remove !== undefined) {
    return {
      changes: [{key: publishArguments.remove, object: null}],
      warnings: [],
    };
  }
  if (publishArguments.file === undefined) {
    throw new UsageError(['either a file or --remove is required']);
  }
  const {objects, warnings} = await readObjectFile(publishArguments.file);
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
  const reportBase = {key: change.key, publishId};
  if (result.kind === 'unknown') {
    return {
      ...reportBase,
      outcome: {kind: 'unknown'},
      inForceAt: [],
      behind: [],
    };
  }
  const {outcome} = result;
  const rollout =
    outcome.kind === 'accepted' && settings.operatorAddress !== undefined
      ? await waitForHosts(settings.operatorAddress, outcome.version, deadline)
      : {inForceAt: [], behind: []};
  return {...reportBase, outcome, ...rollout};
}

async function waitForHosts(
  address: string,
  version: number,
  deadline: number,
): Promise<Pick<PublishReport, 'behind' | 'inForceAt'>> {
  for (;;) {
    const rollout = await checkHosts(address, version);
    const isComplete = rollout.behind.length === 0;
    if (isComplete || Date.now() >= deadline) {
      return rollout;
    }
    await new Promise(resolve => {
      setTimeout(resolve, POLL_INTERVAL_MILLISECONDS);
    });
  }
}

async function checkHosts(
  address: string,
  version: number,
): Promise<Pick<PublishReport, 'behind' | 'inForceAt'>> {
  const {members} = await fetchStatus(address);
  const servingMembers = members.filter(({status}) => status === 'serving');
  const states = await Promise.all(
    servingMembers.map(async ({hostId, addresses}) => ({
      hostId,
      isInForce: await hasReadVersion(addresses.operators, version),
    })),
  );
  const selectHostIds = (isInForce: boolean): readonly string[] =>
    states
      .filter(state => state.isInForce === isInForce)
      .map(({hostId}) => hostId);
  return {inForceAt: selectHostIds(true), behind: selectHostIds(false)};
}

async function hasReadVersion(
  address: string,
  version: number,
): Promise<boolean> {
  try {
    const {configurationReadTo} = await fetchStatus(address);
    return configurationReadTo >= version;
  } catch {
    return false;
  }
}
