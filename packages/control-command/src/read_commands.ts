/**
 * The commands that read: show, status, explain.
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

/** An object and its key. */
export interface ShownObject extends VersionedObject {
  readonly key: string;
}

/** The status of a host, or that it did not answer. */
export type ShownStatus =
  | {readonly kind: 'answered'; readonly status: HostStatus}
  | {readonly kind: 'silent'; readonly hostId: string};

/** The published objects, or the one called `key`. */
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

/** The status of every entry host that is not gone. */
export async function status(
  settings: CommandSettings,
): Promise<readonly ShownStatus[]> {
  const {members} = await fetchStatus(requireOperatorAddress(settings));
  const live = members.filter(member => member.status !== 'gone');
  return Promise.all(
    live.map(async ({hostId, addresses}): Promise<ShownStatus> => {
      try {
        const answer = await fetchStatus(addresses.operators);
        return {kind: 'answered', status: answer};
      } catch {
        return {kind: 'silent', hostId};
      }
    }),
  );
}

/** What each entry host says of a request. */
export async function explain(
  requestId: string,
  settings: CommandSettings,
): Promise<readonly Explanation[]> {
  const {members} = await fetchStatus(requireOperatorAddress(settings));
  const live = members.filter(member => member.status !== 'gone');
  const found = await Promise.all(
    live.map(async ({addresses}) => {
      try {
        return await fetchExplanation(addresses.operators, requestId);
      } catch {
        return undefined;
      }
    }),
  );
  return found.filter(explanation => explanation !== undefined);
}
