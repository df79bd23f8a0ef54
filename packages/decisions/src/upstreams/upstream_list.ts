/**
 * The upstreams that the platform lists, as known to one entry host. The store
 * can come back from an older copy, in which upstreams are listed that have
 * been withdrawn since, or as ready that have been leaving since. They stay so
 * until their own next heartbeat.
 */
import {isDeepStrictEqual} from 'node:util';

import {eraOf} from '../store/store_position.js';
import {
  type ReadCoverage,
  SoftwareVersions,
} from '../streams/software_versions.js';
import type {
  ListedUpstream,
  UpdateSource,
  UpstreamChange,
  UpstreamUpdate,
  UsableUpstream,
} from './listed_upstream.js';
import type {RelayedList, RelayedUpstream} from './relayed_list.js';

/** Largest number of withdrawals remembered in order to relay them. */
const MAXIMUM_REMEMBERED_WITHDRAWALS = 1024;

interface Entry {
  readonly upstream: ListedUpstream;
  readonly heartbeat: number | undefined;
  readonly knownSince: number;
  /** Time at which an entry that lapsed in an outage is removed. */
  readonly lapsesAt: number;
  /** Position up to which the store had been read when the entry changed. */
  readonly changedTo: number;
}

/** The last state of an upstream that was withdrawn. */
interface Withdrawal {
  readonly bornAt: number;
  readonly heartbeat: number | undefined;
  /** Position up to which the store had been read when it was withdrawn. */
  readonly changedTo: number;
}

/** A listing of an upstream, and where it comes from. */
interface Listing {
  readonly upstream: ListedUpstream;
  readonly heartbeat: number | undefined;
  readonly origin: 'log' | 'relay' | 'snapshot';
}

/**
 * Milliseconds within which upstreams list themselves again after an outage of
 * the store, as guaranteed by the platform.
 */
export const RELIST_MILLISECONDS = 2000;

/** The upstreams known to one entry host. */
export class UpstreamList {
  readonly versions: SoftwareVersions;
  private readonly entries = new Map<string, Entry>();
  private changes: readonly UpstreamChange[] = [];
  private readonly withdrawn = new Map<string, Withdrawal>();
  /** Position after which all withdrawals are remembered. */
  private withdrawalsKnownSince = -Infinity;
  private readonly usableByService = new Map<
    string,
    readonly UsableUpstream[]
  >();

  /** `isFirstStart`: whether no upstream was listed before this host started. */
  constructor(isFirstStart = false) {
    this.versions = new SoftwareVersions(isFirstStart);
  }

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
          this.list({...update, origin: 'log'}, source, now);
          break;
        case 'withdrawn':
          this.withdraw(update.upstreamId, source, now);
          break;
      }
    }
    this.recordVersions('every-listing', now);
  }

  /** Replaces the list with a snapshot of the store; see `apply`. */
  replace(
    updates: readonly UpstreamUpdate[],
    source: UpdateSource,
    now: number,
  ): void {
    const listings = updates.flatMap(update =>
      update.kind === 'listed'
        ? [{...update, origin: 'snapshot' as const}]
        : [],
    );
    this.replaceBy(listings, source, now);
  }

  private replaceBy(
    listings: readonly Listing[],
    source: UpdateSource,
    now: number,
  ): boolean {
    const listed = new Set(listings.map(({upstream}) => upstream.upstreamId));
    const isCurrent = this.listAll(listings, source, now);
    for (const upstreamId of [...this.entries.keys()]) {
      if (!listed.has(upstreamId)) {
        this.withdraw(upstreamId, source, now);
      }
    }
    this.recordVersions('listings-in-force', now);
    // Withdrawals before this read are unknown.
    this.withdrawalsKnownSince = Math.max(
      this.withdrawalsKnownSince,
      source.readTo,
    );
    return isCurrent;
  }

  /** Lists upstreams; returns false if any of the listings is outdated. */
  private listAll(
    listings: readonly Listing[],
    source: UpdateSource,
    now: number,
  ): boolean {
    return listings
      .map(listing => this.list(listing, source, now))
      .every(isCurrent => isCurrent);
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
      .filter(([, {changedTo}]) => changedTo > since)
      .map(([upstreamId]) => upstreamId);
    return {kind: 'changes', listed, withdrawn};
  }

  /**
   * Applies the list of another host, which has read up to `readTo`. Returns
   * false if parts of it are outdated; the rest is applied.
   */
  applyRelayed(relayed: RelayedList, readTo: number, now: number): boolean {
    const source = {readTo, relistedBy: -Infinity};
    const listings = relayed.listed.map(({upstream, heartbeat}) => ({
      upstream,
      heartbeat,
      origin: 'relay' as const,
    }));
    const isCurrent =
      relayed.kind === 'whole'
        ? this.replaceBy(listings, source, now)
        : this.listAll(listings, source, now);
    if (relayed.kind === 'changes') {
      relayed.withdrawn.forEach(id => this.withdraw(id, source, now));
      this.recordVersions('listings-in-force', now);
    }
    for (const {upstream, lapsesInMilliseconds} of relayed.listed) {
      if (lapsesInMilliseconds !== undefined) {
        const relistedBy = now + lapsesInMilliseconds;
        this.withdraw(upstream.upstreamId, {readTo, relistedBy}, now);
      }
    }
    return isCurrent;
  }

  /** Returns the upstreams of `service` that accept new work at `now`. */
  usable(service: string, now: number): readonly UsableUpstream[] {
    this.dropLapsed(now);
    const cached = this.usableByService.get(service);
    if (cached !== undefined) {
      return cached;
    }
    const usable = this.usableAt(service, now);
    this.usableByService.set(service, usable);
    return usable;
  }

  /** Returns what `usable` would return, and drops and keeps nothing. */
  peekUsable(service: string, now: number): readonly UsableUpstream[] {
    const entries = [...this.entries.values()];
    const cached = entries.some(({lapsesAt}) => now >= lapsesAt)
      ? undefined
      : this.usableByService.get(service);
    return cached ?? this.usableAt(service, now);
  }

  private usableAt(service: string, now: number): readonly UsableUpstream[] {
    return [...this.entries.values()]
      .filter(
        ({upstream, lapsesAt}) =>
          upstream.service === service && !upstream.isLeaving && now < lapsesAt,
      )
      .map(({upstream, knownSince}) => ({...upstream, knownSince}))
      .sort((left, right) => (left.upstreamId < right.upstreamId ? -1 : 1));
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
   * Adds or updates an entry; returns false if the listing is outdated.
   * Upstreams list themselves again every second, usually without a change.
   */
  private list(listing: Listing, {readTo}: UpdateSource, now: number): boolean {
    const {upstream, heartbeat} = listing;
    const {upstreamId} = upstream;
    this.versions.recordListing(upstream, now);
    if (this.isOutdated(listing, readTo)) {
      return false;
    }
    const existing = this.entries.get(upstreamId);
    const isLapsing = existing?.lapsesAt !== Infinity;
    if (!isLapsing && isDeepStrictEqual(existing.upstream, upstream)) {
      this.entries.set(upstreamId, {...existing, heartbeat});
      return true;
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
      heartbeat,
      knownSince: isSameProcess ? existing.knownSince : now,
      lapsesAt: Infinity,
      changedTo: readTo,
    });
    this.usableByService.clear();
    return true;
  }

  private recordVersions(coverage: ReadCoverage, now: number): void {
    for (const {upstream} of this.entries.values()) {
      this.versions.recordListing(upstream, now);
    }
    this.versions.recordRead(coverage, now);
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

  /**
   * Returns whether a listing is older than what is known of the upstream. That
   * is possible only if the store has come back from an older copy since.
   */
  private isOutdated(listing: Listing, readTo: number): boolean {
    const {upstream, origin} = listing;
    const existing = this.entries.get(upstream.upstreamId);
    const known =
      existing === undefined
        ? this.withdrawn.get(upstream.upstreamId)
        : {...existing, bornAt: existing.upstream.bornAt};
    if (
      known === undefined ||
      origin === 'log' ||
      eraOf(known.changedTo) === eraOf(readTo)
    ) {
      return false;
    }
    const isRegression =
      existing === undefined ||
      (existing.upstream.isLeaving && !upstream.isLeaving);
    return (
      upstream.bornAt < known.bornAt ||
      (upstream.bornAt === known.bornAt &&
        isRegression &&
        !isLater(listing, known.heartbeat))
    );
  }

  private remove({upstream, heartbeat}: Entry, readTo: number): void {
    this.entries.delete(upstream.upstreamId);
    const {upstreamId, bornAt} = upstream;
    this.rememberWithdrawal(upstreamId, {bornAt, heartbeat, changedTo: readTo});
    this.recordChange(upstream, 'withdrawn', false);
    this.usableByService.clear();
  }

  private rememberWithdrawal(upstreamId: string, withdrawal: Withdrawal): void {
    this.withdrawn.delete(upstreamId);
    this.withdrawn.set(upstreamId, withdrawal);
    const [oldest] = this.withdrawn;
    if (
      this.withdrawn.size > MAXIMUM_REMEMBERED_WITHDRAWALS &&
      oldest !== undefined
    ) {
      this.withdrawn.delete(oldest[0]);
      this.withdrawalsKnownSince = Math.max(
        this.withdrawalsKnownSince,
        oldest[1].changedTo,
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

/** Returns whether a listing has a later heartbeat than the known one. */
function isLater(
  {heartbeat, origin}: Listing,
  knownHeartbeat: number | undefined,
): boolean {
  return heartbeat === undefined || knownHeartbeat === undefined
    ? origin !== 'snapshot'
    : heartbeat > knownHeartbeat;
}

function toRelayed(
  {upstream, heartbeat, lapsesAt}: Entry,
  now: number,
): RelayedUpstream {
  return {
    upstream,
    ...(heartbeat === undefined ? {} : {heartbeat}),
    ...(Number.isFinite(lapsesAt) && {lapsesInMilliseconds: lapsesAt - now}),
  };
}
