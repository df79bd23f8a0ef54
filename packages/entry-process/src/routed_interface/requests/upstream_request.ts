/**
 * The request that is sent to an upstream for one attempt.
 */
import type {RoutedCall} from '@lacewingwinch/callers';
import type {
  EngineChoice,
  RoutedAdmission,
  UsableUpstream,
} from '@lacewingwinch/decisions';
import {encodeUpstreamHeaders} from '@lacewingwinch/platform';
import type {PooledRequest} from '@lacewingwinch/upstreams';

import {
  createProcessCheck,
  type RequiredProcess,
} from '../../paths/process_check.js';
import type {StreamRelay} from './stream_relay.js';

/** Highest priority value that an engine accepts; 0 is the most urgent. */
const LEAST_URGENT_PRIORITY = 9;

/**
 * Minimum number of connections to one upstream that a host may always open.
 */
const MINIMUM_CONNECTIONS = 2;

/** Share of an upstream's connections that all hosts together use. */
const USED_CONNECTION_SHARE = 0.9;

/**
 * Idle milliseconds after which a pooled connection is not used for an
 * at-most-once request: the upstream could close it while the request is in
 * transit, and it would be unknown whether the request ran.
 */
const AT_MOST_ONCE_IDLE_MILLISECONDS = 2500;

/** Idle milliseconds after which a pooled connection is not used at all. */
const REPEATABLE_IDLE_MILLISECONDS = 60_000;

/**
 * Milliseconds after the deadline of a request within which the rest of an
 * answer that no client waits for is read, so that its connection can be kept.
 */
const ANSWER_GRACE_MILLISECONDS = 1000;

/** Start time of an upstream that reported none. */
const UNKNOWN_START = 0;

/** Inputs for an upstream request. */
export interface UpstreamRequestOptions {
  readonly call: RoutedCall;
  readonly admission: RoutedAdmission;
  readonly choice: EngineChoice;
  /** Rank at the upstream; 0 is the most urgent. */
  readonly priority: number;
  /** The part of the response that the client has received so far. */
  readonly relay: StreamRelay;
  readonly millisecondsLeft: number;
  /** Number of entry hosts that share the connections of an upstream. */
  readonly sharingHostCount: number;
  /** The only process to which the request may be sent, if it matters. */
  readonly requiredProcess: RequiredProcess | undefined;
}

/**
 * Returns the process that an attempt requires. A stream that may be taken up is
 * bound to the software version that the listed process states, and continues only
 * at a process that is certain. An upstream that reports no start gets a new id with
 * each of them.
 */
export function requiredProcessOf(
  {bornAt}: UsableUpstream,
  {execution}: RoutedAdmission['rule'],
  isContinuation: boolean,
): RequiredProcess | undefined {
  return execution === 'resumable' && bornAt !== UNKNOWN_START
    ? {start: bornAt, isReportOptional: !isContinuation}
    : undefined;
}

/**
 * Returns whether the process that answers is certain to be the listed one. It has
 * reported `answeringProcessStart` on its connection, undefined if it has not.
 */
export function isAnsweringProcess(
  {bornAt}: UsableUpstream,
  answeringProcessStart: number | undefined,
): boolean {
  return bornAt === UNKNOWN_START || bornAt === answeringProcessStart;
}

/** Creates the request for the chosen upstream. */
export function createUpstreamRequest({
  call,
  admission: {service, workspace, rule},
  choice,
  priority,
  relay,
  millisecondsLeft,
  sharingHostCount,
  requiredProcess,
}: UpstreamRequestOptions): PooledRequest {
  const {upstreamId, address} = choice.upstream;
  const isAtMostOnce = rule.execution === 'at-most-once';
  const share =
    (service.connectionLimit * USED_CONNECTION_SHARE) / sharingHostCount;
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
          : Math.max(0, Math.min(LEAST_URGENT_PRIORITY, Math.round(priority))),
      resumeAfter: relay.lastEventId,
      weightVersion: relay.weightVersion,
    }),
    body: call.body.length === 0 ? undefined : call.body,
    maximumIdleMilliseconds: isAtMostOnce
      ? AT_MOST_ONCE_IDLE_MILLISECONDS
      : REPEATABLE_IDLE_MILLISECONDS,
    maximumMilliseconds: millisecondsLeft + ANSWER_GRACE_MILLISECONDS,
    maximumConnections: Math.max(MINIMUM_CONNECTIONS, Math.floor(share)),
    ...(requiredProcess !== undefined && {
      check: createProcessCheck(requiredProcess),
    }),
  };
}
