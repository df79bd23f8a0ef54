/**
 * The task that gets permits from dispatchers and gives them back.
 */
import type {Member} from '@lacewingwinch/decisions';
import {
  type DispatchEffect,
  dispatcherOrder,
  type HeldPermit,
  type PermitAsk,
  type Shard,
} from '@lacewingwinch/decisions';
import type {PeerCaller} from '@lacewingwinch/entry-hosts';

import {pause} from '../util/pause.js';
import type {DispatcherTask} from './dispatcher_task.js';

/** Dispatchers of other hosts that are tried before this host chooses. */
const DISPATCHERS_TO_TRY = 2;

/** Milliseconds for which an answer may be late. */
const ANSWER_MARGIN_MILLISECONDS = 300;

/** Milliseconds between two renewals of the permits held. */
const RENEW_PERIOD_MILLISECONDS = 1000;

/** What the task needs from others. */
export interface PermitClientContext {
  readonly hostId: string;
  readonly peers: PeerCaller;
  readonly dispatcher: DispatcherTask;
  readonly servingHosts: () => readonly Member[];
}

/** The answer to an ask, and who gave it. */
export interface PermitAnswer {
  readonly dispatcher: string;
  readonly effect: DispatchEffect;
}

interface Held {
  readonly shardId: string;
  readonly dispatcher: string;
  readonly permit: HeldPermit;
}

/** Owns the permits that this host's requests hold. */
export class PermitClient {
  private readonly held = new Map<string, Held>();
  private releases: Map<string, string[]> = new Map<string, string[]>();

  constructor(private readonly context: PermitClientContext) {}

  /** Asks the dispatcher of `shard`, else the next in order, else this host. */
  async ask(shard: Shard, ask: PermitAsk): Promise<PermitAnswer> {
    for (const hostId of this.dispatchers(shard)) {
      const answer = await this.tryDispatcher(hostId, shard, ask);
      if (answer !== undefined) {
        this.note(shard, hostId, ask, answer);
        return {dispatcher: hostId, effect: answer};
      }
    }
    const {hostId, dispatcher} = this.context;
    const effect = await dispatcher.ask(shard.id, ask);
    this.note(shard, hostId, ask, effect);
    return {dispatcher: hostId, effect};
  }

  /** Gives a permit back. */
  release(permitId: string): void {
    const held = this.held.get(permitId);
    if (held === undefined) {
      return;
    }
    this.held.delete(permitId);
    this.sendRelease(held.dispatcher, held.shardId, permitId);
  }

  /** Runs until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await pause(RENEW_PERIOD_MILLISECONDS, signal);
      this.renew();
    }
  }

  private dispatchers(shard: Shard): readonly string[] {
    const hosts = this.context.servingHosts().map(({hostId}) => hostId);
    return dispatcherOrder(shard, hosts, DISPATCHERS_TO_TRY);
  }

  private async tryDispatcher(
    hostId: string,
    shard: Shard,
    ask: PermitAsk,
  ): Promise<DispatchEffect | undefined> {
    if (hostId === this.context.hostId) {
      return this.context.dispatcher.ask(shard.id, ask);
    }
    const address = this.addressOf(hostId);
    if (address === undefined) {
      return undefined;
    }
    try {
      return await this.context.peers.call(
        address,
        'permit.ask',
        {shardId: shard.id, ask},
        ask.maximumWait + ANSWER_MARGIN_MILLISECONDS,
      );
    } catch {
      this.sendRelease(hostId, shard.id, ask.permitId);
      return undefined;
    }
  }

  private note(
    shard: Shard,
    dispatcher: string,
    ask: PermitAsk,
    effect: DispatchEffect,
  ): void {
    switch (effect.kind) {
      case 'grant': {
        const {permitId, isAlone, workspace} = ask;
        const upstreamId = effect.upstream.id;
        const permit = {permitId, upstreamId, isAlone, workspace};
        this.held.set(permitId, {shardId: shard.id, dispatcher, permit});
        return;
      }
      case 'refuse':
        return;
    }
  }

  private sendRelease(
    dispatcher: string,
    shardId: string,
    permitId: string,
  ): void {
    const key = `${dispatcher} ${shardId}`;
    const waiting = this.releases.get(key);
    if (waiting !== undefined) {
      waiting.push(permitId);
      return;
    }
    if (this.releases.size === 0) {
      setImmediate(() => this.flushReleases());
    }
    this.releases.set(key, [permitId]);
  }

  private flushReleases(): void {
    const releases = this.releases;
    this.releases = new Map();
    for (const [key, permitIds] of releases) {
      const [dispatcher = '', shardId = ''] = key.split(' ');
      if (dispatcher === this.context.hostId) {
        this.context.dispatcher.release(shardId, permitIds);
        continue;
      }
      const address = this.addressOf(dispatcher);
      if (address !== undefined) {
        const params = {shardId, permitIds};
        this.context.peers.notify(address, 'permit.release', params);
      }
    }
  }

  private renew(): void {
    const byShard = new Map<string, Held[]>();
    for (const held of this.held.values()) {
      const others = byShard.get(held.shardId) ?? [];
      others.push(held);
      byShard.set(held.shardId, others);
    }
    for (const [shardId, held] of byShard) {
      this.renewShard(shardId, held);
    }
  }

  private renewShard(shardId: string, held: readonly Held[]): void {
    const hosts = this.context.servingHosts().map(({hostId}) => hostId);
    const {hostId: front, dispatcher, peers} = this.context;
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
    return this.context.servingHosts().find(member => member.hostId === hostId)
      ?.addresses.peers;
  }
}
