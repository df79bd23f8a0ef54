/**
 * The task that sends this host's counts of started requests to the hosts that
 * may have to report them, so that the counts survive the loss of this host.
 */
import type {
  Member,
  OfferedLoads,
  ServiceLoadCounter,
  ServiceLoadReport,
  UsageWindows,
  VersionResultReport,
} from '@lacewingwinch/decisions';
import type {PeerClient} from '@lacewingwinch/entry-hosts';

import {isAborted} from '../../util/is_aborted.js';
import {pause} from '../../util/pause.js';

/**
 * Milliseconds between two pushes; counts younger than this are lost with their
 * host.
 */
const PUSH_PERIOD_MILLISECONDS = 1000;

/** Dependencies of `UsagePush`. */
export interface UsagePushDependencies {
  readonly processId: string;
  readonly usage: UsageWindows;
  readonly peers: PeerClient;
  /** Returns the hosts that may have to report usage, excluding this one. */
  readonly candidates: () => readonly Member[];
  readonly trueTime: () => number;
  /** Returns suspension-aware clock readings in milliseconds. */
  readonly clock: () => number;
  readonly loads: ServiceLoadCounter;
  /** The loads that were reported to this host, and its own. */
  readonly offeredLoads: OfferedLoads;
  /** Returns the services whose engines are ordered by load. */
  readonly plannedServices: () => readonly string[];
  /** Returns what this host reports on roll-outs that are in progress. */
  readonly versionResults: () => readonly VersionResultReport[];
}

/** Pushes this host's usage counts to the candidates for the duties. */
export class UsagePush {
  constructor(private readonly dependencies: UsagePushDependencies) {}

  /** Pushes periodically until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!isAborted(signal)) {
      await pause(PUSH_PERIOD_MILLISECONDS, signal);
      this.push();
    }
  }

  private push(): void {
    const {usage, peers, candidates, processId, trueTime} = this.dependencies;
    usage.dropOldWindows(trueTime());
    const counts = usage.list(processId);
    const loads = this.countedLoads();
    const versionResults = this.dependencies.versionResults();
    if (
      counts.length === 0 &&
      loads.length === 0 &&
      versionResults.length === 0
    ) {
      return;
    }
    for (const {addresses} of candidates()) {
      peers.notify(addresses.peers, 'usage.push', {
        counts,
        ...(loads.length > 0 && {loads}),
        ...(versionResults.length > 0 && {versionResults}),
      });
    }
  }

  /** Returns what this process counted, which it may need itself. */
  private countedLoads(): readonly ServiceLoadReport[] {
    const {loads, plannedServices, offeredLoads, clock} = this.dependencies;
    const reports = loads.reports(plannedServices());
    reports.forEach(report => offeredLoads.merge(report, clock()));
    return reports;
  }
}
