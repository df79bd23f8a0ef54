/**
 * The task that runs the dispatchers of the shards for which this host receives
 * permit requests.
 */
import type {Configuration} from '@lacewingwinch/decisions';
import {
  type DispatchEffect,
  Dispatcher,
  type DispatchMessage,
  findService,
  type HeldPermit,
  type PermitRequest,
  type Shard,
} from '@lacewingwinch/decisions';
import type {ShardLoad} from '@lacewingwinch/entry-hosts';
import type {ShardStatus} from '@lacewingwinch/operators';
import {
  readEngineReport,
  type UpstreamConnections,
} from '@lacewingwinch/upstreams';

import {pause} from '../util/pause.js';

/** Milliseconds between two checks for permit requests that waited too long. */
const TICK_PERIOD_MILLISECONDS = 50;

/** Milliseconds between two reads of the report of an engine. */
const ENGINE_REPORT_PERIOD_MILLISECONDS = 2000;

/** Dependencies of `DispatcherTask`. */
export interface DispatcherTaskDependencies {
  readonly clock: () => number;
  readonly configuration: () => Configuration;
  readonly connections: UpstreamConnections;
  /** Returns the shard with the id `shardId`, as far as this host knows it. */
  readonly findShard: (shardId: string) => Shard | undefined;
}

interface DispatchedShard {
  readonly dispatcher: Dispatcher;
  readonly pendingRequests: Map<string, (effect: DispatchEffect) => void>;
  /** Position of the next event to read from each engine, by upstream id. */
  readonly enginePositions: Map<string, number>;
  shard: Shard | undefined;
}

/** Owns a dispatcher for each shard for which permits are requested here. */
export class DispatcherTask {
  private readonly shards = new Map<string, DispatchedShard>();

  constructor(private readonly dependencies: DispatcherTaskDependencies) {}

  /** Requests a permit; resolves with a grant or a refusal. */
  requestPermit(
    shardId: string,
    request: PermitRequest,
  ): Promise<DispatchEffect> {
    const dispatched = this.shardFor(shardId);
    return new Promise(resolve => {
      dispatched.pendingRequests.set(request.permitId, resolve);
      this.handleMessage(dispatched, {kind: 'request', request});
    });
  }

  /** Releases permits and withdraws the requests among them that still wait. */
  release(shardId: string, permitIds: readonly string[]): void {
    const dispatched = this.shardFor(shardId);
    for (const permitId of permitIds) {
      dispatched.pendingRequests.delete(permitId);
      this.handleMessage(dispatched, {kind: 'release', permitId});
    }
  }

  /** Renews the permits that `front` reports as held. */
  renew(shardId: string, front: string, permits: readonly HeldPermit[]): void {
    const dispatched = this.shardFor(shardId);
    this.handleMessage(dispatched, {kind: 'renew', front, permits});
  }

  /** Marks upstreams as leaving at every dispatcher. */
  onLeaving(upstreamIds: readonly string[]): void {
    for (const dispatched of this.shards.values()) {
      for (const upstreamId of upstreamIds) {
        this.handleMessage(dispatched, {kind: 'leaving', upstreamId});
      }
    }
  }

  /** Returns the load of each shard dispatched here. */
  loads(): readonly ShardLoad[] {
    return [...this.shards].map(([shardId, {dispatcher}]) => ({
      shardId,
      load: dispatcher.load,
    }));
  }

  /** Returns the status of each shard, for operators. */
  status(): readonly ShardStatus[] {
    return [...this.shards].map(([shardId, {dispatcher}]) => ({
      shardId,
      queueLength: dispatcher.queueLength,
      upstreams: dispatcher.loads(),
    }));
  }

  /** Runs until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    let nextEngineReadTime = 0;
    while (!signal.aborted) {
      await pause(TICK_PERIOD_MILLISECONDS, signal);
      for (const [shardId, dispatched] of this.shards) {
        this.refreshUpstreams(shardId, dispatched);
        this.handleMessage(dispatched, {kind: 'tick'});
      }
      if (this.dependencies.clock() >= nextEngineReadTime) {
        nextEngineReadTime =
          this.dependencies.clock() + ENGINE_REPORT_PERIOD_MILLISECONDS;
        this.shards.forEach(dispatched => this.readEngines(dispatched));
      }
    }
  }

  private shardFor(shardId: string): DispatchedShard {
    const existing = this.shards.get(shardId);
    if (existing !== undefined) {
      this.refreshUpstreams(shardId, existing);
      return existing;
    }
    const created: DispatchedShard = {
      dispatcher: new Dispatcher(),
      pendingRequests: new Map(),
      enginePositions: new Map(),
      shard: undefined,
    };
    this.shards.set(shardId, created);
    this.refreshUpstreams(shardId, created);
    return created;
  }

  private refreshUpstreams(shardId: string, dispatched: DispatchedShard): void {
    const shard = this.dependencies.findShard(shardId);
    if (shard === dispatched.shard || shard === undefined) {
      return;
    }
    dispatched.shard = shard;
    const service = findService(
      this.dependencies.configuration(),
      shard.service,
    );
    this.handleMessage(dispatched, {
      kind: 'upstreams',
      upstreams: shard.upstreams,
      concurrency: service?.upstreamConcurrency ?? 1,
    });
  }

  private readEngines(dispatched: DispatchedShard): void {
    const {shard} = dispatched;
    if (shard === undefined) {
      return;
    }
    const service = findService(
      this.dependencies.configuration(),
      shard.service,
    );
    if (service?.upstreamKind === 'model') {
      for (const {id, address} of shard.upstreams) {
        void this.readEngine(dispatched, id, address);
      }
    }
  }

  private async readEngine(
    dispatched: DispatchedShard,
    upstreamId: string,
    address: string,
  ): Promise<void> {
    const {enginePositions} = dispatched;
    try {
      const {next, evicted} = await readEngineReport(
        this.dependencies.connections,
        address,
        enginePositions.get(upstreamId) ?? 0,
      );
      enginePositions.set(upstreamId, next);
      for (const prefix of evicted) {
        this.handleMessage(dispatched, {
          kind: 'prefix-evicted',
          upstreamId,
          prefix,
        });
      }
    } catch {
      // Reports only improve placement, and the next read starts at the same
      // position.
    }
  }

  private handleMessage(
    dispatched: DispatchedShard,
    message: DispatchMessage,
  ): void {
    const effects = dispatched.dispatcher.handle(
      message,
      this.dependencies.clock(),
    );
    for (const effect of effects) {
      const resolve = dispatched.pendingRequests.get(effect.permitId);
      dispatched.pendingRequests.delete(effect.permitId);
      resolve?.(effect);
    }
  }
}
