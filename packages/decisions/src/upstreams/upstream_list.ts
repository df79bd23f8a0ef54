/**
 * The upstreams that the platform lists, as one entry host believes them.
 */

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

/** An upstream as one host tells another. */
export interface RelayedUpstream {
  readonly upstream: ListedUpstream;
  /**
   * Milliseconds until it is taken as gone unless it comes back, if its entry
   * lapsed in an outage.
   */
  readonly lapsesInMilliseconds?: number;
}

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
}

/**
 * Milliseconds that upstreams need to list themselves again after an outage of
 * the store, by the platform's contract.
 */
export const RELIST_MILLISECONDS = 2000;

/** The listed upstreams. */
export class UpstreamList {
  private readonly entries = new Map<string, Entry>();
  private revision = 0;
  private readonly byService = new Map<string, readonly UsableUpstream[]>();

  /** Grows with each change. */
  get version(): number {
    return this.revision;
  }

  /**
   * Takes updates read from the store. Entries that lapsed while it was away
   * have until `relistedBy` to come back; later withdrawals hold at once.
   */
  apply(
    updates: readonly UpstreamUpdate[],
    relistedBy: number,
    now: number,
  ): void {
    for (const update of updates) {
      switch (update.kind) {
        case 'listed':
          this.list(update.upstream, now);
          break;
        case 'withdrawn':
          this.withdraw(update.upstreamId, relistedBy, now);
          break;
      }
    }
  }

  /** Replaces the whole list by what the store holds now; see `apply`. */
  replace(
    upstreams: readonly ListedUpstream[],
    relistedBy: number,
    now: number,
  ): void {
    const listed = new Set(upstreams.map(({upstreamId}) => upstreamId));
    for (const upstream of upstreams) {
      this.list(upstream, now);
    }
    for (const upstreamId of [...this.entries.keys()]) {
      if (!listed.has(upstreamId)) {
        this.withdraw(upstreamId, relistedBy, now);
      }
    }
  }

  /** The list for another host. */
  relay(now: number): readonly RelayedUpstream[] {
    this.dropLapsed(now);
    return [...this.entries.values()].map(({upstream, lapsesAt}) =>
      Number.isFinite(lapsesAt)
        ? {upstream, lapsesInMilliseconds: lapsesAt - now}
        : {upstream},
    );
  }

  /** Replaces the whole list by what another host believes. */
  takeRelayed(relayed: readonly RelayedUpstream[], now: number): void {
    this.replace(
      relayed.map(({upstream}) => upstream),
      -Infinity,
      now,
    );
    for (const {upstream, lapsesInMilliseconds} of relayed) {
      if (lapsesInMilliseconds !== undefined) {
        this.withdraw(upstream.upstreamId, now + lapsesInMilliseconds, now);
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

  private list(upstream: ListedUpstream, now: number): void {
    const known = this.entries.get(upstream.upstreamId);
    const isSameProcess = known?.upstream.bornAt === upstream.bornAt;
    this.entries.set(upstream.upstreamId, {
      upstream,
      knownSince: isSameProcess ? known.knownSince : now,
      lapsesAt: Infinity,
    });
    this.noteChange();
  }

  private withdraw(upstreamId: string, relistedBy: number, now: number): void {
    const known = this.entries.get(upstreamId);
    if (known === undefined) {
      return;
    }
    if (now < relistedBy && !known.upstream.isLeaving) {
      const lapsesAt = Math.min(known.lapsesAt, relistedBy);
      this.entries.set(upstreamId, {...known, lapsesAt});
      return;
    }
    this.entries.delete(upstreamId);
    this.noteChange();
  }

  private dropLapsed(now: number): void {
    for (const [upstreamId, {lapsesAt}] of this.entries) {
      if (now >= lapsesAt) {
        this.entries.delete(upstreamId);
        this.noteChange();
      }
    }
  }

  private noteChange(): void {
    this.revision += 1;
    this.byService.clear();
  }
}
