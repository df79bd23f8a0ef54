/**
 * What is sent to an upstream for one attempt of a routed request.
 */
import type {RoutedCall} from '@lacewingwinch/callers';
import type {Choice, RoutedAdmission} from '@lacewingwinch/decisions';
import {encodeUpstreamHeaders} from '@lacewingwinch/platform';
import type {PooledRequest} from '@lacewingwinch/upstreams';

import type {StreamRelay} from './stream_relay.js';

/** Priorities that an engine knows: 0 is the most urgent. */
const LEAST_URGENT_PRIORITY = 9;

/** Connections to one upstream that a host always may have. */
const LEAST_CONNECTIONS = 2;

/** Share of the connections of an upstream that all hosts together use. */
const USED_CONNECTION_SHARE = 0.9;

/**
 * Idle milliseconds after which a kept connection is not used for a request
 * that may run once: its upstream could close it while the request is on its
 * way, and nobody would know whether the request ran.
 */
const AT_MOST_ONCE_IDLE_MILLISECONDS = 2500;

/** Idle milliseconds after which a kept connection is not used at all. */
const REPEATABLE_IDLE_MILLISECONDS = 60_000;

/** What the request depends on. */
export interface UpstreamRequestFacts {
  readonly call: RoutedCall;
  readonly admission: RoutedAdmission;
  readonly choice: Choice;
  /** What the caller has got so far. */
  readonly relay: StreamRelay;
  readonly millisecondsLeft: number;
  /** Entry hosts that share the connections of an upstream. */
  readonly sharingHosts: number;
}

/** The request for the upstream that was chosen. */
export function upstreamRequest({
  call,
  admission: {service, workspace, rule, priority},
  choice,
  relay,
  millisecondsLeft,
  sharingHosts,
}: UpstreamRequestFacts): PooledRequest {
  const {upstreamId, address} = choice.upstream;
  const isOnce = rule.execution === 'at-most-once';
  const share =
    (service.connectionLimit * USED_CONNECTION_SHARE) / sharingHosts;
  return {
    address,
    method: call.method,
    path: call.target,
    headers: encodeUpstreamHeaders(call.rawHeaders, {
      upstreamId,
      workspace: workspace?.name,
      millisecondsLeft,
      priority:
        service.engine === undefined
          ? undefined
          : Math.min(LEAST_URGENT_PRIORITY, priority),
      resumeAfter: relay.lastEventId,
      weightVersion: relay.weightVersion,
    }),
    body: call.body.length === 0 ? undefined : call.body,
    maximumIdleMilliseconds: isOnce
      ? AT_MOST_ONCE_IDLE_MILLISECONDS
      : REPEATABLE_IDLE_MILLISECONDS,
    maximumConnections: Math.max(LEAST_CONNECTIONS, Math.floor(share)),
  };
}
