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

import {callPeer} from '../../util/call_peer.js';

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
  /** Returns the serving hosts that may dispatch shards. */
  readonly dispatchingHosts: () => readonly Member[];
  /** Returns suspension-aware clock readings in milliseconds. */
  readonly clock: () => number;
}

/** Calls the dispatchers of shards. */
export class DispatcherCalls {
  private readonly backoffUntil = new Map<string, number>();
  /** Times since which this host has dispatched shards. */
  private readonly dispatcherSince = new Map<string, number>();

  constructor(private readonly dependencies: DispatcherCallsDependencies) {}

  /** Discards since when this host has dispatched shards that are gone. */
  keepOnly(shardIds: ReadonlySet<string>): void {
    for (const shardId of this.dispatcherSince.keys()) {
      if (!shardIds.has(shardId)) {
        this.dispatcherSince.delete(shardId);
      }
    }
  }

  /** Returns whether this host dispatches the shard. */
  isDispatcher(shardId: string): boolean {
    return this.orderOf(shardId)[0]?.hostId === this.dependencies.hostId;
  }

  /**
   * Returns the milliseconds for which this host is known to have dispatched the
   * shard; undefined if it does not.
   */
  dispatcherFor(shardId: string): number | undefined {
    if (!this.isDispatcher(shardId)) {
      this.dispatcherSince.delete(shardId);
      return undefined;
    }
    const now = this.dependencies.clock();
    const since = this.dispatcherSince.get(shardId) ?? now;
    this.dispatcherSince.set(shardId, since);
    return now - since;
  }

  /** Returns what `dispatcherFor` would return, and keeps no time. */
  peekDispatcherFor(shardId: string): number | undefined {
    const now = this.dependencies.clock();
    return this.isDispatcher(shardId)
      ? now - (this.dispatcherSince.get(shardId) ?? now)
      : undefined;
  }

  /** Returns the host that dispatches the shard, however it has responded. */
  dispatcherOf(shardId: string): Member | undefined {
    return this.orderOf(shardId)[0];
  }

  /**
   * Returns the other host that dispatches the shard; undefined if this host
   * does or if the dispatcher did not respond a moment ago.
   */
  otherDispatcherOf(shardId: string): Member | undefined {
    const [winner] = this.orderOf(shardId);
    return winner !== undefined && this.isCalled(winner) ? winner : undefined;
  }

  /** Returns whether this host dispatches the shard if its dispatcher is lost. */
  isStandIn(shardId: string): boolean {
    return this.orderOf(shardId)[1]?.hostId === this.dependencies.hostId;
  }

  /**
   * Returns the host that dispatches the shard if its dispatcher is lost;
   * undefined if this host would or if it did not respond a moment ago.
   */
  standInOf(shardId: string): Member | undefined {
    const [, standIn] = this.orderOf(shardId);
    return standIn !== undefined && this.isCalled(standIn)
      ? standIn
      : undefined;
  }

  /** Returns the dispatcher of a shard and the host that follows it. */
  private orderOf(shardId: string): readonly Member[] {
    const hosts = this.dependencies.dispatchingHosts();
    const order = dispatcherOrder(
      {id: shardId},
      hosts.map(member => member.hostId),
      2,
    );
    return order.flatMap(
      hostId => hosts.find(member => member.hostId === hostId) ?? [],
    );
  }

  private isCalled({hostId}: Member): boolean {
    const {hostId: ownId, clock} = this.dependencies;
    return hostId !== ownId && clock() >= (this.backoffUntil.get(hostId) ?? 0);
  }

  /** Requests a choice; returns undefined if the dispatcher did not respond. */
  async requestChoice(
    dispatcher: Member,
    request: PlacementRequest,
  ): Promise<PlacementAnswer | undefined> {
    const answer = await callPeer(
      this.dependencies,
      dispatcher,
      'placement.request',
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
        'placement.report',
        report,
      );
    }
  }
}
