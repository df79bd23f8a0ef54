/**
 * The task that appends claims to the log and reads them back.
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

/** Milliseconds in which the log must show a claim. */
export const CLAIM_TIMEOUT_MILLISECONDS = 3000;

/** Entries in one append, at most. */
const MAXIMUM_BATCH = 200;

/** Milliseconds before a refused append is tried again. */
const RETRY_MILLISECONDS = 100;

/** Milliseconds after which a release that the log does not show is repeated. */
const RELEASE_PERIOD_MILLISECONDS = 1000;

/** Milliseconds for which claims are remembered. */
const MEMORY_MILLISECONDS = 24 * 3_600_000;

/** Milliseconds between two rounds of forgetting. */
const FORGET_PERIOD_MILLISECONDS = 60_000;

type Entry = Claim | Release;

interface Waiter {
  readonly rightId: string;
  readonly resolve: (verdict: ClaimVerdict) => void;
}

/** What the task needs from others. */
export interface ClaimTaskContext {
  readonly log: LogService;
  readonly events: EventLog;
  readonly metrics: Metrics;
  readonly clock: () => number;
}

/** Appends claims in groups and decides them by the order of the log. */
export class ClaimTask implements StreamFollower {
  private readonly fold = new ClaimFold();
  private readonly waiters = new Map<string, readonly Waiter[]>();
  /** Releases that the log has not shown yet, by right. */
  private readonly releases = new Map<string, Release>();
  private pending: readonly Entry[] = [];
  private isAppending = false;
  private isReadable = false;
  private hasReadTail = false;

  constructor(private readonly context: ClaimTaskContext) {}

  /** Offset of the last record read. */
  get readTo(): number {
    return this.fold.readTo;
  }

  /** Whether the claims of the window have been read up to the tail. */
  get isCaughtUp(): boolean {
    return this.hasReadTail;
  }

  /** Runs until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const {log, events} = this.context;
    await Promise.all([
      followStream(log, 'claims', this, events, signal),
      this.repeatReleases(signal),
      this.forgetOld(signal),
    ]);
  }

  onReadable(isReadable: boolean): void {
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

  /** The claim that holds `key`, as far as the log was read. */
  winnerOf(key: string): Claim | undefined {
    return this.fold.winnerOf(key)?.claim;
  }

  /**
   * Appends `claim` and decides it by the order of the log. Fails with
   * `log-unavailable` when the log does not show the claim in time; it may
   * still appear there.
   */
  async decide(claim: Claim): Promise<ClaimVerdict> {
    // The first claim of a key stays the first, also while the log is down.
    const known = this.verdictOn(claim.key, claim.rightId);
    if (known !== undefined) {
      return known;
    }
    if (!this.hasReadTail || !this.isReadable) {
      throw new ServingError('log-unavailable');
    }
    this.enqueue(claim);
    return this.waitForVerdict(claim);
  }

  /** States that a right was destroyed unused. */
  release(key: string, rightId: string): void {
    const release: Release = {type: 'release', key, rightId};
    this.releases.set(rightId, release);
    this.enqueue(release);
  }

  private onEntry(entry: Entry): void {
    if (entry.type === 'release') {
      this.releases.delete(entry.rightId);
    }
    this.answerWaiters(entry.key);
  }

  private async repeatReleases(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await pause(RELEASE_PERIOD_MILLISECONDS, signal);
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
        this.context.metrics.claims.inc({verdict: 'undecided'});
        reject(new ServingError('log-unavailable'));
      }, CLAIM_TIMEOUT_MILLISECONDS);
      const waiting = this.waiters.get(claim.key) ?? [];
      this.waiters.set(claim.key, [...waiting, waiter]);
    });
  }

  private answerWaiters(key: string): void {
    const waiting = this.waiters.get(key) ?? [];
    if (waiting.length === 0 || this.winnerOf(key) === undefined) {
      return;
    }
    this.waiters.delete(key);
    for (const waiter of waiting) {
      const verdict = this.verdictOn(key, waiter.rightId);
      if (verdict !== undefined) {
        this.context.metrics.claims.inc({verdict: verdict.kind});
        waiter.resolve(verdict);
      }
    }
  }

  private removeWaiter(key: string, waiter: Waiter): void {
    const left = (this.waiters.get(key) ?? []).filter(
      other => other !== waiter,
    );
    if (left.length === 0) {
      this.waiters.delete(key);
      return;
    }
    this.waiters.set(key, left);
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
    // Entries of the same turn of the event loop share one append.
    await new Promise(resolve => {
      setImmediate(resolve);
    });
    while (this.pending.length > 0) {
      const entries = this.pending.slice(0, MAXIMUM_BATCH);
      this.pending = this.pending.slice(MAXIMUM_BATCH);
      const isRefused = await this.appendBatch(entries);
      if (isRefused) {
        const wanted = entries.filter(entry => this.isStillWanted(entry));
        this.pending = [...wanted, ...this.pending];
        await pause(RETRY_MILLISECONDS, new AbortController().signal);
      }
    }
  }

  private async appendBatch(entries: readonly Entry[]): Promise<boolean> {
    const record: ClaimRecord = {type: 'batch', entries};
    try {
      await this.context.log.append('claims', record);
      return false;
    } catch (error) {
      return error instanceof PlatformError && error.failure === 'refused';
    }
  }

  private isStillWanted(entry: Entry): boolean {
    switch (entry.type) {
      case 'claim':
        return this.waiters.has(entry.key);
      case 'release':
        return this.releases.has(entry.rightId);
    }
  }

  private async forgetOld(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await pause(FORGET_PERIOD_MILLISECONDS, signal);
      this.fold.forgetBefore(this.context.clock() - MEMORY_MILLISECONDS);
    }
  }
}
