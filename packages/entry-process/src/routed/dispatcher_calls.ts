/**
 * Calls to the dispatchers of shards. A dispatcher that does not respond is not
 * called for a while.
 */
import {dispatcherOrder, type Member} from '@lacewingwinch/decisions';
import type {
  PeerClient,
  PlacementAnswer,
  PlacementReport,
  PlacementRequest,
} from '@lacewingwinch/entry-hosts';
import type {EventLog} from '@lacewingwinch/observability';

import {callPeer} from './call_peer.js';

/**
 * Milliseconds to wait for the dispatcher's response. Links take 3 to 6 ms both
 * ways; a local choice costs more than a short wait but less than a long one.
 */
const DISPATCHER_TIMEOUT_MILLISECONDS = 60;

/** Milliseconds for which a dispatcher that did not respond is not called. */
const DISPATCHER_BACKOFF_MILLISECONDS = 500;

/** Dependencies of `DispatcherCalls`. */
export interface DispatcherCallsDependencies {
  readonly hostId: string;
  readonly peers: PeerClient;
  readonly events: EventLog;
  readonly servingHosts: () => readonly Member[];
  /** Returns suspension-aware clock readings in milliseconds. */
  readonly clock: () => number;
}

/** Calls the dispatchers of shards. */
export class DispatcherCalls {
  private readonly backoffUntil = new Map<string, number>();

  constructor(private readonly dependencies: DispatcherCallsDependencies) {}

  /**
   * Returns the other host that dispatches the shard; undefined if this host
   * does or if the dispatcher did not respond a moment ago.
   */
  otherDispatcherOf(shardId: string): Member | undefined {
    const {hostId, servingHosts, clock} = this.dependencies;
    const serving = servingHosts();
    const [winner] = dispatcherOrder(
      {id: shardId},
      serving.map(member => member.hostId),
      1,
    );
    const isCalled =
      winner !== undefined &&
      winner !== hostId &&
      clock() >= (this.backoffUntil.get(winner) ?? 0);
    return isCalled
      ? serving.find(member => member.hostId === winner)
      : undefined;
  }

  /** Requests a choice; returns undefined if the dispatcher did not respond. */
  async requestChoice(
    dispatcher: Member,
    request: PlacementRequest,
  ): Promise<PlacementAnswer | undefined> {
    const answer = await callPeer(
      this.dependencies,
      dispatcher,
      'placement.ask',
      request,
      DISPATCHER_TIMEOUT_MILLISECONDS,
    );
    if (answer === undefined) {
      const until = this.dependencies.clock() + DISPATCHER_BACKOFF_MILLISECONDS;
      this.backoffUntil.set(dispatcher.hostId, until);
    }
    return answer;
  }

  /** Reports to a dispatcher, if there is another one. */
  report(dispatcher: Member | undefined, report: PlacementReport): void {
    if (dispatcher !== undefined) {
      this.dependencies.peers.notify(
        dispatcher.addresses.peers,
        'placement.note',
        report,
      );
    }
  }
}
