/**
 * The requests that this host serves or whose responses it still keeps.
 */
import type {ServingError} from '@lacewingwinch/decisions';
import type {Explanation} from '@lacewingwinch/operators';
import {LRUCache} from 'lru-cache';

import type {FrontContext} from './front_context.js';
import type {ServedRequest} from './served_request.js';

/** Maximum size in bytes of the ended requests kept for later fetches. */
const MAXIMUM_KEPT_BYTES = 64 * 1024 * 1024;

/** Estimated bytes that an ended request needs besides its contents. */
const REQUEST_OVERHEAD_BYTES = 2048;

/** Maximum number of refusals kept for explanations to operators. */
const MAXIMUM_KEPT_REFUSALS = 5000;

/** Dependencies of `RequestRegistry`. */
export type RequestRegistryDependencies = Pick<
  FrontContext,
  'hostId' | 'keptAnswerSeconds' | 'membership' | 'metrics' | 'peers'
>;

/** Keeps the running and the ended requests of this host. */
export class RequestRegistry {
  private readonly runningRequests = new Map<string, ServedRequest>();
  private readonly endedRequests: LRUCache<string, ServedRequest>;
  private readonly idsByKey = new Map<string, string>();
  private readonly refusals = new LRUCache<string, Explanation>({
    max: MAXIMUM_KEPT_REFUSALS,
  });
  private readonly runningCounts = new Map<string, number>();
  /** Ids of ended requests whose backups are to be notified, by backup host. */
  private pendingDrops = new Map<string, string[]>();

  constructor(private readonly dependencies: RequestRegistryDependencies) {
    this.endedRequests = new LRUCache({
      maxSize: MAXIMUM_KEPT_BYTES,
      sizeCalculation: keptBytesOf,
      ttl: dependencies.keptAnswerSeconds * 1000,
      dispose: request => this.removeKey(request),
    });
  }

  /** Returns the requests that have not ended. */
  running(): readonly ServedRequest[] {
    return [...this.runningRequests.values()];
  }

  /** Number of requests that have not ended. */
  get runningCount(): number {
    return this.runningRequests.size;
  }

  /** Returns the number of requests of a workspace that have not ended. */
  runningCountOf(workspace: string): number {
    return this.runningCounts.get(workspace) ?? 0;
  }

  /** Returns the requests that have ended and are still kept. */
  ended(): readonly ServedRequest[] {
    return [...this.endedRequests.values()];
  }

  /** Removes ended requests whose retention time is over. */
  removeExpired(): void {
    this.endedRequests.purgeStale();
  }

  /** Adds a running request. */
  add(request: ServedRequest): void {
    this.runningRequests.set(request.id, request);
    this.idsByKey.set(request.copy.key, request.id);
    this.changeRunningCount(request, 1);
    this.dependencies.metrics.requestsInProgress.set(this.runningRequests.size);
  }

  /**
   * Keeps a request that has ended, and notifies its backup that the copy can
   * be dropped. A request that is known not to have run frees its idempotency
   * key.
   */
  end(request: ServedRequest): void {
    if (!this.runningRequests.delete(request.id)) {
      return;
    }
    this.changeRunningCount(request, -1);
    this.dependencies.metrics.requestsInProgress.set(this.runningRequests.size);
    this.endedRequests.set(request.id, request);
    this.queueBackupDrop(request);
    const isRepeatable =
      request.state.kind === 'failed' && request.state.error.ran === 'no';
    if (isRepeatable) {
      this.removeKey(request);
    }
  }

  /** Returns the request with the id `requestId`. */
  find(requestId: string): ServedRequest | undefined {
    return (
      this.runningRequests.get(requestId) ?? this.endedRequests.get(requestId)
    );
  }

  /** Returns the request with the claim key `key`. */
  findByKey(key: string): ServedRequest | undefined {
    const requestId = this.idsByKey.get(key);
    return requestId === undefined ? undefined : this.find(requestId);
  }

  /** Returns the explanation of a request for operators. */
  explain(requestId: string): Explanation | undefined {
    return (
      this.find(requestId)?.explain(this.dependencies.hostId) ??
      this.refusals.get(requestId)
    );
  }

  /** Keeps the reason of a refusal for explanations to operators. */
  recordRefusal(
    call: Pick<Explanation, 'requestId' | 'service' | 'workspace'>,
    error: ServingError,
    now: number,
  ): void {
    const step = {kind: 'gave-up', error: error.kind, ran: error.ran} as const;
    this.refusals.set(call.requestId, {
      ...call,
      entryHost: this.dependencies.hostId,
      state: 'failed',
      trail: [{time: now, step}],
    });
  }

  private changeRunningCount(request: ServedRequest, change: number): void {
    const {workspace} = request.copy;
    const count = this.runningCountOf(workspace) + change;
    this.runningCounts.set(workspace, count);
  }

  private removeKey(request: ServedRequest): void {
    const {key} = request.copy;
    if (this.idsByKey.get(key) === request.id) {
      this.idsByKey.delete(key);
    }
  }

  /**
   * Queues the notification that the backup can drop its copy. Notifications of
   * one turn of the event loop are sent in one message per host.
   */
  private queueBackupDrop(request: ServedRequest): void {
    const {backup} = request;
    if (backup === undefined || request.state.kind === 'moved') {
      return;
    }
    const requestIds = this.pendingDrops.get(backup);
    if (requestIds !== undefined) {
      requestIds.push(request.id);
      return;
    }
    if (this.pendingDrops.size === 0) {
      setImmediate(() => this.sendBackupDrops());
    }
    this.pendingDrops.set(backup, [request.id]);
  }

  private sendBackupDrops(): void {
    const drops = this.pendingDrops;
    this.pendingDrops = new Map<string, string[]>();
    for (const [hostId, requestIds] of drops) {
      const address =
        this.dependencies.membership.find(hostId)?.addresses.peers;
      if (address !== undefined) {
        this.dependencies.peers.notify(address, 'backup.drop', {requestIds});
      }
    }
  }
}

function keptBytesOf(request: ServedRequest): number {
  const {state, buffer} = request;
  const answer =
    state.kind === 'answered' ? (state.answer?.body.length ?? 0) : 0;
  const events = buffer.from(0).reduce((sum, event) => sum + event.length, 0);
  return REQUEST_OVERHEAD_BYTES + request.body.length + answer + events;
}
