/**
 * The requests that this host serves, and those whose answers it keeps.
 */
import type {ServingError} from '@lacewingwinch/decisions';
import type {Explanation} from '@lacewingwinch/operators';
import {LRUCache} from 'lru-cache';

import type {FrontContext} from './front_context.js';
import type {ServedRequest} from './served_request.js';

/** Bytes of answers that are kept for fetching again. */
const MAXIMUM_KEPT_BYTES = 64 * 1024 * 1024;

/** Bytes that a kept request takes besides its answer, about. */
const REQUEST_OVERHEAD_BYTES = 2048;

/** Refusals that can be explained. */
const MAXIMUM_REFUSALS = 5000;

/** What the registry needs from others. */
export type RegistryContext = Pick<
  FrontContext,
  'hostId' | 'keptAnswerSeconds' | 'membership' | 'metrics' | 'peers'
>;

/** Owns the requests of this host. */
export class RequestRegistry {
  private readonly active = new Map<string, ServedRequest>();
  private readonly kept: LRUCache<string, ServedRequest>;
  private readonly idsByKey = new Map<string, string>();
  private readonly refusals = new LRUCache<string, Explanation>({
    max: MAXIMUM_REFUSALS,
  });
  private readonly runningByWorkspace = new Map<string, number>();
  private drops = new Map<string, string[]>();

  constructor(private readonly context: RegistryContext) {
    this.kept = new LRUCache({
      maxSize: MAXIMUM_KEPT_BYTES,
      sizeCalculation: sizeOf,
      ttl: context.keptAnswerSeconds * 1000,
      dispose: request => this.forgetKey(request),
    });
  }

  /** Requests that have not ended. */
  running(): readonly ServedRequest[] {
    return [...this.active.values()];
  }

  /** Number of requests that have not ended. */
  get runningCount(): number {
    return this.active.size;
  }

  /** Number of requests of a workspace that have not ended. */
  runningOf(workspace: string): number {
    return this.runningByWorkspace.get(workspace) ?? 0;
  }

  /** Requests that have ended and are still kept. */
  ended(): readonly ServedRequest[] {
    return [...this.kept.values()];
  }

  /** Forgets answers that were kept for their time. */
  forget(): void {
    this.kept.purgeStale();
  }

  /** Adds a request that begins. */
  add(request: ServedRequest): void {
    this.active.set(request.id, request);
    this.idsByKey.set(request.copy.key, request.id);
    this.countRunning(request, 1);
    this.context.metrics.requestsInProgress.set(this.active.size);
  }

  /** Keeps a request that has ended, and lets its backup drop the copy. */
  end(request: ServedRequest): void {
    if (!this.active.delete(request.id)) {
      return;
    }
    this.countRunning(request, -1);
    this.context.metrics.requestsInProgress.set(this.active.size);
    this.kept.set(request.id, request);
    this.dropBackup(request);
    const isRepeatable =
      request.state.kind === 'failed' && request.state.error.ran === 'no';
    if (isRepeatable) {
      this.forgetKey(request);
    }
  }

  /** The request called `requestId`. */
  find(requestId: string): ServedRequest | undefined {
    return this.active.get(requestId) ?? this.kept.get(requestId);
  }

  /** The request that has the claim key `key`. */
  findByKey(key: string): ServedRequest | undefined {
    const requestId = this.idsByKey.get(key);
    return requestId === undefined ? undefined : this.find(requestId);
  }

  /** What operators are told of a request. */
  explain(requestId: string): Explanation | undefined {
    return (
      this.find(requestId)?.explain(this.context.hostId) ??
      this.refusals.get(requestId)
    );
  }

  /** Remembers why a call was refused. */
  noteRefusal(
    call: Pick<Explanation, 'requestId' | 'service' | 'workspace'>,
    error: ServingError,
    now: number,
  ): void {
    const step = {kind: 'gave-up', error: error.kind, ran: error.ran} as const;
    this.refusals.set(call.requestId, {
      ...call,
      entryHost: this.context.hostId,
      state: 'failed',
      trail: [{time: now, step}],
    });
  }

  private countRunning(request: ServedRequest, change: number): void {
    const {workspace} = request.copy;
    const next = this.runningOf(workspace) + change;
    this.runningByWorkspace.set(workspace, next);
  }

  private forgetKey(request: ServedRequest): void {
    const {key} = request.copy;
    if (this.idsByKey.get(key) === request.id) {
      this.idsByKey.delete(key);
    }
  }

  private dropBackup(request: ServedRequest): void {
    const {backup} = request;
    if (backup === undefined || request.state.kind === 'moved') {
      return;
    }
    const waiting = this.drops.get(backup);
    if (waiting !== undefined) {
      waiting.push(request.id);
      return;
    }
    if (this.drops.size === 0) {
      setImmediate(() => this.flushDrops());
    }
    this.drops.set(backup, [request.id]);
  }

  private flushDrops(): void {
    const drops = this.drops;
    this.drops = new Map<string, string[]>();
    for (const [hostId, requestIds] of drops) {
      const address = this.context.membership.find(hostId)?.addresses.peers;
      if (address !== undefined) {
        this.context.peers.notify(address, 'backup.drop', {requestIds});
      }
    }
  }
}

function sizeOf(request: ServedRequest): number {
  const {state, buffer} = request;
  const answer =
    state.kind === 'answered' ? (state.answer?.body.length ?? 0) : 0;
  const events = buffer.from(0).reduce((sum, event) => sum + event.length, 0);
  return REQUEST_OVERHEAD_BYTES + request.body.length + answer + events;
}
