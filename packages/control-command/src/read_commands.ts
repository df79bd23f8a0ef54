/**
 * The commands that only read: show, status and explain.
 */
import type {VersionedObject} from '@lacewingwinch/decisions';
import {
  type Explanation,
  fetchExplanation,
  fetchStatus,
  type HostStatus,
  readConfiguration,
} from '@lacewingwinch/operators';
import {connectLogService} from '@lacewingwinch/platform';

import {
  type CommandSettings,
  requireLogUrl,
  requireOperatorAddress,
} from './command_settings.js';

/** A published object with its key and version. */
export interface ShownObject extends VersionedObject {
  readonly key: string;
}

/** The status of a host, or its ID if the host did not answer. */
export type ShownStatus =
  | {readonly kind: 'answered'; readonly status: HostStatus}
  | {readonly kind: 'silent'; readonly hostId: string};

/** Returns all published objects, or only the object with `key`. */
export async function show(
  key: string | undefined,
  settings: CommandSettings,
): Promise<readonly ShownObject[]> {
  const log = connectLogService(requireLogUrl(settings));
  const {objects} = await readConfiguration(log);
  return [...objects]
    .map(([objectKey, versioned]) => ({key: objectKey, ...versioned}))
    .filter(shown => key === undefined || shown.key === key)
    .filter(({object}) => object !== null);
}

/** Returns the status of every entry host that is not gone. */
export async function status(
  settings: CommandSettings,
): Promise<readonly ShownStatus[]> {
  const {members} = await fetchStatus(requireOperatorAddress(settings));
  const liveMembers = members.filter(member => member.status !== 'gone');
  return Promise.all(
    liveMembers.map(async ({hostId, addresses}): Promise<ShownStatus> => {
      try {
        const answer = await fetchStatus(addresses.operators);
        return {kind: 'answered', status: answer};
      } catch {
        return {kind: 'silent', hostId};
      }
    }),
  );
}

/** Returns the explanations of a request from all hosts that know it. */
export async function explain(
  requestId: string,
  settings: CommandSettings,
): Promise<readonly Explanation[]> {
  const {members} = await fetchStatus(requireOperatorAddress(settings));
  const liveMembers = members.filter(member => member.status !== 'gone');
  const explanations = await Promise.all(
    liveMembers.map(async ({addresses}) => {
      try {
        return await fetchExplanation(addresses.operators, requestId);
      } catch {
        return undefined;
      }
    }),
  );
  return explanations.filter(explanation => explanation !== undefined);
}
