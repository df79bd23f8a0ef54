/**
 * The sender of an attempt over one way to its upstream.
 */
import type {Way} from '@lacewingwinch/decisions';
import type {EventLog} from '@lacewingwinch/observability';
import type {ConnectionPool, ExchangeSender} from '@lacewingwinch/upstreams';

import {type RelayedAttempt, RelaySender} from '../../paths/relay_sender.js';

/** What the attempts of one host share. */
export interface AttemptSenderDependencies {
  readonly pool: ConnectionPool;
  readonly hostId: string;
  readonly events: EventLog;
}

/** The attempt to send. */
export type SentAttempt = Pick<
  RelayedAttempt,
  'connectMilliseconds' | 'requestId' | 'requiredProcess' | 'upstreamId'
>;

/** Returns the pool of this host, or a sender through another host. */
export function createSender(
  {pool, hostId, events}: AttemptSenderDependencies,
  way: Way,
  attempt: SentAttempt,
): ExchangeSender {
  switch (way.kind) {
    case 'direct':
      return pool;
    case 'carried': {
      const {carrier} = way;
      const {requestId, upstreamId} = attempt;
      events.write(4113, {requestId, upstreamId, hostId: carrier.hostId});
      return new RelaySender({...attempt, pool, carrier, front: hostId});
    }
  }
}
