/**
 * The task that requests permits from dispatchers, and renews and releases
 * them.
 */
import type {Member} from '@lacewingwinch/decisions';
import {
  type DispatchEffect,
  dispatcherOrder,
  type HeldPermit,
  type PermitRequest,
  type Shard,
} from '@lacewingwinch/decisions';
import type {PeerClient} from '@lacewingwinch/entry-hosts';

import {pause} from '../util/pause.js';
import type {DispatcherTask} from './dispatcher_task.js';

/** Maximum number of hosts tried before the dispatcher of this host is used. */
const MAXIMUM_HOSTS_TRIED = 2;

/** Milliseconds allowed for a response beyond the maximum wait of a request. */
const RESPONSE_MARGIN_MILLISECONDS = 300;

/** Milliseconds between two renewals of the held permits. */
const RENEW_PERIOD_MILLISECONDS = 1000;

/** Dependencies of `PermitClient`. */
export interface PermitClientDependencies {
  readonly hostId: string;
  readonly peers: PeerClient;
  readonly dispatcher: DispatcherTask;
  readonly servingHosts: () => readonly Member[];
}

/** The response to a permit request, with the host that gave it. */
export interface PermitAnswer {
  readonly dispatcher: string;
  readonly effect: DispatchEffect;
}

interface TrackedPermit {
  readonly shardId: string;
  readonly dispatcher: string;
  readonly permit: HeldPermit;
}

/** Owns the permits held by the requests of this host. */
export class PermitClient {
  private readonly held = new Map<string, TrackedPermit>();
  private pendingReleases: Map<string, string[]> = new Map<string, string[]>();

  constructor(private readonly dependencies: PermitClientDependencies) {}

  /**
   * Requests a permit from the dispatcher of `shard`. If it does not respond,
   * tries the next host in order, and finally the dispatcher of this host.
   */
  async requestPermit(
    shard: Shard,
    request: PermitRequest,
  ): Promise<PermitAnswer> {
    for (const hostId of this.dispatchersOf(shard)) {
      const answer = await this.tryDispatcher(hostId, shard, request);
      if (answer !== undefined) {
        this.trackGrant(shard, hostId, request, answer);
        return {dispatcher: hostId, effect: answer};
      }
    }
    const {hostId, dispatcher} = this.dependencies;
    const effect = await dispatcher.requestPermit(shard.id, request);
    this.trackGrant(shard, hostId, request, effect);
    return {dispatcher: hostId, effect};
  }

  /** Releases a permit. */
  release(permitId: string): void {
    const held = this.held.get(permitId);
    if (held === undefined) {
      return;
    }
    this.held.delete(permitId);
    this.queueRelease(held.dispatcher, held.shardId, permitId);
  }

  /** Runs until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await pause(RENEW_PERIOD_MILLISECONDS, signal);
      this.renewPermits();
    }
  }

  private dispatchersOf(shard: Shard): readonly string[] {
    const hosts = this.dependencies.servingHosts().map(({hostId}) => hostId);
    return dispatcherOrder(shard, hosts, MAXIMUM_HOSTS_TRIED);
  }

  private async tryDispatcher(
    hostId: string,
    shard: Shard,
    request: PermitRequest,
  ): Promise<DispatchEffect | undefined> {
    if (hostId === this.dependencies.hostId) {
      return this.dependencies.dispatcher.requestPermit(shard.id, request);
    }
    const address = this.addressOf(hostId);
    if (address === undefined) {
      return undefined;
    }
    try {
      return await this.dependencies.peers.call(
        address,
        'permit.request',
        {shardId: shard.id, ask: request},
        request.maximumWait + RESPONSE_MARGIN_MILLISECONDS,
      );
    } catch {
      this.queueRelease(hostId, shard.id, request.permitId);
      return undefined;
    }
  }

  private trackGrant(
    shard: Shard,
    dispatcher: string,
    request: PermitRequest,
    effect: DispatchEffect,
  ): void {
    switch (effect.kind) {
      case 'grant': {
        const {permitId, isAlone, workspace} = request;
        const upstreamId = effect.upstream.id;
        const permit = {permitId, upstreamId, isAlone, workspace};
        this.held.set(permitId, {shardId: shard.id, dispatcher, permit});
        return;
      }
      case 'refuse':
        return;
    }
  }

  private queueRelease(
    dispatcher: string,
    shardId: string,
    permitId: string,
  ): void {
    const key = `${dispatcher} ${shardId}`;
    const permitIds = this.pendingReleases.get(key);
    if (permitIds !== undefined) {
      permitIds.push(permitId);
      return;
    }
    if (this.pendingReleases.size === 0) {
      setImmediate(() => this.flushReleases());
    }
    this.pendingReleases.set(key, [permitId]);
  }

  private flushReleases(): void {
    const releases = this.pendingReleases;
    this.pendingReleases = new Map();
    for (const [key, permitIds] of releases) {
      const [dispatcher = '', shardId = ''] = key.split(' ');
      if (dispatcher === this.dependencies.hostId) {
        this.dependencies.dispatcher.release(shardId, permitIds);
        continue;
      }
      const address = this.addressOf(dispatcher);
      if (address !== undefined) {
        const params = {shardId, permitIds};
        this.dependencies.peers.notify(address, 'permit.release', params);
      }
    }
  }

  private renewPermits(): void {
    const byShard = new Map<string, TrackedPermit[]>();
    for (const held of this.held.values()) {
      const group = byShard.get(held.shardId) ?? [];
      group.push(held);
      byShard.set(held.shardId, group);
    }
    for (const [shardId, permits] of byShard) {
      this.renewShard(shardId, permits);
    }
  }

  private renewShard(shardId: string, held: readonly TrackedPermit[]): void {
    const hosts = this.dependencies.servingHosts().map(({hostId}) => hostId);
    const {hostId: front, dispatcher, peers} = this.dependencies;
    const current = dispatcherOrder({id: shardId}, hosts, 1)[0] ?? front;
    for (const {permit} of held) {
      this.held.set(permit.permitId, {shardId, dispatcher: current, permit});
    }
    const permits = held.map(({permit}) => permit);
    if (current === front) {
      dispatcher.renew(shardId, front, permits);
      return;
    }
    const address = this.addressOf(current);
    if (address !== undefined) {
      peers.notify(address, 'permit.renew', {shardId, front, permits});
    }
  }

  private addressOf(hostId: string): string | undefined {
    return this.dependencies
      .servingHosts()
      .find(member => member.hostId === hostId)?.addresses.peers;
  }
}
