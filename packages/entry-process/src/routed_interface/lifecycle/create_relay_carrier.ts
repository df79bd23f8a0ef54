/**
 * The carrier of attempts for hosts that have lost their links to upstreams.
 */
import type {
  UpstreamAnnouncements,
  UpstreamList,
} from '@lacewingwinch/decisions';
import {decodeAnswerHeaders} from '@lacewingwinch/platform';

import {
  RelayCarrier,
  type RelayCarrierDependencies,
} from '../../paths/relay_carrier.js';
import type {Clocks} from '../../util/clocks.js';
import type {AnswerAnnouncements} from '../evidence/answer_announcements.js';

/** What the carrier shares with the requests of its own host. */
export interface SharedWithCarrier extends Pick<
  RelayCarrierDependencies,
  'events' | 'metrics' | 'paths' | 'pool'
> {
  readonly clocks: Clocks;
  readonly upstreams: UpstreamList;
  readonly announcements: UpstreamAnnouncements;
  readonly answers: AnswerAnnouncements;
}

/** Creates the carrier of a host. */
export function createRelayCarrier(shared: SharedWithCarrier): RelayCarrier {
  const {clocks, upstreams, announcements, answers} = shared;
  return new RelayCarrier({
    ...shared,
    clock: clocks.steady,
    acceptingUpstream: upstreamId => {
      const upstream = upstreams.find(upstreamId);
      return upstream !== undefined &&
        !upstream.isLeaving &&
        announcements.accepts(upstream, clocks.suspensionAware())
        ? upstream
        : undefined;
    },
    onHead: (upstream, {requestId}, head, sentAt) => {
      const headers = decodeAnswerHeaders(head.headers);
      const isOwn =
        headers.attemptId === undefined || headers.attemptId === requestId;
      const {status} = head;
      answers.record(upstream, {status, headers, isOwn, sentAt});
      return headers.attemptId !== undefined;
    },
  });
}
