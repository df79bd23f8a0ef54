/**
 * The upstreams that the platform lists, as one entry host believes them.
 */
import {isDeepStrictEqual} from 'node:util';

/** An upstream, as it describes itself. */
export interface ListedUpstream {
  readonly upstreamId: string;
  readonly service: string;
  /** IP number and port. */
  readonly address: string;
  readonly failureDomain: string;
  readonly slots: number;
  readonly isLeaving: boolean;
  /** Milliseconds until it is gone, if it says so. */
  readonly leavesInMilliseconds: number | undefined;
  /** When its process started, in milliseconds since the epoch; 0 if unsaid. */
  readonly bornAt: number;
  /** Whether it can be reclaimed with its whole failure domain. */
  readonly isReclaimable: boolean;
  /** Milliseconds for which it stays slow after its start. */
  readonly coldMilliseconds: number;
}

/** A change of the list. */
export type UpstreamUpdate =
  | {readonly kind: 'listed'; readonly upstream: ListedUpstream}
  /** The entry is gone, or its content names no upstream to use. */
  | {readonly kind: 'withdrawn'; readonly upstreamId: string};

/** A change that the list has made. */
export interface UpstreamChange {
  readonly upstreamId: string;
  readonly service: string;
  readonly failureDomain: string;
  readonly state: 'leaving' | 'listed' | 'withdrawn';
  /** Whether it started again under its id, and knows nothing of before. */
  readonly isRestarted: boolean;
}

/** An upstream as one host tells another. */
export interface RelayedUpstream {
  readonly upstream: ListedUpstream;
  /**
   * Milliseconds until it is taken as gone unless it comes back, if its entry
   * lapsed in an outage.
   */
  readonly lapsesInMilliseconds?: number;
}

/** A list of upstreams as one host tells another. */
export type RelayedList =
  | {readonly kind: 'whole'; readonly listed: readonly RelayedUpstream[]}
  /** What changed since the offset up to which the other host has read. */
  | {
      readonly kind: 'changes';
      readonly listed: readonly RelayedUpstream[];
      readonly withdrawn: readonly string[];
    };

/** Where updates come from. */
export interface UpdateSource {
  /** Offset in the log of the store up to which was read. */
  readonly readTo: number;
  /** Until when entries that lapsed in an outage may come back. */
  readonly relistedBy: number;
}

/** Withdrawn upstreams that are remembered for other hosts. */
const MAXIMUM_WITHDRAWN = 1024;

/** An upstream that takes work. */
export interface UsableUpstream extends ListedUpstream {
  /** Suspension-aware milliseconds at which this process first saw it ready. */
  readonly knownSince: number;
}

interface Entry {
  readonly upstream: ListedUpstream;
  readonly knownSince: number;
  /** When an entry that lapsed during an outage is taken as gone. */
  readonly lapsesAt: number;
  /** Offset up to which was read when the entry changed. */
  readonly changedTo: number;
}

/**
 * Milliseconds that upstreams need to list themselves again after an outage of
 * the store, by the platform's contract.
 */
export const RELIST_MILLISECONDS = 2000;

/** The listed upstreams. */
export class UpstreamList {
  private readonly entries = new Map<string, Entry>();
  private changes: readonly UpstreamChange[] = [];
  /** Withdrawn upstreams, by the offset up to which was read then. */
  private readonly withdrawn = new Map<string, number>();
  /** Offset from which on every withdrawal is remembered. */
  private withdrawnSince = -Infinity;
  private readonly byService = new Map<string, readonly UsableUpstream[]>();

  /** The changes since the last call, those by lapse included. */
  takeChanges(now: number): readonly UpstreamChange[] {
    this.dropLapsed(now);
    const {changes} = this;
    this.changes = [];
    return changes;
  }

  /**
   * Takes updates read from the store. Entries that lapsed while it was away
   * have until `relistedBy` to come back; later withdrawals hold at once.
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

  /** Replaces the whole list by what the store holds now; see `apply`. */
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
    // What was withdrawn before this reading is not known.
    this.withdrawnSince = Math.max(this.withdrawnSince, source.readTo);
  }

  /** The list for another host, which has read up to the offset `since`. */
  relay(since: number | undefined, now: number): RelayedList {
    this.dropLapsed(now);
    const entries = [...this.entries.values()];
    if (since === undefined || since < this.withdrawnSince) {
      return {kind: 'whole', listed: entries.map(one => relayed(one, now))};
    }
    const listed = entries
      .filter(({changedTo}) => changedTo > since)
      .map(one => relayed(one, now));
    const withdrawn = [...this.withdrawn]
      .filter(([, changedTo]) => changedTo > since)
      .map(([upstreamId]) => upstreamId);
    return {kind: 'changes', listed, withdrawn};
  }

  /** Takes what another host believes, which has read up to `readTo`. */
  takeRelayed(relayed: RelayedList, readTo: number, now: number): void {
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

  /** Upstreams of `service` that take new work at `now`. */
  usable(service: string, now: number): readonly UsableUpstream[] {
    this.dropLapsed(now);
    const known = this.byService.get(service);
    if (known !== undefined) {
      return known;
    }
    const usable = [...this.entries.values()]
      .filter(
        ({upstream}) => upstream.service === service && !upstream.isLeaving,
      )
      .map(({upstream, knownSince}) => ({...upstream, knownSince}))
      .sort((left, right) => (left.upstreamId < right.upstreamId ? -1 : 1));
    this.byService.set(service, usable);
    return usable;
  }

  /** The upstream called `upstreamId`, also while it leaves. */
  find(upstreamId: string): ListedUpstream | undefined {
    return this.entries.get(upstreamId)?.upstream;
  }

  /** Every upstream known, those that leave included. */
  all(): readonly ListedUpstream[] {
    return [...this.entries.values()].map(({upstream}) => upstream);
  }

  /** Upstreams list themselves again every second, mostly with no change. */
  private list(
    upstream: ListedUpstream,
    {readTo}: UpdateSource,
    now: number,
  ): void {
    const {upstreamId} = upstream;
    const known = this.entries.get(upstreamId);
    const isLapsing = known?.lapsesAt !== Infinity;
    if (!isLapsing && isDeepStrictEqual(known.upstream, upstream)) {
      return;
    }
    const isSameProcess = known?.upstream.bornAt === upstream.bornAt;
    const isRestarted = known !== undefined && !isSameProcess;
    if (isRestarted || known?.upstream.isLeaving !== upstream.isLeaving) {
      const state = upstream.isLeaving ? 'leaving' : 'listed';
      this.noteChange(upstream, state, isRestarted);
    }
    this.withdrawn.delete(upstreamId);
    this.entries.set(upstreamId, {
      upstream,
      knownSince: isSameProcess ? known.knownSince : now,
      lapsesAt: Infinity,
      changedTo: readTo,
    });
    this.byService.clear();
  }

  private withdraw(
    upstreamId: string,
    {readTo, relistedBy}: UpdateSource,
    now: number,
  ): void {
    const known = this.entries.get(upstreamId);
    if (known === undefined) {
      return;
    }
    if (now < relistedBy && !known.upstream.isLeaving) {
      const lapsesAt = Math.min(known.lapsesAt, relistedBy);
      this.entries.set(upstreamId, {...known, lapsesAt, changedTo: readTo});
      return;
    }
    this.remove(known, readTo);
  }

  private remove({upstream}: Entry, readTo: number): void {
    this.entries.delete(upstream.upstreamId);
    this.rememberWithdrawn(upstream.upstreamId, readTo);
    this.noteChange(upstream, 'withdrawn', false);
    this.byService.clear();
  }

  private rememberWithdrawn(upstreamId: string, readTo: number): void {
    this.withdrawn.delete(upstreamId);
    this.withdrawn.set(upstreamId, readTo);
    const [oldest] = this.withdrawn;
    if (this.withdrawn.size > MAXIMUM_WITHDRAWN && oldest !== undefined) {
      this.withdrawn.delete(oldest[0]);
      this.withdrawnSince = Math.max(this.withdrawnSince, oldest[1]);
    }
  }

  private dropLapsed(now: number): void {
    for (const entry of this.entries.values()) {
      if (now >= entry.lapsesAt) {
        this.remove(entry, entry.changedTo);
      }
    }
  }

  private noteChange(
    {upstreamId, service, failureDomain}: ListedUpstream,
    state: UpstreamChange['state'],
    isRestarted: boolean,
  ): void {
    const change = {upstreamId, service, failureDomain, state, isRestarted};
    this.changes = [...this.changes, change];
  }
}

function relayed({upstream, lapsesAt}: Entry, now: number): RelayedUpstream {
  return Number.isFinite(lapsesAt)
    ? {upstream, lapsesInMilliseconds: lapsesAt - now}
    : {upstream};
}
