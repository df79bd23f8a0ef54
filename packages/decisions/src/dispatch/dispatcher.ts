/**
 * The dispatcher of one shard. It owns the queue of permit requests, the permits
 * in use and the prefix map, and it chooses the upstreams.
 */
import type {ErrorKind} from '../errors/error_kinds.js';
import {type Candidate, chooseUpstream, isAllowed} from './choose_upstream.js';
import type {
  DispatchEffect,
  DispatchMessage,
  PermitRequest,
  Upstream,
} from './dispatch_messages.js';
import {
  compareWaitingRequests,
  latestStart,
  type WaitingRequest,
} from './permit_queue.js';
import {PermitTable} from './permit_table.js';
import {PrefixMap} from './prefix_map.js';

/**
 * Share of the slots that the workspace with the most calls in progress must
 * leave to the others once it holds at least an equal part of them.
 */
const RESERVED_SHARE = 0.05;

/** Maximum value of `Retry-After` for a refused request. */
const MAXIMUM_RETRY_AFTER_SECONDS = 30;

/** The load of one upstream, as shown to operators. */
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
  /** IDs of upstreams that were reported as leaving. */
  private readonly leavingIds = new Set<string>();
  private readonly permits = new PermitTable();
  /**
   * Upstreams that get no further calls until a call that must run alone can
   * start there, with the ID of its permit.
   */
  private readonly reservations = new Map<string, string>();
  private readonly prefixes = new PrefixMap();
  private queue: readonly WaitingRequest[] = [];

  /** Processes a message and returns the decisions that it leads to. */
  handle(message: DispatchMessage, now: number): readonly DispatchEffect[] {
    switch (message.kind) {
      case 'upstreams':
        this.replaceUpstreams(message.upstreams, message.concurrency);
        return this.drainQueue(now);
      case 'leaving':
        this.leavingIds.add(message.upstreamId);
        return this.drainQueue(now);
      case 'request':
        return this.handleRequest(message.request, now);
      case 'release':
        this.release(message.permitId, now);
        return this.drainQueue(now);
      case 'renew':
        this.permits.renew(message.front, message.permits, now);
        return [];
      case 'prefix-evicted':
        this.prefixes.removePrefix(message.upstreamId, message.prefix);
        return [];
      case 'tick':
        this.permits.expire(now);
        return this.drainQueue(now);
    }
  }

  /** Calls in progress divided by the number of slots; 1 without any slot. */
  get load(): number {
    const slots = this.servingUpstreams().length * this.concurrency;
    return slots === 0 ? 1 : this.permits.size / slots;
  }

  /** Number of requests that wait for a slot. */
  get queueLength(): number {
    return this.queue.length;
  }

  /** Returns the load of each upstream. */
  loads(): readonly UpstreamLoad[] {
    return [...this.upstreams.values()].map(upstream => ({
      upstreamId: upstream.id,
      inFlight: this.permits.inFlightAt(upstream.id),
      concurrency: this.concurrency,
      isLeaving: this.isLeaving(upstream),
    }));
  }

  private handleRequest(
    request: PermitRequest,
    now: number,
  ): readonly DispatchEffect[] {
    if (
      this.permits.has(request.permitId) ||
      this.isWaiting(request.permitId)
    ) {
      return [];
    }
    if (now >= request.deadline) {
      return [this.refuse(request, 'deadline-passed')];
    }
    const allowed = this.servingUpstreams().filter(upstream =>
      isAllowed(request, upstream),
    );
    if (allowed.length === 0) {
      return [this.refuse(request, 'no-upstream')];
    }
    const entry: WaitingRequest = {request, since: now};
    if (this.queue.length === 0) {
      const grant = this.tryGrant(entry, now);
      if (grant !== undefined) {
        return [grant];
      }
    }
    if (
      this.expectedWaitMilliseconds(request, allowed.length) >
      request.maximumWait
    ) {
      return [this.refuse(request, 'overloaded')];
    }
    this.queue = [...this.queue, entry];
    return this.drainQueue(now);
  }

  private drainQueue(now: number): readonly DispatchEffect[] {
    if (this.queue.length === 0) {
      return [];
    }
    const effects: DispatchEffect[] = [];
    const stillWaiting: WaitingRequest[] = [];
    let undecided = [...this.queue];
    while (undecided.length > 0) {
      const next = this.nextInOrder(undecided, now);
      undecided = undecided.filter(entry => entry !== next);
      const effect = this.decideEntry(next, now);
      if (effect === undefined) {
        stillWaiting.push(next);
        continue;
      }
      effects.push(effect);
    }
    this.queue = stillWaiting;
    return effects;
  }

  private nextInOrder(
    entries: readonly WaitingRequest[],
    now: number,
  ): WaitingRequest {
    const inFlightOf = (workspace: string): number =>
      this.permits.inFlightOf(workspace);
    return entries.reduce((first, other) =>
      compareWaitingRequests(other, first, inFlightOf, now) < 0 ? other : first,
    );
  }

  private decideEntry(
    entry: WaitingRequest,
    now: number,
  ): DispatchEffect | undefined {
    if (now >= entry.request.deadline) {
      return this.refuse(entry.request, 'deadline-passed');
    }
    const grant = this.tryGrant(entry, now);
    if (grant !== undefined) {
      return grant;
    }
    const isAnyAllowed = this.servingUpstreams().some(upstream =>
      isAllowed(entry.request, upstream),
    );
    if (!isAnyAllowed) {
      return this.refuse(entry.request, 'no-upstream');
    }
    return now >= latestStart(entry)
      ? this.refuse(entry.request, 'overloaded')
      : undefined;
  }

  private tryGrant(
    entry: WaitingRequest,
    now: number,
  ): DispatchEffect | undefined {
    const {request, since} = entry;
    if (this.mustLeaveReservedSlots(request)) {
      return undefined;
    }
    const chosen = chooseUpstream(request, this.candidates(request));
    if (chosen === undefined) {
      this.reserveUpstream(request);
      return undefined;
    }
    const {upstream} = chosen;
    this.cancelReservation(request.permitId);
    this.permits.add({
      permitId: request.permitId,
      upstreamId: upstream.id,
      isAlone: request.isAlone,
      workspace: request.workspace,
      front: request.front,
      granted: now,
      renewed: now,
    });
    this.prefixes.add(upstream.id, request.prefixes);
    return {
      kind: 'grant',
      permitId: request.permitId,
      upstream,
      waited: now - since,
    };
  }

  private candidates(request: PermitRequest): readonly Candidate[] {
    const candidates: Candidate[] = [];
    for (const upstream of this.upstreams.values()) {
      if (this.isLeaving(upstream) || !isAllowed(request, upstream)) {
        continue;
      }
      const inFlight = this.permits.inFlightAt(upstream.id);
      const limit = request.isAlone ? 1 : this.concurrency;
      const isBlocked =
        this.permits.isHeldAlone(upstream.id) ||
        (this.reservations.get(upstream.id) ?? request.permitId) !==
          request.permitId;
      if (inFlight >= limit || isBlocked) {
        continue;
      }
      candidates.push({
        upstream,
        inFlight,
        concurrency: this.concurrency,
        prefixHits: this.prefixes.countHits(upstream.id, request.prefixes),
      });
    }
    return candidates;
  }

  /** Returns whether the free slots are reserved for other workspaces. */
  private mustLeaveReservedSlots(request: PermitRequest): boolean {
    const ownCount = this.permits.inFlightOf(request.workspace);
    const others = this.permits.inFlightOfOthers(request.workspace);
    const hasMostCalls = others.every(count => count <= ownCount);
    if (others.length === 0 || !hasMostCalls) {
      return false;
    }
    const slots = this.servingUpstreams().length * this.concurrency;
    const freeSlots = slots - this.permits.size;
    return (
      ownCount >= slots / (others.length + 1) &&
      freeSlots <= Math.floor(slots * RESERVED_SHARE)
    );
  }

  private reserveUpstream(request: PermitRequest): void {
    const hasReservation = [...this.reservations.values()].includes(
      request.permitId,
    );
    if (!request.isAlone || hasReservation) {
      return;
    }
    const reservable = this.servingUpstreams()
      .filter(
        ({id}) => !this.reservations.has(id) && !this.permits.isHeldAlone(id),
      )
      .filter(upstream => isAllowed(request, upstream))
      .sort(
        (left, right) =>
          this.permits.inFlightAt(left.id) - this.permits.inFlightAt(right.id),
      );
    // At least one upstream stays available to all other calls.
    if (reservable[0] !== undefined && reservable.length > 1) {
      this.reservations.set(reservable[0].id, request.permitId);
    }
  }

  private cancelReservation(permitId: string): void {
    for (const [upstreamId, reservedFor] of this.reservations) {
      if (reservedFor === permitId) {
        this.reservations.delete(upstreamId);
      }
    }
  }

  private expectedWaitMilliseconds(
    request: PermitRequest,
    allowedUpstreamCount: number,
  ): number {
    const slots = allowedUpstreamCount * this.concurrency;
    const entriesAhead = this.queue.filter(
      entry => entry.request.priority >= request.priority,
    ).length;
    return (entriesAhead * this.permits.averageHoldingMilliseconds) / slots;
  }

  private refuse(request: PermitRequest, error: ErrorKind): DispatchEffect {
    this.cancelReservation(request.permitId);
    const slots = Math.max(
      1,
      this.servingUpstreams().length * this.concurrency,
    );
    const drainMilliseconds =
      (this.permits.averageHoldingMilliseconds * (this.queue.length + 1)) /
      slots;
    const seconds = Math.ceil(drainMilliseconds / 1000);
    return {
      kind: 'refuse',
      permitId: request.permitId,
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
        this.prefixes.removeUpstream(id);
      }
    }
    this.upstreams = next;
    this.concurrency = concurrency;
  }

  private release(permitId: string, now: number): void {
    const permit = this.permits.get(permitId);
    if (permit === undefined) {
      this.cancelReservation(permitId);
      this.queue = this.queue.filter(
        ({request}) => request.permitId !== permitId,
      );
      return;
    }
    this.permits.release(permit, now);
  }

  private servingUpstreams(): readonly Upstream[] {
    return [...this.upstreams.values()].filter(
      upstream => !this.isLeaving(upstream),
    );
  }

  private isLeaving(upstream: Upstream): boolean {
    return upstream.isLeaving || this.leavingIds.has(upstream.id);
  }

  private isWaiting(permitId: string): boolean {
    return this.queue.some(({request}) => request.permitId === permitId);
  }
}
