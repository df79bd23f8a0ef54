/**
 * A second opinion on whether this host is cut off: it connects to some upstreams
 * that may be in reach. Several upstreams that end at once look like a cut.
 */
import {type ListedStart, shuffle} from '@lacewingwinch/decisions';

/** Upstreams to which the host connects at once. */
const TRIED_UPSTREAMS = 3;

/** Least milliseconds between two trials that no other host has requested. */
const PERIOD_MILLISECONDS = 250;

/** Dependencies of `CutOffTrial`. */
export interface CutOffTrialDependencies {
  readonly random: () => number;
  /** Returns the list of upstreams. */
  readonly listedStarts: () => readonly ListedStart[];
  /** Returns whether the host reaches none of several upstreams. */
  readonly isCutOff: (now: number) => boolean;
  /** Returns whether no connection to an upstream has failed lately. */
  readonly mayBeInReach: (upstreamId: string) => boolean;
  /** Connects to an upstream and records whether it worked. */
  readonly tryPath: (upstreamId: string) => Promise<unknown>;
}

/** The trials of one host. */
export class CutOffTrial {
  private current: Promise<void> | undefined;
  private startedAt = -Infinity;

  constructor(private readonly dependencies: CutOffTrialDependencies) {}

  /** Starts a trial if the host seems to be cut off and none was made lately. */
  startIfDue(now: number): void {
    if (now - this.startedAt >= PERIOD_MILLISECONDS) {
      void this.run(now);
    }
  }

  /** Resolves when it is known whether a host that seems to be cut off is. */
  run(now: number): Promise<void> {
    if (this.current !== undefined) {
      return this.current;
    }
    if (!this.dependencies.isCutOff(now)) {
      return Promise.resolve();
    }
    this.startedAt = now;
    this.current = this.tryPaths().finally(() => {
      this.current = undefined;
    });
    return this.current;
  }

  private async tryPaths(): Promise<void> {
    const {listedStarts, mayBeInReach, random, tryPath} = this.dependencies;
    const untried = listedStarts().filter(({upstreamId}) =>
      mayBeInReach(upstreamId),
    );
    await Promise.all(
      shuffle(untried, random)
        .slice(0, TRIED_UPSTREAMS)
        .map(({upstreamId}) => tryPath(upstreamId)),
    );
  }
}
