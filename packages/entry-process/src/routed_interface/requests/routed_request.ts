/**
 * The lifecycle of one admitted request: attempts at upstreams until a response
 * is complete or no further attempt is allowed.
 */
import type {RoutedCall, RoutedResponder} from '@lacewingwinch/callers';
import {
  decideNextAttempt,
  type EngineChoice,
  type NextAttempt,
  type PlacementDemand,
  type RoutedAdmission,
  type RoutedAttemptFailure,
  ServingError,
  sharedPartIds,
} from '@lacewingwinch/decisions';
import {type CallHeaders, encodeAnswerHeaders} from '@lacewingwinch/platform';
import type {AnswerHead} from '@lacewingwinch/upstreams';

import {AttemptGate} from '../admission/attempt_gate.js';
import {fingerprintOf} from '../evidence/crash_watch.js';
import {AttemptPlacement, type NextPlacement} from './attempt_placement.js';
import {AttemptRunner} from './attempt_runner.js';
import {CrashEvidence} from './crash_evidence.js';
import {stoppingError} from './front_admission.js';
import type {FrontDependencies} from './front_dependencies.js';
import {RequestLoad} from './request_load.js';
import {RequestLog} from './request_log.js';
import {RequestTime} from './request_time.js';
import {RequestVersions} from './request_versions.js';
import type {AttemptOutcome} from './routed_attempt.js';
import {StreamContinuation} from './stream_continuation.js';
import {StreamRelay} from './stream_relay.js';
import {FIRST_FAILURE_STATUS} from './upstream_result.js';

type Interruption = 'caller-left' | 'stopping' | 'timeout';

/** Whether a request has ended, or how it makes another attempt. */
type Settled = 'done' | {readonly drawsOnBudget: boolean};

/** One admitted request. */
export class RoutedRequest {
  private readonly relay: StreamRelay;
  private readonly initialDemand: PlacementDemand;
  private readonly continuation: StreamContinuation;
  private readonly time: RequestTime;
  private hasBegunToRun = false;
  private interruption: Interruption | undefined;
  private readonly interrupted = new AbortController();
  private readonly evidence: CrashEvidence;
  private readonly gate: AttemptGate;
  private readonly placing: AttemptPlacement;
  private readonly runner: AttemptRunner;
  private readonly log: RequestLog;
  private readonly versions: RequestVersions;
  private readonly load: RequestLoad;

  constructor(
    private readonly dependencies: FrontDependencies,
    private readonly call: RoutedCall,
    headers: CallHeaders,
    private readonly admission: RoutedAdmission,
    private readonly responder: RoutedResponder,
  ) {
    this.relay = new StreamRelay(
      responder,
      () => this.recordFirstEvent(),
      headers.lastEventId,
    );
    const fingerprint = fingerprintOf({
      workspace: admission.workspace?.name ?? '',
      target: call.target,
      body: call.body,
    });
    this.time = new RequestTime(dependencies, admission, fingerprint);
    const requestId = headers.attemptId ?? '';
    this.log = new RequestLog(dependencies, requestId, admission);
    this.log.recordContinuation(headers);
    this.load = new RequestLoad(
      dependencies.loads,
      admission,
      headers.promptTokens,
      this.time.startedAt,
    );
    const sharedParts = sharedPartIds(headers.promptParts);
    const service = admission.service.name;
    this.versions = new RequestVersions(dependencies, {
      service,
      route: admission.rule.name,
      attemptId: requestId,
      objectiveMilliseconds: admission.rule.objectiveMilliseconds,
    });
    this.evidence = new CrashEvidence(dependencies, this.log, {
      service,
      fingerprint,
      sharedParts,
    });
    this.gate = new AttemptGate(
      {
        ...dependencies,
        candidates: dependencies.placement.candidates,
        random: Math.random,
      },
      {requestId, service, fingerprint, sharedParts},
    );
    this.runner = new AttemptRunner(dependencies, {
      attemptId: requestId,
      promptTokens: headers.promptTokens,
      isContinuation: headers.lastEventId !== undefined,
      call,
      admission,
      relay: this.relay,
      maximumAttempts: () =>
        this.gate.maximumAttempts(admission.rule.maximumAttempts),
      mayBeSent: upstream =>
        this.gate.mayBeSent() &&
        this.versions.mayBeSent(upstream, this.continuation.softwareVersion),
      onFirstAnswerByte: upstream => {
        const now = dependencies.trueTime();
        const {upstreamRunningSince = now} = this.runner;
        this.evidence.recordBegan(upstream, now - upstreamRunningSince);
        this.recordStart();
      },
    });
    this.placing = new AttemptPlacement({
      placement: dependencies.placement,
      gate: this.gate,
      runner: this.runner,
      service,
      demand: () => this.demand(),
      latencyBounds: () => this.time.latencyBounds(),
      admissionTerms: () => this.time.admissionTerms(),
      takeRetryBudget: () => this.takeRetryBudget(),
      hasAnswerBegun: () => this.relay.hasBegun,
      interrupted: this.interrupted.signal,
    });
    this.continuation = new StreamContinuation(
      dependencies,
      headers,
      admission,
    );
    this.initialDemand = {
      attemptId: requestId,
      parts: headers.promptParts,
      promptTokens: headers.promptTokens,
      priority: admission.priority,
    };
  }

  /** Whether an upstream may have run the request. */
  get mayHaveRun(): boolean {
    return this.runner.upstreamsReached > 0;
  }

  /** Runs until the client has its response; throws the refusal of the request. */
  async run(): Promise<void> {
    const onClientLeft = (): void => this.interrupt('caller-left');
    this.call.clientDisconnected.addEventListener('abort', onClientLeft, {
      once: true,
    });
    // The client may have left while its quota was awaited.
    if (this.call.clientDisconnected.aborted) {
      onClientLeft();
    }
    const timer = setTimeout(
      () => this.interrupt('timeout'),
      this.admission.budgetMilliseconds,
    );
    try {
      const refusal = await this.continuation.findOrigin();
      if (refusal !== undefined) {
        this.refuse(refusal);
        return;
      }
      await this.runAttempts();
    } finally {
      clearTimeout(timer);
      this.call.clientDisconnected.removeEventListener('abort', onClientLeft);
    }
  }

  private recordFirstEvent(): void {
    this.versions.recordFirstEvent(this.runner.times);
    const upstream = this.runner.lastUpstream;
    if (upstream !== undefined) {
      this.continuation.recordFirstEvent(
        upstream,
        this.runner.answeringProcessStart,
      );
    }
  }

  /** Returns what the next attempt demands of its upstream. */
  private demand(): PlacementDemand {
    const versions = this.versions.constraint(
      this.continuation.softwareVersion,
    );
    return versions === undefined
      ? this.initialDemand
      : {...this.initialDemand, versions};
  }

  private async runAttempts(): Promise<void> {
    let drawsOnBudget = false;
    for (;;) {
      const next = await this.placing.next(drawsOnBudget);
      if (next.kind !== 'placed') {
        const isRefused = next.kind !== 'interrupted' && !this.mayHaveRun;
        if (isRefused && this.versions.unassign()) {
          continue;
        }
        this.endUnplaced(next);
        return;
      }
      const {placement} = next;
      this.versions.recordBegun(placement.choice);
      this.continuation.recordAttempt();
      this.load.recordPlaced(
        placement.choice,
        this.dependencies.clocks.steady(),
      );
      const outcome = await this.runner.run(placement, () =>
        this.time.millisecondsLeft(),
      );
      this.versions.recordEnded(outcome, {
        ...this.runner.times,
        eventCount: this.relay.events,
      });
      const settled = await this.settle(placement.choice, outcome);
      if (settled === 'done') {
        return;
      }
      drawsOnBudget = settled.drawsOnBudget;
    }
  }

  /** Ends a request that makes no further attempt. */
  private endUnplaced(next: Exclude<NextPlacement, {kind: 'placed'}>): void {
    switch (next.kind) {
      case 'interrupted':
        this.endInterrupted();
        return;
      case 'refused':
        this.refuse(next.error);
        return;
      case 'none':
        this.giveUp(this.mayHaveRun ? 'outcome-unknown' : 'no-upstream');
    }
  }

  /**
   * Refuses the request, unless an upstream has received it, because it may have
   * run then.
   */
  private refuse(refusal: ServingError): void {
    if (this.mayHaveRun || this.relay.hasBegun) {
      this.giveUp('outcome-unknown');
      return;
    }
    this.recordEnd(refusal.kind);
    throw refusal;
  }

  private takeRetryBudget(): boolean {
    const {retryBudgets, sharingHostCount, clocks} = this.dependencies;
    return retryBudgets
      .of(this.admission.service.name)
      .take(sharingHostCount(), clocks.steady());
  }

  private recordStart(): void {
    const {onRunStarted, clocks} = this.dependencies;
    this.load.recordBegan(clocks.steady());
    if (!this.hasBegunToRun) {
      this.log.recordFirstByte(this.time.millisecondsSinceStart());
    }
    const workspace = this.admission.workspace?.name;
    if (!this.hasBegunToRun && workspace !== undefined) {
      onRunStarted(workspace);
    }
    this.hasBegunToRun = true;
  }

  private async settle(
    choice: EngineChoice,
    outcome: AttemptOutcome,
  ): Promise<Settled> {
    const {upstreamId} = choice.upstream;
    this.evidence.recordOutcome(choice.upstream, outcome, {
      millisecondsSinceAnswerBegan: this.runner.millisecondsSinceAnswerBegan(
        this.dependencies.clocks.steady(),
      ),
      eventCount: this.relay.events,
      upstreamRunningSince: this.runner.upstreamRunningSince,
    });
    switch (outcome.kind) {
      case 'streamed':
        this.continuation.recordComplete();
        this.responder.end();
        this.recordEnd('answered');
        return 'done';
      case 'whole':
        return this.settleComplete(upstreamId, outcome.head, outcome.body);
      case 'cancelled':
        this.endInterrupted();
        return 'done';
      case 'failed':
        return this.continueAfterFailure(upstreamId, outcome.failure);
    }
  }

  private settleComplete(
    upstreamId: string,
    head: AnswerHead,
    body: readonly Buffer[],
  ): Settled {
    const {status, framing} = head;
    if (status >= FIRST_FAILURE_STATUS) {
      const failure: RoutedAttemptFailure = {kind: 'failed-after-run', status};
      const next = decideNextAttempt(
        failure,
        this.runner.history(this.time.millisecondsLeft()),
      );
      const hasAnotherUpstream =
        this.dependencies.placement.candidates.hasUntried(
          this.admission.service.name,
          this.demand(),
          this.runner.tried,
        );
      if (next.kind === 'attempt' && hasAnotherUpstream) {
        this.log.recordAttemptFailure(
          this.runner.attempts,
          upstreamId,
          failure,
          'attempt',
        );
        return {drawsOnBudget: next.drawsOnBudget};
      }
    }
    if (this.relay.hasBegun) {
      this.responder.abort();
    } else {
      this.responder.sendComplete(
        status,
        encodeAnswerHeaders(head.rawHeaders),
        body,
        framing,
      );
    }
    this.recordEnd(`status ${status}`);
    return 'done';
  }

  private async continueAfterFailure(
    upstreamId: string,
    failure: RoutedAttemptFailure,
  ): Promise<Settled> {
    const decided = decideNextAttempt(
      failure,
      this.runner.history(this.time.millisecondsLeft()),
    );
    const mayContinue =
      decided.kind !== 'attempt' || (await this.continuation.isOriginKnown());
    if (this.interruption !== undefined) {
      this.endInterrupted();
      return 'done';
    }
    const next: NextAttempt = mayContinue
      ? decided
      : {kind: 'give-up', error: 'stream-unknown'};
    this.log.recordAttemptFailure(
      this.runner.attempts,
      upstreamId,
      failure,
      next.kind,
    );
    switch (next.kind) {
      case 'attempt':
        return {drawsOnBudget: next.drawsOnBudget};
      case 'give-up':
        this.giveUp(next.error);
        return 'done';
    }
  }

  /** Ends the request with a final answer, because its host stops. */
  endForStop(): void {
    this.interrupt('stopping');
  }

  private interrupt(interruption: Interruption): void {
    this.interruption ??= interruption;
    this.interrupted.abort();
    this.runner.cancel();
  }

  private endInterrupted(): void {
    switch (this.interruption) {
      case 'caller-left':
        this.recordEnd('caller-left');
        return;
      case 'stopping':
        this.refuse(stoppingError());
        return;
      case 'timeout':
      case undefined:
        this.giveUp('deadline-passed');
    }
  }

  private giveUp(
    kind: 'deadline-passed' | 'no-upstream' | ServingError['kind'],
  ): void {
    if (this.relay.hasBegun) {
      this.continuation.recordBrokenOff();
      this.responder.abort();
      this.recordEnd(`broken off: ${kind}`);
      return;
    }
    this.recordEnd(kind);
    throw this.mayHaveRun
      ? new ServingError(kind, {ran: 'unknown'})
      : new ServingError(kind);
  }

  private recordEnd(outcome: string): void {
    const now = this.dependencies.clocks.steady();
    this.load.recordEnd(outcome, now);
    this.log.recordEnd({
      outcome,
      durationMilliseconds: now - this.time.startedAt,
      attempts: this.runner.attempts,
      upstreamsReached: this.runner.upstreamsReached,
      upstreamId: this.runner.lastUpstream?.upstreamId ?? '',
      eventCount: this.relay.events,
    });
  }
}
