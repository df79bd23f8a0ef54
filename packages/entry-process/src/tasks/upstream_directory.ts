/**
 * The task that knows the upstreams: from the host list, which lags, from
 * reclaim notices, and from what other entry hosts tell.
 */
import {
  rendezvousOrder,
  type Shard,
  shardsOf,
  type Upstream,
} from '@lacewingwinch/decisions';
import type {EventLog} from '@lacewingwinch/observability';
import type {
  CloudApi,
  HostList,
  ListedHost,
  ReclaimNotice,
} from '@lacewingwinch/platform';

import {isAborted} from '../util/is_aborted.js';
import {messageOf} from '../util/message_of.js';
import {pause} from '../util/pause.js';

/** Entry hosts that read reclaim notices. */
const NOTICE_WATCHERS = 3;

/** Milliseconds that a read of notices waits for one. */
const NOTICE_WAIT_MILLISECONDS = 1000;

/** Milliseconds before a failed read is tried again. */
const RETRY_MILLISECONDS = 500;

/** Milliseconds for which a notice counts towards a reclaim wave. */
const WAVE_MILLISECONDS = 30_000;

/**
 * Milliseconds for which an upstream that the list no longer has is still
 * used, because the list lags and may go back.
 */
const UNLISTED_MILLISECONDS = 30_000;

/** Share of the reclaimable upstreams whose notices make a wave. */
const WAVE_SHARE = 0.2;

/** What the task needs from others. */
export interface UpstreamDirectoryContext {
  readonly hostList: HostList;
  readonly cloud: CloudApi;
  readonly events: EventLog;
  readonly hostId: string;
  readonly hostListSeconds: number;
  readonly clock: () => number;
  /** Ids of the entry hosts that serve. */
  readonly servingHosts: () => readonly string[];
  /** Whether `hostId` is known as an entry host. */
  readonly isEntryHost: (hostId: string) => boolean;
  /** Is told of upstreams that are newly known to leave. */
  readonly onLeaving: (
    upstreamIds: readonly string[],
    reclaimTime: number | undefined,
  ) => void;
  /** Is told when this entry host will be reclaimed. */
  readonly onOwnReclaim: (reclaimTime: number) => void;
}

/** Owns the list of upstreams. */
export class UpstreamDirectory {
  private hosts: readonly ListedHost[] = [];
  /** When each host was last on the list, in milliseconds since the epoch. */
  private readonly lastListed = new Map<string, number>();
  /** Upstreams known to leave, with the time of their reclaim if stated. */
  private readonly leaving = new Map<string, number | undefined>();
  private readonly noticeTimes: number[] = [];
  private noticePosition = 0;
  private upstreams: readonly Upstream[] = [];
  private readonly shards = new Map<string, readonly Shard[]>();

  constructor(private readonly context: UpstreamDirectoryContext) {}

  /** Peer addresses of the entry hosts on the list. */
  seeds(): readonly string[] {
    return this.hosts
      .filter(({role}) => role === 'entry')
      .map(({address}) => address);
  }

  /** The shards of `service`. */
  shardsOf(service: string): readonly Shard[] {
    const known = this.shards.get(service);
    if (known !== undefined) {
      return known;
    }
    const shards = shardsOf(service, this.upstreams);
    this.shards.set(service, shards);
    return shards;
  }

  /** The upstream called `upstreamId`. */
  find(upstreamId: string): Upstream | undefined {
    return this.upstreams.find(({id}) => id === upstreamId);
  }

  /** Upstreams known to leave. */
  leavingIds(): readonly string[] {
    return [...this.leaving.keys()];
  }

  /** When an upstream will be gone, in milliseconds since the epoch. */
  reclaimTimeOf(upstreamId: string): number | undefined {
    return this.leaving.get(upstreamId);
  }

  /** Whether many upstreams were reclaimed lately. */
  isReclaimWave(): boolean {
    const since = this.context.clock() - WAVE_MILLISECONDS;
    const recent = this.noticeTimes.filter(time => time >= since).length;
    const reclaimable = this.upstreams.filter(
      ({hostClass}) => hostClass === 'reclaimable',
    ).length;
    return recent >= 2 && recent >= reclaimable * WAVE_SHARE;
  }

  /** Is told by another entry host that upstreams leave. */
  markLeaving(
    upstreamIds: readonly string[],
    reclaimTime: number | undefined,
  ): void {
    const fresh = upstreamIds.filter(id => !this.leaving.has(id));
    if (fresh.length === 0) {
      return;
    }
    for (const upstreamId of fresh) {
      this.leaving.set(upstreamId, reclaimTime);
      this.noticeTimes.push(this.context.clock());
      this.context.events.write(3002, {upstreamId});
    }
    this.refresh();
    this.context.onLeaving(fresh, reclaimTime);
  }

  /** Runs until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    await Promise.all([this.readHosts(signal), this.readNotices(signal)]);
  }

  private async readHosts(signal: AbortSignal): Promise<void> {
    let isFailing = false;
    while (!signal.aborted) {
      try {
        this.takeHosts(await this.context.hostList.read());
        isFailing = false;
      } catch (error) {
        if (!isFailing) {
          this.reportFailure('hosts', error);
        }
        isFailing = true;
      }
      await pause(this.context.hostListSeconds * 1000, signal);
    }
  }

  private takeHosts(hosts: readonly ListedHost[]): void {
    const now = this.context.clock();
    const listed = new Set(hosts.map(({id}) => id));
    listed.forEach(id => this.lastListed.set(id, now));
    const unlisted = this.hosts.filter(
      ({id}) =>
        !listed.has(id) &&
        now - (this.lastListed.get(id) ?? 0) < UNLISTED_MILLISECONDS,
    );
    this.hosts = [...hosts, ...unlisted];
    this.forgetUnlisted(now);
    this.refresh();
    const listedAsLeaving = hosts
      .filter(({role, status}) => role === 'upstream' && status === 'leaving')
      .map(({id}) => id);
    this.markLeaving(listedAsLeaving, undefined);
  }

  private forgetUnlisted(now: number): void {
    for (const [id, seen] of this.lastListed) {
      if (now - seen >= UNLISTED_MILLISECONDS) {
        this.lastListed.delete(id);
      }
    }
  }

  private refresh(): void {
    this.upstreams = this.hosts
      .filter(({role}) => role === 'upstream')
      .map(host => ({
        id: host.id,
        service: host.service,
        address: host.address,
        failureDomain: host.failureDomain,
        hostClass: host.hostClass,
        pricePerHour: host.pricePerHour,
        isLeaving: host.status === 'leaving' || this.leaving.has(host.id),
      }));
    this.shards.clear();
  }

  private async readNotices(signal: AbortSignal): Promise<void> {
    let isFailing = false;
    while (!signal.aborted) {
      if (!this.isWatcher()) {
        await pause(RETRY_MILLISECONDS, signal);
        continue;
      }
      try {
        const {notices, next} = await this.context.cloud.notices(
          this.noticePosition,
          NOTICE_WAIT_MILLISECONDS,
          signal,
        );
        this.noticePosition = next;
        this.takeNotices(notices);
        isFailing = false;
      } catch (error) {
        if (!isFailing && !isAborted(signal)) {
          this.reportFailure('notices', error);
        }
        isFailing = true;
        await pause(RETRY_MILLISECONDS, signal);
      }
    }
  }

  private takeNotices(notices: readonly ReclaimNotice[]): void {
    for (const {hostId, reclaimTime} of notices) {
      if (hostId === this.context.hostId) {
        this.context.onOwnReclaim(reclaimTime);
        continue;
      }
      if (this.context.isEntryHost(hostId)) {
        continue;
      }
      if (reclaimTime >= this.context.clock() - WAVE_MILLISECONDS) {
        this.markLeaving([hostId], reclaimTime);
      }
    }
  }

  private isWatcher(): boolean {
    const hosts = this.context.servingHosts();
    const watchers = rendezvousOrder('notices', hosts, NOTICE_WATCHERS);
    return watchers.includes(this.context.hostId);
  }

  private reportFailure(list: string, error: unknown): void {
    this.context.events.write(3003, {list, error: messageOf(error)});
  }
}
