/**
 * Creates what one admitted request consists of, and connects it.
 */
import type {RoutedCall, RoutedResponder} from '@lacewingwinch/callers';
import {
  type PlacementDemand,
  type RoutedAdmission,
  sharedPartIds,
} from '@lacewingwinch/decisions';
import type {CallHeaders} from '@lacewingwinch/platform';

import {AttemptGate} from '../admission/attempt_gate.js';
import {fingerprintOf} from '../evidence/content_fingerprint.js';
import {AttemptPlacement} from './attempt_placement.js';
import {AttemptRunner} from './attempt_runner.js';
import {CrashEvidence} from './crash_evidence.js';
import type {FrontDependencies} from './front_dependencies.js';
import {RequestLoad} from './request_load.js';
import {RequestLog} from './request_log.js';
import {RequestTime} from './request_time.js';
import {RequestVersions} from './request_versions.js';
import {StreamContinuation} from './stream_continuation.js';
import {StreamRelay} from './stream_relay.js';

/** A request that was admitted, and the client that waits for its response. */
export interface AdmittedRequest {
  readonly call: RoutedCall;
  readonly headers: CallHeaders;
  readonly admission: RoutedAdmission;
  readonly responder: RoutedResponder;
}

/** What the parts report to their request. */
export interface RequestCallbacks {
  /** Called before the first event of a stream is relayed. */
  readonly onFirstEvent: () => void;
  /** Called at the first sign that an upstream is working on the request. */
  readonly onStart: () => void;
  /** Aborts when the client leaves, the time runs out or the host stops. */
  readonly interrupted: AbortSignal;
}

/** The parts of one request. */
export interface RequestParts {
  readonly relay: StreamRelay;
  readonly time: RequestTime;
  readonly log: RequestLog;
  readonly load: RequestLoad;
  readonly versions: RequestVersions;
  readonly evidence: CrashEvidence;
  readonly runner: AttemptRunner;
  readonly placing: AttemptPlacement;
  readonly continuation: StreamContinuation;
  /** Returns what the next attempt demands of its upstream. */
  readonly demand: () => PlacementDemand;
}

/** Creates the parts of a request. */
export function createRequestParts(
  dependencies: FrontDependencies,
  {call, headers, admission, responder}: AdmittedRequest,
  {onFirstEvent, onStart, interrupted}: RequestCallbacks,
): RequestParts {
  const requestId = headers.attemptId ?? '';
  const {service, rule} = admission;
  const sharedParts = sharedPartIds(headers.promptParts);
  const fingerprint = fingerprintOf({
    workspace: admission.workspace?.name ?? '',
    target: call.target,
    body: call.body,
  });
  const relay = new StreamRelay(responder, onFirstEvent, headers.lastEventId);
  const time = new RequestTime(dependencies, admission, fingerprint);
  const log = new RequestLog(dependencies, requestId, admission);
  log.recordContinuation(headers);
  const load = new RequestLoad(
    dependencies.loads,
    admission,
    headers.promptTokens,
    time.startedAt,
  );
  const versions = new RequestVersions(dependencies, {
    service: service.name,
    route: rule.name,
    attemptId: requestId,
    objectiveMilliseconds: rule.objectiveMilliseconds,
  });
  const continuation = new StreamContinuation(dependencies, headers, admission);
  const evidence = new CrashEvidence(dependencies, log, {
    service: service.name,
    fingerprint,
    sharedParts,
  });
  const gate = new AttemptGate(
    {
      ...dependencies,
      candidates: dependencies.placement.candidates,
      random: Math.random,
    },
    {requestId, service: service.name, fingerprint, sharedParts},
  );
  const runner = new AttemptRunner(dependencies, {
    attemptId: requestId,
    promptTokens: headers.promptTokens,
    isContinuation: headers.lastEventId !== undefined,
    call,
    admission,
    relay,
    maximumAttempts: () => gate.maximumAttempts(rule.maximumAttempts),
    mayBeSent: upstream =>
      gate.mayBeSent() &&
      versions.mayBeSent(upstream, continuation.softwareVersion),
    onFirstAnswerByte: upstream => {
      const now = dependencies.trueTime();
      const {upstreamRunningSince = now} = runner;
      evidence.recordBegan(upstream, now - upstreamRunningSince);
      onStart();
    },
  });
  const initialDemand: PlacementDemand = {
    attemptId: requestId,
    parts: headers.promptParts,
    promptTokens: headers.promptTokens,
    priority: admission.priority,
  };
  const demand = (): PlacementDemand => {
    const constraint = versions.constraint(continuation.softwareVersion);
    return constraint === undefined
      ? initialDemand
      : {...initialDemand, versions: constraint};
  };
  const placing = new AttemptPlacement({
    placement: dependencies.placement,
    gate,
    runner,
    service: service.name,
    demand,
    latencyBounds: () => time.latencyBounds(),
    admissionTerms: () => time.admissionTerms(),
    takeRetryBudget: () =>
      dependencies.retryBudgets
        .of(service.name)
        .take(dependencies.sharingHostCount(), dependencies.clocks.steady()),
    hasAnswerBegun: () => relay.hasBegun,
    interrupted,
  });
  return {
    relay,
    time,
    log,
    load,
    versions,
    evidence,
    runner,
    placing,
    continuation,
    demand,
  };
}
