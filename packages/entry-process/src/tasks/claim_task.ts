/**
 * The task that appends claims to the log and decides them by reading the log
 * back.
 */
import {
  type Claim,
  CLAIM_RECORD_SCHEMA,
  ClaimFold,
  type ClaimRecord,
  type Release,
  ServingError,
} from '@lacewingwinch/decisions';
import type {ClaimVerdict} from '@lacewingwinch/entry-hosts';
import type {EventLog, Metrics} from '@lacewingwinch/observability';
import {
  type LogPage,
  type LogService,
  PlatformError,
} from '@lacewingwinch/platform';

import {pause} from '../util/pause.js';
import {followStream, type StreamFollower} from './follow_stream.js';

/** Milliseconds within which a claim must be read back from the log. */
export const CLAIM_TIMEOUT_MILLISECONDS = 3000;

/** Maximum number of entries in one append. */
const MAXIMUM_ENTRIES_PER_APPEND = 200;

/** Milliseconds before a refused append is retried. */
const APPEND_RETRY_DELAY_MILLISECONDS = 100;

/** Milliseconds between two appends of a release not yet read from the log. */
const RELEASE_RETRY_PERIOD_MILLISECONDS = 1000;

/** Milliseconds for which claims are kept in memory. */
const CLAIM_RETENTION_MILLISECONDS = 24 * 3_600_000;

/** Milliseconds between two removals of old claims. */
const EXPIRY_PERIOD_MILLISECONDS = 60_000;

type Entry = Claim | Release;

interface Waiter {
  readonly rightId: string;
  readonly resolve: (verdict: ClaimVerdict) => void;
}

/** Dependencies of `ClaimTask`. */
export interface ClaimTaskDependencies {
  readonly log: LogService;
  readonly events: EventLog;
  readonly metrics: Metrics;
  readonly clock: () => number;
}

/** Appends claims in batches and decides them by their order in the log. */
export class ClaimTask implements StreamFollower {
  private readonly fold = new ClaimFold();
  private readonly waiters = new Map<string, readonly Waiter[]>();
  /** Releases not yet read back from the log, by right id. */
  private readonly releases = new Map<string, Release>();
  private pending: readonly Entry[] = [];
  private isAppending = false;
  private isReadable = false;
  private hasReadTail = false;

  constructor(private readonly dependencies: ClaimTaskDependencies) {}

  /** Offset of the last record read. */
  get readTo(): number {
    return this.fold.readTo;
  }

  /** Whether the claim stream has been read up to its tail. */
  get isCaughtUp(): boolean {
    return this.hasReadTail;
  }

  /** Runs until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const {log, events} = this.dependencies;
    await Promise.all([
      followStream(log, 'claims', this, events, signal),
      this.retryReleases(signal),
      this.expireClaims(signal),
    ]);
  }

  setReadable(isReadable: boolean): void {
    this.isReadable = isReadable;
  }

  onPage(page: LogPage): void {
    for (const record of page.records) {
      this.fold.fold(record);
      const parsed = CLAIM_RECORD_SCHEMA.safeParse(record.data);
      for (const entry of parsed.data?.entries ?? []) {
        this.onEntry(entry);
      }
    }
    if (this.readTo >= page.tail - 1 || page.records.length === 0) {
      this.hasReadTail = true;
    }
  }

  /** Returns the claim that won `key` in the part of the log read so far. */
  winnerOf(key: string): Claim | undefined {
    return this.fold.winnerOf(key)?.claim;
  }

  /**
   * Appends `claim` and decides it by its order in the log. Fails with
   * `log-unavailable` if the claim is not read back in time; it may still
   * appear in the log later.
   */
  async decide(claim: Claim): Promise<ClaimVerdict> {
    // The winner of a key never changes, so it is valid even while the log is
    // down.
    const verdict = this.verdictOn(claim.key, claim.rightId);
    if (verdict !== undefined) {
      return verdict;
    }
    if (!this.hasReadTail || !this.isReadable) {
      throw new ServingError('log-unavailable');
    }
    this.enqueue(claim);
    return this.waitForVerdict(claim);
  }

  /** Appends a release: the right was destroyed without being used. */
  release(key: string, rightId: string): void {
    const release: Release = {type: 'release', key, rightId};
    this.releases.set(rightId, release);
    this.enqueue(release);
  }

  private onEntry(entry: Entry): void {
    if (entry.type === 'release') {
      this.releases.delete(entry.rightId);
    }
    this.resolveWaiters(entry.key);
  }

  private async retryReleases(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await pause(RELEASE_RETRY_PERIOD_MILLISECONDS, signal);
      if (this.isReadable && this.pending.length === 0) {
        this.releases.forEach(release => this.enqueue(release));
      }
    }
  }

  private verdictOn(key: string, rightId: string): ClaimVerdict | undefined {
    const winner = this.winnerOf(key);
    if (winner === undefined) {
      return undefined;
    }
    return winner.rightId === rightId ? {kind: 'won'} : {kind: 'lost', winner};
  }

  private waitForVerdict(claim: Claim): Promise<ClaimVerdict> {
    return new Promise((resolve, reject) => {
      const waiter: Waiter = {
        rightId: claim.rightId,
        resolve: verdict => {
          clearTimeout(timer);
          resolve(verdict);
        },
      };
      const timer = setTimeout(() => {
        this.removeWaiter(claim.key, waiter);
        this.dependencies.metrics.claims.inc({verdict: 'undecided'});
        reject(new ServingError('log-unavailable'));
      }, CLAIM_TIMEOUT_MILLISECONDS);
      const waiters = this.waiters.get(claim.key) ?? [];
      this.waiters.set(claim.key, [...waiters, waiter]);
    });
  }

  private resolveWaiters(key: string): void {
    const waiters = this.waiters.get(key) ?? [];
    if (waiters.length === 0 || this.winnerOf(key) === undefined) {
      return;
    }
    this.waiters.delete(key);
    for (const waiter of waiters) {
      const verdict = this.verdictOn(key, waiter.rightId);
      if (verdict !== undefined) {
        this.dependencies.metrics.claims.inc({verdict: verdict.kind});
        waiter.resolve(verdict);
      }
    }
  }

  private removeWaiter(key: string, waiter: Waiter): void {
    const remaining = (this.waiters.get(key) ?? []).filter(
      other => other !== waiter,
    );
    if (remaining.length === 0) {
      this.waiters.delete(key);
      return;
    }
    this.waiters.set(key, remaining);
  }

  private enqueue(entry: Entry): void {
    this.pending = [...this.pending, entry];
    if (!this.isAppending) {
      this.isAppending = true;
      void this.appendPending().finally(() => {
        this.isAppending = false;
      });
    }
  }

  private async appendPending(): Promise<void> {
    // Entries of the same event loop turn share one append.
    await new Promise(resolve => {
      setImmediate(resolve);
    });
    while (this.pending.length > 0) {
      const entries = this.pending.slice(0, MAXIMUM_ENTRIES_PER_APPEND);
      this.pending = this.pending.slice(MAXIMUM_ENTRIES_PER_APPEND);
      const isRefused = await this.appendBatch(entries);
      if (isRefused) {
        const retried = entries.filter(entry => this.isStillNeeded(entry));
        this.pending = [...retried, ...this.pending];
        await pause(
          APPEND_RETRY_DELAY_MILLISECONDS,
          new AbortController().signal,
        );
      }
    }
  }

  private async appendBatch(entries: readonly Entry[]): Promise<boolean> {
    const record: ClaimRecord = {type: 'batch', entries};
    try {
      await this.dependencies.log.append('claims', record);
      return false;
    } catch (error) {
      return error instanceof PlatformError && error.failure === 'refused';
    }
  }

  private isStillNeeded(entry: Entry): boolean {
    switch (entry.type) {
      case 'claim':
        return this.waiters.has(entry.key);
      case 'release':
        return this.releases.has(entry.rightId);
    }
  }

  private async expireClaims(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await pause(EXPIRY_PERIOD_MILLISECONDS, signal);
      this.fold.forgetBefore(
        this.dependencies.clock() - CLAIM_RETENTION_MILLISECONDS,
      );
    }
  }
}
