/**
 * The upstreams that the platform lists, as known to one entry host.
 */
import {isDeepStrictEqual} from 'node:util';

/** An upstream, as it describes itself. */
export interface ListedUpstream {
  readonly upstreamId: string;
  readonly service: string;
  /** IP address and port. */
  readonly address: string;
  readonly failureDomain: string;
  readonly slots: number;
  readonly isLeaving: boolean;
  /** Milliseconds until its departure; undefined if it did not report them. */
  readonly leavesInMilliseconds: number | undefined;
  /**
   * Start time of its process in milliseconds since the epoch; 0 if it did not
   * report one.
   */
  readonly bornAt: number;
  /** Whether it can be reclaimed together with its failure domain. */
  readonly isReclaimable: boolean;
  /** Remaining milliseconds for which it is slow after its start. */
  readonly coldMilliseconds: number;
}

/** A change read from the store. */
export type UpstreamUpdate =
  | {readonly kind: 'listed'; readonly upstream: ListedUpstream}
  /** The entry was removed, or its contents describe no usable upstream. */
  | {readonly kind: 'withdrawn'; readonly upstreamId: string};

/** A change that was applied to the list. */
export interface UpstreamChange {
  readonly upstreamId: string;
  readonly service: string;
  readonly failureDomain: string;
  readonly state: 'leaving' | 'listed' | 'withdrawn';
  /** Whether it restarted under the same ID and lost its earlier state. */
  readonly isRestarted: boolean;
}

/** An upstream, as one host relays it to another. */
export interface RelayedUpstream {
  readonly upstream: ListedUpstream;
  /**
   * Milliseconds until the upstream counts as gone unless it is listed again;
   * present if its entry lapsed during an outage of the store.
   */
  readonly lapsesInMilliseconds?: number;
}

/** A list of upstreams, as one host relays it to another. */
export type RelayedList =
  /** The complete list. */
  | {readonly kind: 'whole'; readonly listed: readonly RelayedUpstream[]}
  /** The changes since the offset up to which the other host has read. */
  | {
      readonly kind: 'changes';
      readonly listed: readonly RelayedUpstream[];
      readonly withdrawn: readonly string[];
    };

/** The state of the store at which updates were read. */
export interface UpdateSource {
  /** Offset in the store's log up to which the updates were read. */
  readonly readTo: number;
  /** Time until which entries that lapsed in an outage can be listed again. */
  readonly relistedBy: number;
}

/** Largest number of withdrawals remembered in order to relay them. */
const MAXIMUM_REMEMBERED_WITHDRAWALS = 1024;

/** An upstream that accepts new work. */
export interface UsableUpstream extends ListedUpstream {
  /**
   * Time at which this host first saw the upstream's process ready, in
   * milliseconds of the suspension-aware clock.
   */
  readonly knownSince: number;
}

interface Entry {
  readonly upstream: ListedUpstream;
  readonly knownSince: number;
  /** Time at which an entry that lapsed in an outage is removed. */
  readonly lapsesAt: number;
  /** Offset up to which the store had been read when the entry changed. */
  readonly changedTo: number;
}

/**
 * Milliseconds within which upstreams list themselves again after an outage of
 * the store, as guaranteed by the platform.
 */
export const RELIST_MILLISECONDS = 2000;

/** The upstreams known to one entry host. */
export class UpstreamList {
  private readonly entries = new Map<string, Entry>();
  private changes: readonly UpstreamChange[] = [];
  /** Offsets up to which the store had been read, by withdrawn upstream. */
  private readonly withdrawn = new Map<string, number>();
  /** Offset after which all withdrawals are remembered. */
  private withdrawalsKnownSince = -Infinity;
  private readonly usableByService = new Map<
    string,
    readonly UsableUpstream[]
  >();

  /** Returns the changes since the last call, including lapsed entries. */
  takeChanges(now: number): readonly UpstreamChange[] {
    this.dropLapsed(now);
    const {changes} = this;
    this.changes = [];
    return changes;
  }

  /**
   * Applies updates from the store. Until `relistedBy`, withdrawn entries are
   * kept, because they may have lapsed in an outage of the store and be listed
   * again. Later withdrawals, and those of leaving upstreams, take effect
   * immediately.
   */
  apply(
    updates: readonly UpstreamUpdate[],
    source: UpdateSource,
    now: number,
  ): void {
    for (const update of updates) {
      switch (update.kind) {
        case 'listed':
          this.list(update.upstream, source, now);
          break;
        case 'withdrawn':
          this.withdraw(update.upstreamId, source, now);
          break;
      }
    }
  }

  /** Replaces the list with the state of the store; see `apply`. */
  replace(
    upstreams: readonly ListedUpstream[],
    source: UpdateSource,
    now: number,
  ): void {
    const listed = new Set(upstreams.map(({upstreamId}) => upstreamId));
    for (const upstream of upstreams) {
      this.list(upstream, source, now);
    }
    for (const upstreamId of [...this.entries.keys()]) {
      if (!listed.has(upstreamId)) {
        this.withdraw(upstreamId, source, now);
      }
    }
    // Withdrawals before this read are unknown.
    this.withdrawalsKnownSince = Math.max(
      this.withdrawalsKnownSince,
      source.readTo,
    );
  }

  /**
   * Returns the changes after the offset `since`, up to which another host has
   * read, or the complete list if these changes are not known.
   */
  relay(since: number | undefined, now: number): RelayedList {
    this.dropLapsed(now);
    const entries = [...this.entries.values()];
    if (since === undefined || since < this.withdrawalsKnownSince) {
      return {
        kind: 'whole',
        listed: entries.map(entry => toRelayed(entry, now)),
      };
    }
    const listed = entries
      .filter(({changedTo}) => changedTo > since)
      .map(entry => toRelayed(entry, now));
    const withdrawn = [...this.withdrawn]
      .filter(([, changedTo]) => changedTo > since)
      .map(([upstreamId]) => upstreamId);
    return {kind: 'changes', listed, withdrawn};
  }

  /** Applies the list of another host, which has read up to `readTo`. */
  applyRelayed(relayed: RelayedList, readTo: number, now: number): void {
    const source = {readTo, relistedBy: -Infinity};
    const upstreams = relayed.listed.map(({upstream}) => upstream);
    switch (relayed.kind) {
      case 'whole':
        this.replace(upstreams, source, now);
        break;
      case 'changes':
        upstreams.forEach(upstream => this.list(upstream, source, now));
        relayed.withdrawn.forEach(id => this.withdraw(id, source, now));
        break;
    }
    for (const {upstream, lapsesInMilliseconds} of relayed.listed) {
      if (lapsesInMilliseconds !== undefined) {
        const relistedBy = now + lapsesInMilliseconds;
        this.withdraw(upstream.upstreamId, {readTo, relistedBy}, now);
      }
    }
  }

  /** Returns the upstreams of `service` that accept new work at `now`. */
  usable(service: string, now: number): readonly UsableUpstream[] {
    this.dropLapsed(now);
    const cached = this.usableByService.get(service);
    if (cached !== undefined) {
      return cached;
    }
    const usable = [...this.entries.values()]
      .filter(
        ({upstream}) => upstream.service === service && !upstream.isLeaving,
      )
      .map(({upstream, knownSince}) => ({...upstream, knownSince}))
      .sort((left, right) => (left.upstreamId < right.upstreamId ? -1 : 1));
    this.usableByService.set(service, usable);
    return usable;
  }

  /** Returns the upstream with the ID `upstreamId`, even if it is leaving. */
  find(upstreamId: string): ListedUpstream | undefined {
    return this.entries.get(upstreamId)?.upstream;
  }

  /** Returns all known upstreams, including those that are leaving. */
  all(): readonly ListedUpstream[] {
    return [...this.entries.values()].map(({upstream}) => upstream);
  }

  /**
   * Adds or updates an entry. Upstreams list themselves again every second,
   * usually without a change.
   */
  private list(
    upstream: ListedUpstream,
    {readTo}: UpdateSource,
    now: number,
  ): void {
    const {upstreamId} = upstream;
    const existing = this.entries.get(upstreamId);
    const isLapsing = existing?.lapsesAt !== Infinity;
    if (!isLapsing && isDeepStrictEqual(existing.upstream, upstream)) {
      return;
    }
    const isSameProcess = existing?.upstream.bornAt === upstream.bornAt;
    const isRestarted = existing !== undefined && !isSameProcess;
    if (isRestarted || existing?.upstream.isLeaving !== upstream.isLeaving) {
      const state = upstream.isLeaving ? 'leaving' : 'listed';
      this.recordChange(upstream, state, isRestarted);
    }
    this.withdrawn.delete(upstreamId);
    this.entries.set(upstreamId, {
      upstream,
      knownSince: isSameProcess ? existing.knownSince : now,
      lapsesAt: Infinity,
      changedTo: readTo,
    });
    this.usableByService.clear();
  }

  private withdraw(
    upstreamId: string,
    {readTo, relistedBy}: UpdateSource,
    now: number,
  ): void {
    const existing = this.entries.get(upstreamId);
    if (existing === undefined) {
      return;
    }
    if (now < relistedBy && !existing.upstream.isLeaving) {
      const lapsesAt = Math.min(existing.lapsesAt, relistedBy);
      this.entries.set(upstreamId, {...existing, lapsesAt, changedTo: readTo});
      return;
    }
    this.remove(existing, readTo);
  }

  private remove({upstream}: Entry, readTo: number): void {
    this.entries.delete(upstream.upstreamId);
    this.rememberWithdrawal(upstream.upstreamId, readTo);
    this.recordChange(upstream, 'withdrawn', false);
    this.usableByService.clear();
  }

  private rememberWithdrawal(upstreamId: string, readTo: number): void {
    this.withdrawn.delete(upstreamId);
    this.withdrawn.set(upstreamId, readTo);
    const [oldest] = this.withdrawn;
    if (
      this.withdrawn.size > MAXIMUM_REMEMBERED_WITHDRAWALS &&
      oldest !== undefined
    ) {
      this.withdrawn.delete(oldest[0]);
      this.withdrawalsKnownSince = Math.max(
        this.withdrawalsKnownSince,
        oldest[1],
      );
    }
  }

  private dropLapsed(now: number): void {
    for (const entry of this.entries.values()) {
      if (now >= entry.lapsesAt) {
        this.remove(entry, entry.changedTo);
      }
    }
  }

  private recordChange(
    {upstreamId, service, failureDomain}: ListedUpstream,
    state: UpstreamChange['state'],
    isRestarted: boolean,
  ): void {
    const change = {upstreamId, service, failureDomain, state, isRestarted};
    this.changes = [...this.changes, change];
  }
}

function toRelayed({upstream, lapsesAt}: Entry, now: number): RelayedUpstream {
  return Number.isFinite(lapsesAt)
    ? {upstream, lapsesInMilliseconds: lapsesAt - now}
    : {upstream};
}
