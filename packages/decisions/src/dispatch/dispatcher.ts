/**
 * The dispatcher of one shard: it owns the queue, the exact counts of calls
 * in progress, the prefix map and the choice of the upstream.
 */
import type {ErrorKind} from '../errors/error_kinds.js';
import {type Candidate, chooseUpstream, isAllowed} from './choose_upstream.js';
import type {
  DispatchEffect,
  DispatchMessage,
  HeldPermit,
  PermitAsk,
  Upstream,
} from './dispatch_messages.js';
import {compareAsks, latestStart, type WaitingAsk} from './permit_queue.js';
import {PrefixMap} from './prefix_map.js';

/** Milliseconds after which a permit that no front renews is void. */
export const PERMIT_LEASE_MILLISECONDS = 5000;

/**
 * Share of the places that the workspace with the most calls in progress
 * leaves to the others, once it holds more than an equal part.
 */
const RESERVED_SHARE = 0.05;

/** Weight of the newest sample in the average holding time of a permit. */
const HOLDING_TIME_WEIGHT = 0.1;

/** Seconds after which a refused caller is told to come back, at most. */
const MAXIMUM_RETRY_AFTER_SECONDS = 30;

interface Permit extends HeldPermit {
  readonly front: string;
  readonly granted: number;
  readonly renewed: number;
}

/** What operators are shown of one upstream. */
export interface UpstreamLoad {
  readonly upstreamId: string;
  readonly inFlight: number;
  readonly concurrency: number;
  readonly isLeaving: boolean;
}

/** The dispatcher of one shard. */
export class Dispatcher {
  private upstreams: ReadonlyMap<string, Upstream> = new Map();
  private concurrency = 1;
  private readonly leaving = new Set<string>();
  private readonly permits = new Map<string, Permit>();
  private readonly inFlight = new Map<string, number>();
  private readonly alone = new Map<string, number>();
  private readonly workspaces = new Map<string, number>();
  /** Upstreams that are emptied for an ask that must run alone. */
  private readonly reserved = new Map<string, string>();
  private readonly prefixes = new PrefixMap();
  private waiting: readonly WaitingAsk[] = [];
  private averageHolding = 0;

  /** Takes a message and returns the decisions that follow from it. */
  handle(message: DispatchMessage, now: number): readonly DispatchEffect[] {
    switch (message.kind) {
      case 'upstreams':
        this.replaceUpstreams(message.upstreams, message.concurrency);
        return this.drainQueue(now);
      case 'leaving':
        this.leaving.add(message.upstreamId);
        return this.drainQueue(now);
      case 'ask':
        return this.ask(message.ask, now);
      case 'release':
        this.release(message.permitId, now);
        return this.drainQueue(now);
      case 'renew':
        this.renew(message.front, message.permits, now);
        return [];
      case 'prefix-evicted':
        this.prefixes.evict(message.upstreamId, message.prefix);
        return [];
      case 'tick':
        this.expirePermits(now);
        return this.drainQueue(now);
    }
  }

  /** Calls in progress over places for calls; 1 when there is no place. */
  get load(): number {
    const places = this.serving().length * this.concurrency;
    return places === 0 ? 1 : this.permits.size / places;
  }

  /** Number of asks that wait. */
  get queueLength(): number {
    return this.waiting.length;
  }

  /** The load of each upstream, by id. */
  loads(): readonly UpstreamLoad[] {
    return [...this.upstreams.values()].map(upstream => ({
      upstreamId: upstream.id,
      inFlight: this.countOf(upstream.id),
      concurrency: this.concurrency,
      isLeaving: this.isLeaving(upstream),
    }));
  }

  private ask(ask: PermitAsk, now: number): readonly DispatchEffect[] {
    if (this.permits.has(ask.permitId) || this.isWaiting(ask.permitId)) {
      return [];
    }
    if (now >= ask.deadline) {
      return [this.refuse(ask, 'deadline-passed')];
    }
    const allowed = this.serving().filter(upstream => isAllowed(ask, upstream));
    if (allowed.length === 0) {
      return [this.refuse(ask, 'no-upstream')];
    }
    const waiting: WaitingAsk = {ask, since: now};
    if (this.waiting.length === 0) {
      const grant = this.tryGrant(waiting, now);
      if (grant !== undefined) {
        return [grant];
      }
    }
    if (this.expectedWait(ask, allowed.length) > ask.maximumWait) {
      return [this.refuse(ask, 'overloaded')];
    }
    this.waiting = [...this.waiting, waiting];
    return this.drainQueue(now);
  }

  private drainQueue(now: number): readonly DispatchEffect[] {
    if (this.waiting.length === 0) {
      return [];
    }
    const effects: DispatchEffect[] = [];
    const remaining: WaitingAsk[] = [];
    let queue = [...this.waiting];
    while (queue.length > 0) {
      const next = this.firstOf(queue, now);
      queue = queue.filter(waiting => waiting !== next);
      const effect = this.decideWaiting(next, now);
      if (effect === undefined) {
        remaining.push(next);
        continue;
      }
      effects.push(effect);
    }
    this.waiting = remaining;
    return effects;
  }

  private firstOf(queue: readonly WaitingAsk[], now: number): WaitingAsk {
    const inFlightOf = (workspace: string): number =>
      this.workspaces.get(workspace) ?? 0;
    return queue.reduce((first, other) =>
      compareAsks(other, first, inFlightOf, now) < 0 ? other : first,
    );
  }

  private decideWaiting(
    waiting: WaitingAsk,
    now: number,
  ): DispatchEffect | undefined {
    if (now >= waiting.ask.deadline) {
      return this.refuse(waiting.ask, 'deadline-passed');
    }
    const grant = this.tryGrant(waiting, now);
    if (grant !== undefined) {
      return grant;
    }
    const isAnyAllowed = this.serving().some(upstream =>
      isAllowed(waiting.ask, upstream),
    );
    if (!isAnyAllowed) {
      return this.refuse(waiting.ask, 'no-upstream');
    }
    return now >= latestStart(waiting)
      ? this.refuse(waiting.ask, 'overloaded')
      : undefined;
  }

  private tryGrant(
    waiting: WaitingAsk,
    now: number,
  ): DispatchEffect | undefined {
    const {ask, since} = waiting;
    if (this.mustLeaveReserve(ask)) {
      return undefined;
    }
    const chosen = chooseUpstream(ask, this.candidates(ask));
    if (chosen === undefined) {
      this.reserve(ask);
      return undefined;
    }
    const {upstream} = chosen;
    this.unreserve(ask.permitId);
    this.addPermit({
      permitId: ask.permitId,
      upstreamId: upstream.id,
      isAlone: ask.isAlone,
      workspace: ask.workspace,
      front: ask.front,
      granted: now,
      renewed: now,
    });
    this.prefixes.add(upstream.id, ask.prefixes);
    return {
      kind: 'grant',
      permitId: ask.permitId,
      upstream,
      waited: now - since,
    };
  }

  private candidates(ask: PermitAsk): readonly Candidate[] {
    const candidates: Candidate[] = [];
    for (const upstream of this.upstreams.values()) {
      if (this.isLeaving(upstream) || !isAllowed(ask, upstream)) {
        continue;
      }
      const inFlight = this.countOf(upstream.id);
      const limit = ask.isAlone ? 1 : this.concurrency;
      const isTaken =
        (this.alone.get(upstream.id) ?? 0) > 0 ||
        (this.reserved.get(upstream.id) ?? ask.permitId) !== ask.permitId;
      if (inFlight >= limit || isTaken) {
        continue;
      }
      candidates.push({
        upstream,
        inFlight,
        concurrency: this.concurrency,
        prefixHits: this.prefixes.hits(upstream.id, ask.prefixes),
      });
    }
    return candidates;
  }

  /** Whether the places that are left are for other workspaces. */
  private mustLeaveReserve(ask: PermitAsk): boolean {
    const held = this.workspaces.get(ask.workspace) ?? 0;
    const others = [...this.workspaces].filter(
      ([workspace]) => workspace !== ask.workspace,
    );
    const isLargest = others.every(([, count]) => count <= held);
    if (others.length === 0 || !isLargest) {
      return false;
    }
    const places = this.serving().length * this.concurrency;
    const left = places - this.permits.size;
    return (
      held >= places / (others.length + 1) &&
      left <= Math.floor(places * RESERVED_SHARE)
    );
  }

  private reserve(ask: PermitAsk): void {
    const hasReserved = [...this.reserved.values()].includes(ask.permitId);
    if (!ask.isAlone || hasReserved) {
      return;
    }
    const free = this.serving()
      .filter(({id}) => !this.reserved.has(id) && !this.alone.has(id))
      .filter(upstream => isAllowed(ask, upstream))
      .sort((left, right) => this.countOf(left.id) - this.countOf(right.id));
    // One upstream always stays open to everyone else.
    if (free[0] !== undefined && free.length > 1) {
      this.reserved.set(free[0].id, ask.permitId);
    }
  }

  private unreserve(permitId: string): void {
    for (const [upstreamId, reservedFor] of this.reserved) {
      if (reservedFor === permitId) {
        this.reserved.delete(upstreamId);
      }
    }
  }

  private expectedWait(ask: PermitAsk, allowedUpstreams: number): number {
    const places = allowedUpstreams * this.concurrency;
    const ahead = this.waiting.filter(
      waiting => waiting.ask.priority >= ask.priority,
    ).length;
    return (ahead * this.averageHolding) / places;
  }

  private refuse(ask: PermitAsk, error: ErrorKind): DispatchEffect {
    this.unreserve(ask.permitId);
    const places = Math.max(1, this.serving().length * this.concurrency);
    const drain = (this.averageHolding * (this.waiting.length + 1)) / places;
    const seconds = Math.ceil(drain / 1000);
    return {
      kind: 'refuse',
      permitId: ask.permitId,
      error,
      retryAfterSeconds: Math.min(
        MAXIMUM_RETRY_AFTER_SECONDS,
        Math.max(1, seconds),
      ),
    };
  }

  private replaceUpstreams(
    upstreams: readonly Upstream[],
    concurrency: number,
  ): void {
    const next = new Map(upstreams.map(upstream => [upstream.id, upstream]));
    for (const id of this.upstreams.keys()) {
      if (!next.has(id)) {
        this.prefixes.forget(id);
      }
    }
    this.upstreams = next;
    this.concurrency = concurrency;
  }

  private renew(front: string, held: readonly HeldPermit[], now: number): void {
    for (const permit of held) {
      const known = this.permits.get(permit.permitId);
      if (known === undefined) {
        this.addPermit({...permit, front, granted: now, renewed: now});
        continue;
      }
      this.permits.set(permit.permitId, {...known, renewed: now});
    }
  }

  private expirePermits(now: number): void {
    for (const permit of this.permits.values()) {
      if (now - permit.renewed >= PERMIT_LEASE_MILLISECONDS) {
        this.removePermit(permit);
      }
    }
  }

  private release(permitId: string, now: number): void {
    const permit = this.permits.get(permitId);
    if (permit === undefined) {
      this.unreserve(permitId);
      this.waiting = this.waiting.filter(({ask}) => ask.permitId !== permitId);
      return;
    }
    this.removePermit(permit);
    const held = now - permit.granted;
    this.averageHolding +=
      (this.averageHolding === 0 ? 1 : HOLDING_TIME_WEIGHT) *
      (held - this.averageHolding);
  }

  private addPermit(permit: Permit): void {
    this.permits.set(permit.permitId, permit);
    addTo(this.inFlight, permit.upstreamId, 1);
    addTo(this.workspaces, permit.workspace, 1);
    if (permit.isAlone) {
      addTo(this.alone, permit.upstreamId, 1);
    }
  }

  private removePermit(permit: Permit): void {
    this.permits.delete(permit.permitId);
    addTo(this.inFlight, permit.upstreamId, -1);
    addTo(this.workspaces, permit.workspace, -1);
    if (permit.isAlone) {
      addTo(this.alone, permit.upstreamId, -1);
    }
  }

  private serving(): readonly Upstream[] {
    return [...this.upstreams.values()].filter(
      upstream => !this.isLeaving(upstream),
    );
  }

  private isLeaving(upstream: Upstream): boolean {
    return upstream.isLeaving || this.leaving.has(upstream.id);
  }

  private isWaiting(permitId: string): boolean {
    return this.waiting.some(({ask}) => ask.permitId === permitId);
  }

  private countOf(upstreamId: string): number {
    return this.inFlight.get(upstreamId) ?? 0;
  }
}

function addTo(counts: Map<string, number>, key: string, amount: number): void {
  const next = (counts.get(key) ?? 0) + amount;
  if (next <= 0) {
    counts.delete(key);
    return;
  }
  counts.set(key, next);
}
