/**
 * Keeps the histories of software versions in the store, and restores those of
 * before the start of this host. Store readers write them, each after those before
 * it in a hash order, so that usually one write and no conflict follow a change.
 */
import {
  decodeVersionHistory,
  eraOf,
  type KnownVersions,
  type ListedUpstream,
  rendezvousOrder,
  reviseVersionHistory,
  type SoftwareVersions,
  type VersionHistory,
} from '@lacewingwinch/decisions';
import type {EventLog} from '@lacewingwinch/observability';
import type {StoreClient} from '@lacewingwinch/platform';

import {ChangeNotifier} from '../../util/change_notifier.js';
import type {Clocks} from '../../util/clocks.js';
import {isAborted} from '../../util/is_aborted.js';
import {messageOf} from '../../util/message_of.js';
import {pause} from '../../util/pause.js';

/** Milliseconds within which the store must answer. */
const STORE_TIMEOUT_MILLISECONDS = 1000;

/** Milliseconds between two rounds without a change of the list. */
const ROUND_MILLISECONDS = 1000;

/** Milliseconds by which each store reader follows the one before it. */
const RANK_DELAY_MILLISECONDS = 40;

/** Writes with conflicts after which the next round tries again. */
const MAXIMUM_ATTEMPTS = 4;

/** Dependencies of `VersionRecorder`. */
export interface VersionRecorderDependencies {
  readonly store: Pick<StoreClient, 'appendKeyed' | 'newest'>;
  readonly events: EventLog;
  readonly clocks: Clocks;
  /** Returns milliseconds since the epoch, the same on all hosts. */
  readonly trueTime: () => number;
  readonly hostId: string;
  readonly versions: SoftwareVersions;
  /** Returns the list of upstreams; undefined before it was read. */
  readonly listed: () => readonly ListedUpstream[] | undefined;
  /** Returns the position up to which the list was read. */
  readonly listReadTo: () => number | undefined;
  /** Returns the ids of the hosts that read the store, including this one. */
  readonly storeReaders: () => readonly string[];
  /** Returns whether every known host writes histories. */
  readonly isKeptByAllHosts: () => boolean;
  /**
   * Called when versions of before the start of this host may be known, with the era
   * of the store.
   */
  readonly onRestored: (era: number) => void;
}

/** The histories as last read, and up to where. */
interface ReadHistories {
  readonly byService: ReadonlyMap<string, VersionHistory>;
  readonly end: number;
  /** What the read depends on: a change requires another one. */
  readonly basis: string;
}

/** The histories of software versions of one host. */
export class VersionRecorder {
  private read: ReadHistories | undefined;
  private readonly changes = new ChangeNotifier();

  constructor(private readonly dependencies: VersionRecorderDependencies) {}

  /** Records that the list of upstreams has changed. */
  onListChange(): void {
    this.changes.notify();
  }

  /** Keeps the histories until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!isAborted(signal)) {
      try {
        await this.update(signal);
      } catch (error) {
        const {events} = this.dependencies;
        events.write(2002, {stream: 'versions', error: messageOf(error)});
      }
      await this.changes.nextWithin(ROUND_MILLISECONDS, signal);
    }
  }

  private async update(signal: AbortSignal): Promise<void> {
    const {listed, storeReaders, hostId} = this.dependencies;
    const upstreams = listed();
    if (upstreams === undefined) {
      return;
    }
    const basis = this.basisOf(upstreams);
    this.read ??= await this.load(basis);
    const isUpToDate =
      this.read.basis === basis &&
      this.revisions(this.read, upstreams).length === 0;
    if (isUpToDate) {
      return;
    }
    const readers = storeReaders();
    if (!readers.includes(hostId)) {
      if (this.read.basis !== basis) {
        await this.load(basis);
      }
      return;
    }
    const rank = rendezvousOrder('versions', readers).indexOf(hostId);
    await pause(rank * RANK_DELAY_MILLISECONDS, signal);
    await this.revise(signal);
  }

  /** Reads the histories again and writes those that are out of date. */
  private async revise(signal: AbortSignal): Promise<void> {
    const {listed} = this.dependencies;
    for (let attempt = 0; attempt < MAXIMUM_ATTEMPTS; attempt += 1) {
      const upstreams = listed();
      if (upstreams === undefined || signal.aborted) {
        return;
      }
      const read = await this.load(this.basisOf(upstreams));
      if (await this.write(read, upstreams)) {
        return;
      }
    }
  }

  /** Reads the histories and restores what they prove. */
  private async load(basis: string): Promise<ReadHistories> {
    const {store, versions, isKeptByAllHosts} = this.dependencies;
    const {records, end} = await store.newest('versions', {
      timeoutMilliseconds: STORE_TIMEOUT_MILLISECONDS,
    });
    const histories = records.flatMap(({value}) =>
      value === undefined ? [] : (decodeVersionHistory(value) ?? []),
    );
    const toClock = this.converterToClock();
    for (const {completeSince, ...history} of histories) {
      const isProof = history.era === eraOf(end) && isKeptByAllHosts();
      versions.restore(
        isProof && completeSince !== undefined
          ? {...history, completeSince}
          : history,
        toClock,
      );
    }
    const byService = new Map(
      histories.map(history => [history.service, history]),
    );
    this.read = {byService, end, basis};
    this.dependencies.onRestored(eraOf(end));
    return this.read;
  }

  /** Writes what is out of date; returns whether nothing more is to be done. */
  private async write(
    read: ReadHistories,
    upstreams: readonly ListedUpstream[],
  ): Promise<boolean> {
    const {store, events} = this.dependencies;
    const byService = new Map(read.byService);
    let {end} = read;
    for (const history of this.revisions(read, upstreams)) {
      const result = await store.appendKeyed(
        'versions',
        history.service,
        Buffer.from(JSON.stringify(history)),
        {timeoutMilliseconds: STORE_TIMEOUT_MILLISECONDS, atEnd: end},
      );
      if (result.kind !== 'appended') {
        return false;
      }
      events.write(3019, {
        service: history.service,
        versions: history.versions
          .map(({softwareVersion}) => softwareVersion)
          .join(' '),
      });
      end = result.position + 1;
      byService.set(history.service, history);
    }
    this.read = {...read, byService, end};
    return true;
  }

  private revisions(
    {byService, end}: ReadHistories,
    upstreams: readonly ListedUpstream[],
  ): readonly VersionHistory[] {
    const now = this.dependencies.trueTime();
    const listed = listedByService(upstreams);
    const services = new Set([...byService.keys(), ...listed.keys()]);
    return [...services].flatMap(service => {
      const known = this.knownOf(service, listed.get(service), eraOf(end));
      return reviseVersionHistory(byService.get(service), known, now) ?? [];
    });
  }

  private knownOf(
    service: string,
    listed: ReadonlySet<string> = new Set(),
    era: number,
  ): KnownVersions {
    const {versions, isKeptByAllHosts} = this.dependencies;
    const toTime = this.converterToTime();
    const completeSince = versions.completeSinceOf(service);
    return {
      service,
      era,
      listed,
      lastListed: new Map(
        [...versions.lastListedOf(service)]
          .filter(([version]) => !listed.has(version))
          .map(([version, at]) => [version, toTime(at)]),
      ),
      completeSince:
        completeSince === undefined || !isKeptByAllHosts()
          ? undefined
          : Math.max(0, toTime(completeSince)),
    };
  }

  /** What a read of the histories depends on. */
  private basisOf(upstreams: readonly ListedUpstream[]): string {
    const {versions, listReadTo, isKeptByAllHosts} = this.dependencies;
    const listed = [...listedByService(upstreams)].map(
      ([service, names]) => [service, [...names].sort()] as const,
    );
    return JSON.stringify([
      listed.sort(([left], [right]) => (left < right ? -1 : 1)),
      versions.gapCount,
      eraOf(listReadTo() ?? 0),
      isKeptByAllHosts(),
    ]);
  }

  private converterToClock(): (time: number) => number {
    const {clocks, trueTime} = this.dependencies;
    const difference = clocks.suspensionAware() - trueTime();
    return time => time + difference;
  }

  private converterToTime(): (reading: number) => number {
    const {clocks, trueTime} = this.dependencies;
    const difference = trueTime() - clocks.suspensionAware();
    return reading => reading + difference;
  }
}

function listedByService(
  upstreams: readonly ListedUpstream[],
): ReadonlyMap<string, ReadonlySet<string>> {
  const byService = new Map<string, Set<string>>();
  for (const {service, softwareVersion} of upstreams) {
    const names = byService.get(service) ?? new Set<string>();
    names.add(softwareVersion);
    byService.set(service, names);
  }
  return byService;
}
