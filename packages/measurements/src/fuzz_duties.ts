/**
 * Fuzzing of the duties: hosts take, renew and lose their lease in virtual time
 * while the store is restored from older copies, executes writes late and loses
 * answers, and hosts restart or stand still.
 */
import {
  canActOnDuties,
  canKeepDuties,
  canTakeOverDuties,
  type DutyRecord,
  type DutyView,
  eraOf,
  isOwnNewestRecord,
  KnownUsage,
  reconcileDutyRecord,
  storePosition,
  UsageWindows,
  windowsToReport,
  withFixedWindows,
} from '@lacewingwinch/decisions';
import * as fc from 'fast-check';

import {BrokenPromiseError} from './broken_promise_error.js';

const HOSTS = 3;
const LEASE_MILLISECONDS = 3000;
const WINDOW_MILLISECONDS = 1000;

/** Maximum number of steps in one run. */
const MAXIMUM_STEPS = 150;

/** How the store treats an append. */
type AppendFate = 'answered' | 'late' | 'lost';

/** One step of a sequence. */
export type DutyStep =
  | {readonly kind: 'pass'; readonly milliseconds: number}
  | {readonly kind: 'round'; readonly host: number; readonly fate: AppendFate}
  | {readonly kind: 'count'; readonly host: number}
  | {readonly kind: 'copy'}
  | {readonly kind: 'come-back'}
  | {readonly kind: 'release'}
  | {readonly kind: 'restart'; readonly host: number};

/** Returns an arbitrary sequence of steps. */
export function dutySteps(): fc.Arbitrary<readonly DutyStep[]> {
  const host = fc.nat({max: HOSTS - 1});
  const step: fc.Arbitrary<DutyStep> = fc.oneof(
    {
      weight: 6,
      arbitrary: fc.record({
        kind: fc.constant('pass' as const),
        milliseconds: fc.integer({min: 100, max: 2000}),
      }),
    },
    {
      weight: 10,
      arbitrary: fc.record({
        kind: fc.constant('round' as const),
        host,
        fate: fc.constantFrom<AppendFate>(
          'answered',
          'answered',
          'answered',
          'late',
          'lost',
        ),
      }),
    },
    {
      weight: 4,
      arbitrary: fc.record({kind: fc.constant('count' as const), host}),
    },
    {weight: 1, arbitrary: fc.constant({kind: 'copy' as const})},
    {weight: 1, arbitrary: fc.constant({kind: 'come-back' as const})},
    {weight: 1, arbitrary: fc.constant({kind: 'release' as const})},
    {
      weight: 1,
      arbitrary: fc.record({kind: fc.constant('restart' as const), host}),
    },
  );
  return fc.array(step, {maxLength: MAXIMUM_STEPS, size: 'max'});
}

/** Runs `steps`; throws a `BrokenPromiseError` if a guarantee is violated. */
export function runDutySteps(steps: readonly DutyStep[]): void {
  const system = new DutySystem();
  for (const step of steps) {
    system.run(step);
  }
}

interface StoredRecord {
  readonly record: DutyRecord;
  readonly offset: number;
}

interface StoreState {
  readonly newest: StoredRecord | undefined;
  readonly end: number;
}

interface PendingAppend {
  readonly record: DutyRecord;
  readonly atEnd: number;
}

interface Host {
  readonly isFirstStart: boolean;
  readonly processId: string;
  readonly known: KnownUsage;
  readonly usage: UsageWindows;
  view: DutyView | undefined;
  isHolder: boolean;
  renewalSentAt: number;
  ownRecord: DutyRecord | undefined;
  reportedTo: number;
}

class DutySystem {
  private now = 1e6;
  private processes = 0;
  private era = 0;
  private store: StoreState = {newest: undefined, end: 0};
  private copied: StoreState = {newest: undefined, end: 0};
  private readonly pending: PendingAppend[] = [];
  private readonly hosts: Host[];
  private readonly reported = new Map<number, string>();
  private readonly fenceHolders = new Map<number, string>();
  private highestFence = -1;

  constructor() {
    this.hosts = Array.from({length: HOSTS}, () => this.startHost());
  }

  run(step: DutyStep): void {
    switch (step.kind) {
      case 'pass':
        this.now += step.milliseconds;
        return;
      case 'round':
        this.runRound(step.host, step.fate);
        return;
      case 'count':
        this.hostAt(step.host).usage.add('process', 'workspace', this.now);
        return;
      case 'copy':
        this.copied = this.store;
        return;
      case 'come-back':
        this.era += 1;
        this.store = this.copied;
        return;
      case 'release':
        this.pending.splice(0).forEach(append => this.execute(append));
        return;
      case 'restart':
        this.hosts.splice(step.host, 1, this.startHost());
    }
  }

  private startHost(): Host {
    this.processes += 1;
    return {
      isFirstStart: this.processes <= HOSTS,
      processId: `process-${this.processes}`,
      known: new KnownUsage(),
      usage: new UsageWindows(WINDOW_MILLISECONDS),
      view: undefined,
      isHolder: false,
      renewalSentAt: -Infinity,
      ownRecord: undefined,
      reportedTo: -1,
    };
  }

  private hostAt(index: number): Host {
    const host = this.hosts[index];
    if (host === undefined) {
      throw new RangeError(`there is no host ${index}`);
    }
    return host;
  }

  private runRound(index: number, fate: AppendFate): void {
    const host = this.hostAt(index);
    if (!host.isHolder || host.view === undefined) {
      this.readView(host);
    }
    const {view} = host;
    if (view === undefined) {
      return;
    }
    if (
      host.isHolder &&
      !canKeepDuties(view, host, LEASE_MILLISECONDS, this.now)
    ) {
      loseDuties(host);
      return;
    }
    const canTake =
      isOwnNewestRecord(view, host.processId) ||
      canTakeOverDuties(view, index, LEASE_MILLISECONDS, this.now);
    if (!host.isHolder && !canTake) {
      return;
    }
    if (this.renew(host, view, fate)) {
      this.report(host, index);
    }
  }

  private readView(host: Host): void {
    const {newest, end} = this.store;
    const position =
      newest === undefined ? undefined : storePosition(this.era, newest.offset);
    const isUnchanged =
      host.view !== undefined &&
      host.view.position === position &&
      eraOf(host.view.end) === this.era;
    if (newest !== undefined) {
      host.known.remember(newest.record, this.era);
    }
    host.view = {
      record: newest?.record,
      position,
      end: storePosition(this.era, end),
      seenAt: isUnchanged ? (host.view?.seenAt ?? this.now) : this.now,
      isFirstEra: host.isFirstStart && this.era === 0,
    };
  }

  private renew(host: Host, view: DutyView, fate: AppendFate): boolean {
    const era = eraOf(view.end);
    const isLeaseValid =
      host.isHolder &&
      canActOnDuties(host.renewalSentAt, LEASE_MILLISECONDS, this.now);
    const previous =
      isLeaseValid && host.ownRecord !== undefined
        ? host.ownRecord
        : reconcileDutyRecord(view, {
            known: host.known,
            currentWindow: host.usage.windowOf(this.now),
          });
    const windows = host.usage
      .windowsToFix(previous, this.now)
      .map(window => [window, host.usage.total(window)] as const);
    const record = withFixedWindows(
      {
        ...previous,
        reportedTo: Math.max(previous.reportedTo, host.reportedTo),
        holder: host.processId,
        processId: host.processId,
        era,
      },
      windows,
    );
    const append = {record, atEnd: view.end % storePosition(1, 0)};
    if (fate === 'late') {
      this.pending.push(append);
      loseDuties(host);
      return false;
    }
    if (era !== this.era) {
      host.view = undefined;
      return false;
    }
    const wasExecuted = this.execute(append);
    if (!wasExecuted || fate === 'lost') {
      loseDuties(host);
      return false;
    }
    host.view = {
      record,
      position: storePosition(era, append.atEnd),
      end: storePosition(era, append.atEnd + 1),
      seenAt: this.now,
      isFirstEra: view.isFirstEra,
    };
    host.ownRecord = record;
    host.known.remember(record, era);
    host.isHolder = true;
    host.renewalSentAt = this.now;
    return true;
  }

  private execute({record, atEnd}: PendingAppend): boolean {
    if (this.store.end !== atEnd) {
      return false;
    }
    this.store = {newest: {record, offset: atEnd}, end: atEnd + 1};
    return true;
  }

  private report(host: Host, index: number): void {
    const {view} = host;
    if (view?.record === undefined || view.position === undefined) {
      return;
    }
    this.checkFence(host, index, view.position);
    for (const window of windowsToReport(view.record)) {
      const counts = JSON.stringify(view.record.fixedUsage[String(window)]);
      const accepted = this.reported.get(window) ?? counts;
      if (accepted !== counts) {
        throw new BrokenPromiseError(
          `window ${window} was reported as ${accepted} and as ${counts}`,
        );
      }
      this.reported.set(window, counts);
      host.reportedTo = Math.max(host.reportedTo, window);
    }
  }

  private checkFence(host: Host, index: number, fence: number): void {
    const other = this.hosts.find(
      (candidate, otherIndex) =>
        otherIndex !== index &&
        candidate.isHolder &&
        canActOnDuties(candidate.renewalSentAt, LEASE_MILLISECONDS, this.now),
    );
    if (other !== undefined) {
      throw new BrokenPromiseError(
        `${host.processId} and ${other.processId} hold the duties at once`,
      );
    }
    if (fence < this.highestFence) {
      throw new BrokenPromiseError(`the fencing number fell to ${fence}`);
    }
    this.highestFence = fence;
    const user = this.fenceHolders.get(fence) ?? host.processId;
    if (user !== host.processId) {
      throw new BrokenPromiseError(
        `two hosts used the fencing number ${fence}`,
      );
    }
    this.fenceHolders.set(fence, user);
  }
}

function loseDuties(host: Host): void {
  host.isHolder = false;
  host.renewalSentAt = -Infinity;
  host.view = undefined;
}
