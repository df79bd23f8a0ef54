/**
 * The task that dispatches the shards that this host is asked about.
 */
import type {Configuration} from '@lacewingwinch/decisions';
import {
  type DispatchEffect,
  Dispatcher,
  type DispatchMessage,
  findService,
  type HeldPermit,
  type PermitAsk,
  type Shard,
} from '@lacewingwinch/decisions';
import type {ShardLoad} from '@lacewingwinch/entry-hosts';
import type {ShardStatus} from '@lacewingwinch/operators';
import {
  readEngineReport,
  type UpstreamConnections,
} from '@lacewingwinch/upstreams';

import {pause} from '../util/pause.js';

/** Milliseconds between two looks at asks that waited too long. */
const TICK_MILLISECONDS = 50;

/** Milliseconds between two readings of the events of an engine. */
const ENGINE_EVENTS_MILLISECONDS = 2000;

/** What the task needs from others. */
export interface DispatcherTaskContext {
  readonly clock: () => number;
  readonly configuration: () => Configuration;
  readonly connections: UpstreamConnections;
  /** The shard called `shardId`, as this host sees it. */
  readonly findShard: (shardId: string) => Shard | undefined;
}

interface DispatchedShard {
  readonly dispatcher: Dispatcher;
  readonly asks: Map<string, (effect: DispatchEffect) => void>;
  /** Where to read on in the events of each engine. */
  readonly enginePositions: Map<string, number>;
  shard: Shard | undefined;
}

/** Owns a dispatcher for each shard that this host is asked about. */
export class DispatcherTask {
  private readonly shards = new Map<string, DispatchedShard>();

  constructor(private readonly context: DispatcherTaskContext) {}

  /** Resolves with a grant or a refusal. */
  ask(shardId: string, ask: PermitAsk): Promise<DispatchEffect> {
    const dispatched = this.shardFor(shardId);
    return new Promise(resolve => {
      dispatched.asks.set(ask.permitId, resolve);
      this.tell(dispatched, {kind: 'ask', ask});
    });
  }

  /** Takes permits back, or asks that are no longer wanted. */
  release(shardId: string, permitIds: readonly string[]): void {
    const dispatched = this.shardFor(shardId);
    for (const permitId of permitIds) {
      dispatched.asks.delete(permitId);
      this.tell(dispatched, {kind: 'release', permitId});
    }
  }

  /** Is told which permits `front` holds. */
  renew(shardId: string, front: string, permits: readonly HeldPermit[]): void {
    const dispatched = this.shardFor(shardId);
    this.tell(dispatched, {kind: 'renew', front, permits});
  }

  /** Is told of upstreams that leave. */
  onLeaving(upstreamIds: readonly string[]): void {
    for (const dispatched of this.shards.values()) {
      for (const upstreamId of upstreamIds) {
        this.tell(dispatched, {kind: 'leaving', upstreamId});
      }
    }
  }

  /** Load of each shard that was asked for here. */
  loads(): readonly ShardLoad[] {
    return [...this.shards].map(([shardId, {dispatcher}]) => ({
      shardId,
      load: dispatcher.load,
    }));
  }

  /** What operators are shown. */
  status(): readonly ShardStatus[] {
    return [...this.shards].map(([shardId, {dispatcher}]) => ({
      shardId,
      queueLength: dispatcher.queueLength,
      upstreams: dispatcher.loads(),
    }));
  }

  /** Runs until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    let nextEngineReading = 0;
    while (!signal.aborted) {
      await pause(TICK_MILLISECONDS, signal);
      for (const [shardId, dispatched] of this.shards) {
        this.refreshUpstreams(shardId, dispatched);
        this.tell(dispatched, {kind: 'tick'});
      }
      if (this.context.clock() >= nextEngineReading) {
        nextEngineReading = this.context.clock() + ENGINE_EVENTS_MILLISECONDS;
        this.shards.forEach(dispatched => this.readEngines(dispatched));
      }
    }
  }

  private shardFor(shardId: string): DispatchedShard {
    const known = this.shards.get(shardId);
    if (known !== undefined) {
      this.refreshUpstreams(shardId, known);
      return known;
    }
    const fresh: DispatchedShard = {
      dispatcher: new Dispatcher(),
      asks: new Map(),
      enginePositions: new Map(),
      shard: undefined,
    };
    this.shards.set(shardId, fresh);
    this.refreshUpstreams(shardId, fresh);
    return fresh;
  }

  private refreshUpstreams(shardId: string, dispatched: DispatchedShard): void {
    const shard = this.context.findShard(shardId);
    if (shard === dispatched.shard || shard === undefined) {
      return;
    }
    dispatched.shard = shard;
    const service = findService(this.context.configuration(), shard.service);
    this.tell(dispatched, {
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
    const service = findService(this.context.configuration(), shard.service);
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
        this.context.connections,
        address,
        enginePositions.get(upstreamId) ?? 0,
      );
      enginePositions.set(upstreamId, next);
      for (const prefix of evicted) {
        this.tell(dispatched, {kind: 'prefix-evicted', upstreamId, prefix});
      }
    } catch {
      // Reports are hints; the next one will do.
    }
  }

  private tell(dispatched: DispatchedShard, message: DispatchMessage): void {
    const effects = dispatched.dispatcher.handle(message, this.context.clock());
    for (const effect of effects) {
      const resolve = dispatched.asks.get(effect.permitId);
      dispatched.asks.delete(effect.permitId);
      resolve?.(effect);
    }
  }
}
