/**
 * Handlers for the requests of other entry hosts.
 */
import type {PeerHandlers} from '@lacewingwinch/entry-hosts';

import type {Tasks} from './build_tasks.js';

/** Creates the handlers of the JSON-RPC methods on top of `tasks`. */
export function createPeerHandlers(tasks: Tasks): Partial<PeerHandlers> {
  const {dispatcher, backups, membership, configuration, claims} = tasks;
  return {
    gossip: digest => membership.onGossip(digest),
    probe: async ({hostId}) => ({answered: await membership.probeFor(hostId)}),
    'reach.query': ({upstreamIds}) => tasks.paths.answer(upstreamIds),
    'permit.request': ({shardId, ask: request}) =>
      dispatcher.requestPermit(shardId, request),
    'permit.release': ({shardId, permitIds}) => {
      dispatcher.release(shardId, permitIds);
      return null;
    },
    'permit.renew': ({shardId, front, permits}) => {
      dispatcher.renew(shardId, front, permits);
      return null;
    },
    'backup.store': copy => {
      const stored = membership.own.status === 'serving';
      if (stored) {
        backups.store(copy);
      }
      return {stored};
    },
    'backup.drop': ({requestIds}) => {
      backups.drop(requestIds);
      return null;
    },
    'backup.take-over': handed => ({taken: tasks.handover.takeOver(handed)}),
    'claim.decide': claim => claims.decide(claim),
    'request.locate': ({requestId}) => ({
      isHere: tasks.registry.find(requestId) !== undefined,
    }),
    'upstream.leaving': ({upstreamIds, reclaimTime}) => {
      tasks.directory.markLeaving(upstreamIds, reclaimTime);
      return null;
    },
    'configuration.fetch': ({nonce}) => ({
      nonce,
      isServing: configuration.readySource !== 'none',
      snapshot: configuration.snapshot(),
    }),
    'suspicion.parts': ({suspicions}) => {
      tasks.parts.onSuspicions(suspicions);
      return null;
    },
    'limit.transfer': ({workspace, tokens}) => {
      tasks.limitExchange.onTransfer(workspace, tokens);
      return null;
    },
  };
}
