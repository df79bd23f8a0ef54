/**
 * Inquiries into lost connections: whether an upstream has ended, or the links of
 * this host were cut. What other hosts reach decides at once. Where they cannot say,
 * or reach an upstream that may have started again, a later start that the list
 * shows in its place proves that it ended.
 */
import {
  isReplacedBy,
  type ListedStart,
  type LostProcess,
  type ReachFinding,
} from '@lacewingwinch/decisions';
import type {EventLog} from '@lacewingwinch/observability';

import type {ReachQueries} from './reach_queries.js';

/** Milliseconds for which a later start is awaited. */
const PATIENCE_MILLISECONDS = 10_000;

/** Milliseconds between two looks at the list. */
const CHECK_PERIOD_MILLISECONDS = 250;

/** Largest number of losses that await a later start. */
const MAXIMUM_AWAITED = 1024;

/** Dependencies of `BlameInquiries`. */
export interface BlameInquiriesDependencies {
  readonly events: Pick<EventLog, 'write'>;
  readonly queries: Pick<ReachQueries, 'query'>;
  /** Returns steady clock readings in milliseconds. */
  readonly clock: () => number;
  /** Returns whether an upstream accepts a connection of this host. */
  readonly canConnect: (address: string) => Promise<boolean>;
  /** Returns the list of upstreams. */
  readonly listed: () => readonly ListedStart[];
}

/** A lost connection to an upstream. */
export interface LostConnection extends Omit<LostProcess, 'runningSince'> {
  /** See `UpstreamCrash`; undefined if it is not known. */
  readonly runningSince: number | undefined;
}

/** The loss of the last connection to an upstream. */
export interface EndedUpstream extends LostConnection {
  /** Time of the loss, in milliseconds since the epoch, the same on all hosts. */
  readonly time: number;
}

interface AwaitedStart {
  readonly lost: LostProcess;
  readonly until: number;
  readonly settle: (hasStarted: boolean) => void;
}

type Finding = ReachFinding | 'reached-here';

interface Inquiry {
  readonly lost: EndedUpstream;
  readonly finding: Promise<Finding>;
}

/** The inquiries of one host. */
export class BlameInquiries {
  /** Those under way; the requests that were lost with a process share one. */
  private readonly current = new Set<Inquiry>();
  private readonly awaited = new Set<AwaitedStart>();
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly dependencies: BlameInquiriesDependencies) {}

  /** Returns whether the upstream has ended, and not the link to it. */
  async hasEnded(lost: EndedUpstream): Promise<boolean> {
    const finding = await this.inquireOnce(lost);
    switch (finding) {
      case 'reached-here':
      case 'out-of-reach':
        return true;
      case 'reached':
      case 'unknown':
        return this.awaitLaterStart(lost);
    }
  }

  private inquireOnce(lost: EndedUpstream): Promise<Finding> {
    for (const inquiry of this.current) {
      if (mayBeOfSameProcess(inquiry.lost, lost)) {
        return inquiry.finding;
      }
    }
    const finding = this.inquire(lost).finally(() =>
      this.current.delete(inquiry),
    );
    const inquiry: Inquiry = {lost, finding};
    this.current.add(inquiry);
    return finding;
  }

  private async inquire({
    upstreamId,
    address,
  }: LostConnection): Promise<Finding> {
    const {canConnect, queries, events} = this.dependencies;
    if (await canConnect(address)) {
      return 'reached-here';
    }
    const {queried, answered, find} = await queries.query([upstreamId]);
    const finding = find(upstreamId);
    events.write(3017, {upstreamId, finding, queried, answered});
    return finding;
  }

  private awaitLaterStart({
    runningSince,
    ...upstream
  }: LostConnection): Promise<boolean> {
    if (runningSince === undefined || this.awaited.size >= MAXIMUM_AWAITED) {
      return Promise.resolve(false);
    }
    return new Promise(resolve => {
      this.awaited.add({
        lost: {...upstream, runningSince},
        until: this.dependencies.clock() + PATIENCE_MILLISECONDS,
        settle: resolve,
      });
      this.timer ??= setInterval(
        () => this.check(this.dependencies.clock()),
        CHECK_PERIOD_MILLISECONDS,
      ).unref();
    });
  }

  private check(now: number): void {
    const {listed, events} = this.dependencies;
    const lostIds = new Set<string>();
    const lostAddresses = new Set<string>();
    for (const {lost} of this.awaited) {
      lostIds.add(lost.upstreamId);
      lostAddresses.add(lost.address);
    }
    const candidates = listed().filter(
      ({upstreamId, address}) =>
        lostIds.has(upstreamId) || lostAddresses.has(address),
    );
    for (const awaited of this.awaited) {
      const {lost, until, settle} = awaited;
      const start = candidates.find(entry => isReplacedBy(lost, entry));
      if (start !== undefined) {
        events.write(3018, {
          upstreamId: lost.upstreamId,
          startedId: start.upstreamId,
        });
      }
      if (start !== undefined || now >= until) {
        this.awaited.delete(awaited);
        settle(start !== undefined);
      }
    }
    if (this.awaited.size === 0) {
      clearInterval(this.timer);
      this.timer = undefined;
    }
  }
}

/**
 * Returns whether two losses may be of one process. They are not if the connection of
 * one was opened after that of the other had been lost.
 */
function mayBeOfSameProcess(
  left: EndedUpstream,
  right: EndedUpstream,
): boolean {
  return (
    left.upstreamId === right.upstreamId &&
    left.address === right.address &&
    (left.runningSince ?? -Infinity) <= right.time &&
    (right.runningSince ?? -Infinity) <= left.time
  );
}
