/**
 * The membership of an entry host on the platform.
 */
import {performance} from 'node:perf_hooks';

import {
  capacityOf,
  HostLoad,
  type Member,
  type Suspicion,
  type TrueTime,
} from '@lacewingwinch/decisions';
import type {PeerClient} from '@lacewingwinch/entry-hosts';
import type {EventLog, Metrics} from '@lacewingwinch/observability';
import type {PlatformSettings} from '@lacewingwinch/platform';

import type {UpstreamPaths} from '../../paths/upstream_paths.js';
import {MembershipTask} from '../../tasks/membership_task.js';
import type {PartWatch} from '../../tasks/part_watch.js';
import type {Clocks} from '../../util/clocks.js';

/** The quarantine of whole contents, as far as gossip carries it. */
export interface ContentQuarantine {
  gossipedVerdicts(): readonly Suspicion[];
  onGossip(received: readonly Suspicion[]): void;
}

/** Dependencies of the membership task. */
export interface RoutedMembershipDependencies {
  readonly settings: () => PlatformSettings;
  readonly clocks: Clocks;
  readonly peers: PeerClient;
  readonly events: EventLog;
  readonly metrics: Metrics;
  /** Returns the quarantine of prompt parts, which gossips its suspicions. */
  readonly parts: () => PartWatch;
  /** Returns the quarantine of whole contents, which gossips its verdicts. */
  readonly crashes: () => ContentQuarantine;
  /** Knows whether this host and others are cut off from the upstreams. */
  readonly paths: UpstreamPaths;
  /** Receives the times of day that other hosts report. */
  readonly trueTime: TrueTime;
  /**
   * Returns the version of the current configuration; -1 before the first one.
   */
  readonly version: () => number;
}

/** Creates the membership task of this process. */
export function createRoutedMembership(
  dependencies: RoutedMembershipDependencies,
): MembershipTask {
  const {
    settings,
    clocks,
    peers,
    events,
    metrics,
    parts,
    crashes,
    paths,
    trueTime,
    version,
  } = dependencies;
  const {hostId, failureDomain, addresses, limits} = settings();
  const ownMember: Member = {
    hostId,
    failureDomain,
    addresses: {
      callers: addresses.callers,
      peers: addresses.peers,
      operators: '',
      relay: addresses.relay,
    },
    ...(limits !== undefined && {capacity: capacityOf(limits)}),
    keepsVersionHistories: true,
    incarnation: clocks.timeOfDay(),
    status: 'joining',
  };
  const load = new HostLoad(clocks.steady());
  let lastUtilization = performance.eventLoopUtilization();
  return new MembershipTask(ownMember, {
    peers,
    events,
    metrics,
    clock: clocks.steady,
    random: Math.random,
    seeds: () => settings().seeds,
    measureBusy: () => {
      const current = performance.eventLoopUtilization();
      const {utilization} = performance.eventLoopUtilization(
        current,
        lastUtilization,
      );
      lastUtilization = current;
      return load.record(utilization, clocks.steady());
    },
    content: () => ({
      configurationReadTo: version(),
      leavingUpstreams: [],
      suspicions: crashes().gossipedVerdicts(),
      partSuspicions: parts().openSuspicions(),
      loads: [],
      demands: [],
      timeOfDay: clocks.timeOfDay(),
      ...(paths.isCutOff && {isCutOff: true}),
    }),
    onDigest: (sender, digest) => {
      const {timeOfDay, suspicions, partSuspicions, isCutOff} = digest;
      paths.recordHostCutOff(sender.hostId, isCutOff ?? false);
      crashes().onGossip(suspicions);
      parts().onGossip(partSuspicions ?? []);
      if (timeOfDay !== undefined) {
        trueTime.recordSample(sender.hostId, timeOfDay, clocks.steady());
      }
    },
  });
}
