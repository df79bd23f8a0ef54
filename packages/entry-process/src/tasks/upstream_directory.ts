/**
 * The task that maintains the list of upstreams from the host list, which lags,
 * from reclaim notices, and from notifications of other entry hosts.
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

/** Number of entry hosts that read reclaim notices. */
const NOTICE_READERS = 3;

/** Milliseconds that a read of notices waits for new ones. */
const NOTICE_WAIT_MILLISECONDS = 1000;

/** Milliseconds before a failed read is retried. */
const RETRY_DELAY_MILLISECONDS = 500;

/** Milliseconds for which a leaving upstream counts towards a reclaim wave. */
const RECLAIM_WAVE_WINDOW_MILLISECONDS = 30_000;

/**
 * Milliseconds for which a host that is no longer on the list is still used,
 * because the list lags and may revert to an older state.
 */
const UNLISTED_RETENTION_MILLISECONDS = 30_000;

/**
 * Share of the reclaimable upstreams that make a reclaim wave if they leave.
 */
const RECLAIM_WAVE_SHARE = 0.2;

/** Dependencies of `UpstreamDirectory`. */
export interface UpstreamDirectoryDependencies {
  readonly hostList: HostList;
  readonly cloud: CloudApi;
  readonly events: EventLog;
  readonly hostId: string;
  readonly hostListSeconds: number;
  readonly clock: () => number;
  /** Returns the ids of the entry hosts that serve. */
  readonly servingHosts: () => readonly string[];
  /** Returns whether `hostId` is a known entry host. */
  readonly isEntryHost: (hostId: string) => boolean;
  /** Called with upstreams that have newly been marked as leaving. */
  readonly onLeaving: (
    upstreamIds: readonly string[],
    reclaimTime: number | undefined,
  ) => void;
  /** Called with the time at which this entry host will be reclaimed. */
  readonly onOwnReclaim: (reclaimTime: number) => void;
}

/** Owns the list of upstreams. */
export class UpstreamDirectory {
  private hosts: readonly ListedHost[] = [];
  /** Last time each host was on the list, in milliseconds since the epoch. */
  private readonly lastListed = new Map<string, number>();
  /**
   * Leaving upstreams, each with the time of its reclaim if known, in
   * milliseconds since the epoch.
   */
  private readonly leaving = new Map<string, number | undefined>();
  private readonly leavingMarkTimes: number[] = [];
  private noticePosition = 0;
  private upstreams: readonly Upstream[] = [];
  private readonly shards = new Map<string, readonly Shard[]>();

  constructor(private readonly dependencies: UpstreamDirectoryDependencies) {}

  /** Returns the peer addresses of the entry hosts on the list. */
  seeds(): readonly string[] {
    return this.hosts
      .filter(({role}) => role === 'entry')
      .map(({address}) => address);
  }

  /** Returns the shards of `service`. */
  shardsOf(service: string): readonly Shard[] {
    const cached = this.shards.get(service);
    if (cached !== undefined) {
      return cached;
    }
    const shards = shardsOf(service, this.upstreams);
    this.shards.set(service, shards);
    return shards;
  }

  /** Returns the upstream with the id `upstreamId`. */
  find(upstreamId: string): Upstream | undefined {
    return this.upstreams.find(({id}) => id === upstreamId);
  }

  /** Returns the ids of the leaving upstreams. */
  leavingIds(): readonly string[] {
    return [...this.leaving.keys()];
  }

  /**
   * Returns the time at which an upstream will be reclaimed, in milliseconds
   * since the epoch; undefined if it is unknown.
   */
  reclaimTimeOf(upstreamId: string): number | undefined {
    return this.leaving.get(upstreamId);
  }

  /**
   * Returns whether a reclaim wave is in progress: at least two upstreams, and
   * a large share of the reclaimable ones, were recently marked as leaving.
   */
  isReclaimWave(): boolean {
    const since = this.dependencies.clock() - RECLAIM_WAVE_WINDOW_MILLISECONDS;
    const recent = this.leavingMarkTimes.filter(time => time >= since).length;
    const reclaimable = this.upstreams.filter(
      ({hostClass}) => hostClass === 'reclaimable',
    ).length;
    return recent >= 2 && recent >= reclaimable * RECLAIM_WAVE_SHARE;
  }

  /** Marks upstreams as leaving; those already marked are ignored. */
  markLeaving(
    upstreamIds: readonly string[],
    reclaimTime: number | undefined,
  ): void {
    const newlyLeaving = upstreamIds.filter(id => !this.leaving.has(id));
    if (newlyLeaving.length === 0) {
      return;
    }
    for (const upstreamId of newlyLeaving) {
      this.leaving.set(upstreamId, reclaimTime);
      this.leavingMarkTimes.push(this.dependencies.clock());
      this.dependencies.events.write(3002, {upstreamId});
    }
    this.rebuildUpstreams();
    this.dependencies.onLeaving(newlyLeaving, reclaimTime);
  }

  /** Runs until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    await Promise.all([this.readHosts(signal), this.readNotices(signal)]);
  }

  private async readHosts(signal: AbortSignal): Promise<void> {
    let isFailing = false;
    while (!signal.aborted) {
      try {
        this.applyHostList(await this.dependencies.hostList.read());
        isFailing = false;
      } catch (error) {
        if (!isFailing) {
          this.reportFailure('hosts', error);
        }
        isFailing = true;
      }
      await pause(this.dependencies.hostListSeconds * 1000, signal);
    }
  }

  private applyHostList(hosts: readonly ListedHost[]): void {
    const now = this.dependencies.clock();
    const listed = new Set(hosts.map(({id}) => id));
    listed.forEach(id => this.lastListed.set(id, now));
    const unlisted = this.hosts.filter(
      ({id}) =>
        !listed.has(id) &&
        now - (this.lastListed.get(id) ?? 0) < UNLISTED_RETENTION_MILLISECONDS,
    );
    this.hosts = [...hosts, ...unlisted];
    this.expireUnlisted(now);
    this.rebuildUpstreams();
    const listedAsLeaving = hosts
      .filter(({role, status}) => role === 'upstream' && status === 'leaving')
      .map(({id}) => id);
    this.markLeaving(listedAsLeaving, undefined);
  }

  private expireUnlisted(now: number): void {
    for (const [id, lastListed] of this.lastListed) {
      if (now - lastListed >= UNLISTED_RETENTION_MILLISECONDS) {
        this.lastListed.delete(id);
      }
    }
  }

  private rebuildUpstreams(): void {
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
      if (!this.isNoticeReader()) {
        await pause(RETRY_DELAY_MILLISECONDS, signal);
        continue;
      }
      try {
        const {notices, next} = await this.dependencies.cloud.notices(
          this.noticePosition,
          NOTICE_WAIT_MILLISECONDS,
          signal,
        );
        this.noticePosition = next;
        this.applyNotices(notices);
        isFailing = false;
      } catch (error) {
        if (!isFailing && !isAborted(signal)) {
          this.reportFailure('notices', error);
        }
        isFailing = true;
        await pause(RETRY_DELAY_MILLISECONDS, signal);
      }
    }
  }

  private applyNotices(notices: readonly ReclaimNotice[]): void {
    for (const {hostId, reclaimTime} of notices) {
      if (hostId === this.dependencies.hostId) {
        this.dependencies.onOwnReclaim(reclaimTime);
        continue;
      }
      if (this.dependencies.isEntryHost(hostId)) {
        continue;
      }
      if (
        reclaimTime >=
        this.dependencies.clock() - RECLAIM_WAVE_WINDOW_MILLISECONDS
      ) {
        this.markLeaving([hostId], reclaimTime);
      }
    }
  }

  private isNoticeReader(): boolean {
    const hosts = this.dependencies.servingHosts();
    const readerIds = rendezvousOrder('notices', hosts, NOTICE_READERS);
    return readerIds.includes(this.dependencies.hostId);
  }

  private reportFailure(list: string, error: unknown): void {
    this.dependencies.events.write(3003, {list, error: messageOf(error)});
  }
}
