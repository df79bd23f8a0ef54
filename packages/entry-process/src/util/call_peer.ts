/**
 * Best-effort calls to other entry hosts: if no response arrives, this host
 * continues with the state that it already has.
 */
import type {Member} from '@lacewingwinch/decisions';
import type {
  PeerClient,
  PeerMethod,
  PeerParams,
  PeerResult,
} from '@lacewingwinch/entry-hosts';
import type {EventLog} from '@lacewingwinch/observability';

import {messageOf} from './message_of.js';

/** Dependencies of `callPeer`. */
export interface PeerCallDependencies {
  readonly peers: PeerClient;
  readonly events: EventLog;
}

/**
 * Calls `method` of `member`. Returns undefined and logs the error if the call
 * fails or times out.
 */
export async function callPeer<M extends PeerMethod>(
  {peers, events}: PeerCallDependencies,
  {hostId, addresses}: Member,
  method: M,
  params: PeerParams<M>,
  timeoutMilliseconds: number,
): Promise<PeerResult<M> | undefined> {
  try {
    return await peers.call(
      addresses.peers,
      method,
      params,
      timeoutMilliseconds,
    );
  } catch (error) {
    events.write(3004, {hostId, method, error: messageOf(error)});
    return undefined;
  }
}
