/**
 * The peer methods of a process on the platform, called by other entry hosts.
 */
import type {
  OfferedLoads,
  UsageWindows,
  WorkspaceQuota,
} from '@lacewingwinch/decisions';
import type {PeerHandlers} from '@lacewingwinch/entry-hosts';

import type {UpstreamPaths} from '../../paths/upstream_paths.js';
import type {MembershipTask} from '../../tasks/membership_task.js';
import type {PartWatch} from '../../tasks/part_watch.js';
import type {Clocks} from '../../util/clocks.js';
import type {QuotaExchange} from '../admission/quota_exchange.js';
import type {CrashWatch} from '../evidence/crash_watch.js';
import type {RoutedPlacement} from '../placement/routed_placement.js';
import type {RequestExplainer} from '../requests/request_explainer.js';
import type {StateRelay} from '../state/state_relay.js';
import type {StreamOriginExchange} from '../state/stream_origin_exchange.js';
import type {RoutedRollouts} from './routed_rollouts.js';

/** Dependencies of the peer methods. */
export interface RoutedPeerDependencies {
  readonly membership: MembershipTask;
  readonly placement: RoutedPlacement;
  readonly relay: StateRelay;
  readonly usage: UsageWindows;
  readonly rollouts: RoutedRollouts;
  readonly offeredLoads: OfferedLoads;
  readonly clocks: Clocks;
  readonly quotas: QuotaExchange;
  readonly crashes: CrashWatch;
  readonly parts: PartWatch;
  readonly streams: StreamOriginExchange;
  readonly paths: UpstreamPaths;
  readonly explainer: RequestExplainer;
  readonly quotaOf: (workspace: string) => WorkspaceQuota | undefined;
}

/** Creates the handlers of the JSON-RPC methods. */
export function createRoutedPeerHandlers(
  dependencies: RoutedPeerDependencies,
): Partial<PeerHandlers> {
  const {
    membership,
    placement,
    relay,
    usage,
    rollouts,
    offeredLoads,
    clocks,
    quotas,
    crashes,
    parts,
    streams,
    paths,
    explainer,
    quotaOf,
  } = dependencies;
  return {
    gossip: digest => membership.onGossip(digest),
    probe: async ({hostId}) => ({answered: await membership.probeFor(hostId)}),
    'reach.query': ({upstreamIds}) => paths.answer(upstreamIds),
    'placement.request': request => placement.onPlacementRequest(request),
    'placement.report': notification => {
      placement.onNotification(notification);
      return null;
    },
    'placement.renew': ({service, front, requests}) => {
      placement.onRenewal(service, front, requests);
      return null;
    },
    'beliefs.fetch': request => relay.answer(request),
    'usage.push': ({counts, loads = [], versionResults = []}) => {
      counts.forEach(count => usage.merge(count));
      const now = clocks.suspensionAware();
      loads.forEach(report => offeredLoads.merge(report, now));
      rollouts.task.onReports(versionResults);
      return null;
    },
    'suspicion.report': suspicion => {
      crashes.onSuspicion(suspicion);
      return null;
    },
    'suspicion.trial': ({fingerprint}) => ({
      isGranted: crashes.grantTrial(fingerprint),
    }),
    'suspicion.part-trial': ({service, partId, isSeparating}) => ({
      isGranted: parts.grantTrial({service, partId}, isSeparating),
    }),
    'suspicion.parts': ({suspicions}) => {
      parts.onSuspicions(suspicions);
      return null;
    },
    'stream.began': ({origins}) => {
      streams.keep(origins);
      return null;
    },
    'stream.locate': query => streams.answerHost(query),
    'request.explain': request => explainer.explain(request),
    'quota.request': ({workspace, amount}) => ({
      given: quotas.give(workspace, quotaOf(workspace), amount),
    }),
    'quota.take': ({workspace, amount, rank}) =>
      quotas.takeForPeer(workspace, quotaOf(workspace), amount, rank),
    'quota.return': ({workspace, amount}) => {
      quotas.giveBack(workspace, amount);
      return null;
    },
  };
}
