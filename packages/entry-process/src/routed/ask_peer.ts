/**
 * Calls to other entry hosts that are hints: without an answer this host goes on
 * with what it knows.
 */
import type {Member} from '@lacewingwinch/decisions';
import type {
  PeerCaller,
  PeerMethod,
  PeerParams,
  PeerResult,
} from '@lacewingwinch/entry-hosts';
import type {EventLog} from '@lacewingwinch/observability';

import {messageOf} from '../util/message_of.js';

/** What a call needs. */
export interface PeerAsking {
  readonly peers: PeerCaller;
  readonly events: EventLog;
}

/** The answer of `member`; undefined, and logged, if none came in time. */
export async function askPeer<M extends PeerMethod>(
  {peers, events}: PeerAsking,
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
