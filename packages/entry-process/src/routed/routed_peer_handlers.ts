/**
 * The answers of a process on the platform to other entry hosts.
 */
import type {UsageWindows, WorkspaceQuota} from '@lacewingwinch/decisions';
import type {PeerHandlers} from '@lacewingwinch/entry-hosts';

import type {MembershipTask} from '../tasks/membership_task.js';
import type {BeliefRelay} from './belief_relay.js';
import type {CrashWatch} from './crash_watch.js';
import type {QuotaExchange} from './quota_exchange.js';
import type {RoutedPlacement} from './routed_placement.js';

/** The parts of a process that other hosts ask. */
export interface RoutedPeerParts {
  readonly membership: MembershipTask;
  readonly placement: RoutedPlacement;
  readonly relay: BeliefRelay;
  readonly usage: UsageWindows;
  readonly quotas: QuotaExchange;
  readonly crashes: CrashWatch;
  readonly quotaOf: (workspace: string) => WorkspaceQuota | undefined;
}

/** The handlers of the JSON-RPC methods, over `parts`. */
export function createRoutedPeerHandlers(
  parts: RoutedPeerParts,
): Partial<PeerHandlers> {
  const {membership, placement, relay, usage, quotas, crashes, quotaOf} = parts;
  return {
    gossip: digest => membership.onGossip(digest),
    probe: async ({hostId}) => ({answered: await membership.probeFor(hostId)}),
    'placement.ask': ask => placement.onAsk(ask),
    'placement.note': note => {
      placement.onNote(note);
      return null;
    },
    'placement.renew': ({service, front, requests}) => {
      placement.onRenew(service, front, requests);
      return null;
    },
    'beliefs.fetch': ask => relay.answer(ask),
    'usage.push': ({counts}) => {
      counts.forEach(one => usage.merge(one));
      return null;
    },
    'suspicion.tell': suspicion => {
      crashes.onTold(suspicion);
      return null;
    },
    'quota.ask': ({workspace, amount}) => ({
      given: quotas.give(workspace, quotaOf(workspace), amount),
    }),
    'quota.take': ({workspace, amount}) =>
      quotas.takeForOther(workspace, quotaOf(workspace), amount),
    'quota.return': ({workspace, amount}) => {
      quotas.giveBack(workspace, amount);
      return null;
    },
  };
}
