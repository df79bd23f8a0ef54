/**
 * The software versions of the upstreams of each service that one host has seen
 * listed. While a service has had a single version for longer than a stream
 * lasts, the version that began any of its streams is known without a record.
 */
import type {ListedUpstream} from '../upstreams/listed_upstream.js';
import type {VersionHistory} from './version_history.js';

/** The versions of a service within some time. */
export interface SeenVersions {
  readonly versions: readonly string[];
  /** Whether no other version can have been listed within that time. */
  readonly isComplete: boolean;
}

/** What a read of the list of upstreams covers. */
export type ReadCoverage =
  /** Every listing since the read before. */
  | 'every-listing'
  /** The listings that are in force; others may have come and gone. */
  | 'listings-in-force';

/**
 * Milliseconds between two reads within which no upstream comes, takes a stream
 * and goes.
 */
const MAXIMUM_GAP_MILLISECONDS = 2000;

/** Age of the last read above which a version may have come since. */
const MAXIMUM_AGE_MILLISECONDS = 2000;

/** Largest number of versions remembered for one service. */
const MAXIMUM_VERSIONS = 64;

/** The software versions that one host has seen. */
export class SoftwareVersions {
  /** Time of the last listing by service and version. */
  private readonly lastListed = new Map<string, Map<string, number>>();
  private lastReadAt = -Infinity;
  private completeSince: number | undefined;
  /** Time since which a history of the store covers what came before the reads. */
  private readonly restoredSince = new Map<string, number>();
  private gaps = 0;

  /** `isFirstStart`: whether no upstream was listed before this host started. */
  constructor(private readonly isFirstStart: boolean) {}

  /** Records that an upstream is listed. */
  recordListing(
    {
      service,
      softwareVersion,
    }: Pick<ListedUpstream, 'service' | 'softwareVersion'>,
    now: number,
  ): void {
    const versions = this.lastListed.get(service) ?? new Map<string, number>();
    // The version that was listed last is at the end.
    versions.delete(softwareVersion);
    versions.set(softwareVersion, now);
    const [oldest] = versions.keys();
    if (versions.size > MAXIMUM_VERSIONS && oldest !== undefined) {
      versions.delete(oldest);
    }
    this.lastListed.set(service, versions);
  }

  /** Number of times at which versions may have come and gone between two reads. */
  get gapCount(): number {
    return this.gaps;
  }

  /**
   * Adds what the store knows of a service from before the reads of this host.
   * `toClock` converts milliseconds since the epoch. A version that the history has
   * as listed, and that is not, may have been until the reads began.
   */
  restore(
    {service, completeSince, versions}: VersionHistory,
    toClock: (time: number) => number,
  ): void {
    const readsBegan = this.completeSince;
    if (readsBegan === undefined) {
      return;
    }
    const lastListed =
      this.lastListed.get(service) ?? new Map<string, number>();
    for (const {softwareVersion, listedUntil} of versions.slice(
      0,
      MAXIMUM_VERSIONS,
    )) {
      const listedAt =
        listedUntil === undefined ? readsBegan : toClock(listedUntil);
      const known = lastListed.get(softwareVersion) ?? -Infinity;
      if (listedAt > known) {
        lastListed.set(softwareVersion, listedAt);
      }
    }
    this.lastListed.set(service, lastListed);
    if (completeSince === undefined) {
      this.restoredSince.delete(service);
    } else {
      this.restoredSince.set(service, toClock(completeSince));
    }
  }

  /** Returns the time since which no version of `service` is missing, if known. */
  completeSinceOf(service: string): number | undefined {
    return this.completeSince === undefined
      ? undefined
      : Math.min(
          this.completeSince,
          this.restoredSince.get(service) ?? Infinity,
        );
  }

  /** Returns the time at which each version of `service` was last listed. */
  lastListedOf(service: string): ReadonlyMap<string, number> {
    return this.lastListed.get(service) ?? new Map<string, number>();
  }

  /** Records a read of the list, whose listings have been recorded. */
  recordRead(coverage: ReadCoverage, now: number): void {
    if (this.completeSince === undefined) {
      this.completeSince = this.isFirstStart ? -Infinity : now;
    } else if (
      coverage === 'listings-in-force' &&
      now - this.lastReadAt > MAXIMUM_GAP_MILLISECONDS
    ) {
      this.completeSince = now;
      this.restoredSince.clear();
      this.gaps += 1;
    }
    this.lastReadAt = now;
  }

  /** Returns whether versions may be missing that were listed within `milliseconds`. */
  hasGapWithin(service: string, milliseconds: number, now: number): boolean {
    const completeSince = this.completeSinceOf(service);
    return completeSince === undefined || completeSince > now - milliseconds;
  }

  /** Returns the versions of `service` that were listed within `milliseconds`. */
  seenWithin(service: string, milliseconds: number, now: number): SeenVersions {
    const versions = [...(this.lastListed.get(service) ?? [])]
      .filter(([, listedAt]) => listedAt >= now - milliseconds)
      .map(([version]) => version);
    const isComplete =
      !this.hasGapWithin(service, milliseconds, now) &&
      now - this.lastReadAt <= MAXIMUM_AGE_MILLISECONDS;
    return {versions, isComplete};
  }
}
