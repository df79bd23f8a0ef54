/**
 * The lifecycle of one admitted request: attempts at upstreams until a response
 * is complete or no further attempt is allowed.
 */
import type {RoutedCall, RoutedResponder} from '@lacewingwinch/callers';
import {
  type AttemptHistory,
  decideLoadShedding,
  decideNextAttempt,
  type EngineChoice,
  type PlacementDemand,
  type RoutedAdmission,
  type RoutedAttemptFailure,
  ServingError,
} from '@lacewingwinch/decisions';
import {type CallHeaders, encodeAnswerHeaders} from '@lacewingwinch/platform';
import type {AnswerHead} from '@lacewingwinch/upstreams';

import {fingerprintOf} from './crash_watch.js';
import {type AttemptOutcome, RoutedAttempt} from './routed_attempt.js';
import type {RoutedFrontDependencies} from './routed_front.js';
import type {Placement} from './routed_placement.js';
import {StreamRelay} from './stream_relay.js';
import {createUpstreamRequest} from './upstream_request.js';
import {FIRST_FAILURE_STATUS, upstreamResultOf} from './upstream_result.js';

/** Result of a request. */
export interface RequestResult {
  /** Whether an upstream may have run the request. */
  readonly mayHaveRun: boolean;
}

type Interruption = 'caller-left' | 'timeout';

/** One admitted request. */
export class RoutedRequest {
  private readonly relay: StreamRelay;
  private readonly demand: PlacementDemand;
  private readonly startedAt: number;
  /**
   * Steady clock reading in milliseconds at which the complete response is due.
   */
  private readonly deadline: number;
  private readonly tried = new Set<string>();
  private attempts = 0;
  private upstreamsReached = 0;
  private hasBegunToRun = false;
  private attempt: RoutedAttempt | undefined;
  private interruption: Interruption | undefined;
  private lastUpstream = '';
  private readonly fingerprint: string;

  constructor(
    private readonly dependencies: RoutedFrontDependencies,
    private readonly call: RoutedCall,
    headers: CallHeaders,
    private readonly admission: RoutedAdmission,
    private readonly responder: RoutedResponder,
  ) {
    this.relay = new StreamRelay(responder);
    this.startedAt = dependencies.clocks.steady();
    this.deadline = this.startedAt + admission.budgetMilliseconds;
    this.fingerprint = fingerprintOf({
      workspace: admission.workspace?.name ?? '',
      target: call.target,
      body: call.body,
    });
    this.demand = {
      attemptId: headers.attemptId ?? '',
      parts: headers.promptParts,
      promptTokens: headers.promptTokens,
      priority: admission.priority,
    };
  }

  /** Runs until the client has its response. */
  async run(): Promise<RequestResult> {
    const onClientLeft = (): void => this.interrupt('caller-left');
    this.call.clientDisconnected.addEventListener('abort', onClientLeft, {
      once: true,
    });
    const timer = setTimeout(
      () => this.interrupt('timeout'),
      this.admission.budgetMilliseconds,
    );
    try {
      await this.runAttempts();
    } finally {
      clearTimeout(timer);
      this.call.clientDisconnected.removeEventListener('abort', onClientLeft);
    }
    return {mayHaveRun: this.upstreamsReached > 0};
  }

  private async runAttempts(): Promise<void> {
    let drawsOnBudget = false;
    for (;;) {
      if (this.refuseIfQuarantined()) {
        return;
      }
      const placement = await this.place();
      if (this.interruption !== undefined) {
        placement?.reportEnded();
        this.endInterrupted();
        return;
      }
      if (
        placement === undefined ||
        (drawsOnBudget && !this.takeRetryBudget())
      ) {
        placement?.reportEnded();
        this.giveUp(
          this.upstreamsReached > 0 ? 'outcome-unknown' : 'no-upstream',
        );
        return;
      }
      if (this.refuseIfDeadlineUnreachable(placement)) {
        return;
      }
      const outcome = await this.attemptAt(placement);
      const next = this.settle(placement.choice, outcome);
      if (next === 'done') {
        return;
      }
      drawsOnBudget = next.drawsOnBudget;
    }
  }

  /**
   * Refuses content that has crashed too many upstreams; returns whether the
   * request has ended.
   */
  private refuseIfQuarantined(): boolean {
    const milliseconds = this.dependencies.crashes.quarantineMillisecondsLeft(
      this.fingerprint,
    );
    if (milliseconds <= 0) {
      return false;
    }
    if (this.upstreamsReached > 0) {
      this.giveUp('outcome-unknown');
      return true;
    }
    this.recordEnd('quarantined');
    throw new ServingError('quarantined', {
      detail: `content ${this.fingerprint}`,
      retryAfterSeconds: milliseconds / 1000,
    });
  }

  /**
   * Refuses a request that cannot meet its deadline, unless an upstream has
   * already received it; returns false if the attempt may go ahead.
   */
  private refuseIfDeadlineUnreachable(placement: Placement): boolean {
    if (this.upstreamsReached > 0 || this.relay.hasBegun) {
      return false;
    }
    const verdict = decideLoadShedding(
      placement.choice,
      {
        objectiveMilliseconds: this.admission.rule.objectiveMilliseconds,
        millisecondsLeft: this.millisecondsLeft(),
      },
      Math.random(),
    );
    switch (verdict.kind) {
      case 'send':
        return false;
      case 'refuse': {
        placement.reportEnded();
        const wait = Math.round(placement.choice.estimateMilliseconds);
        this.recordEnd('overloaded');
        throw new ServingError('overloaded', {
          detail: `the first event would take ${wait} ms`,
          retryAfterSeconds: verdict.retryAfterMilliseconds / 1000,
        });
      }
    }
  }

  private place(): Promise<Placement | undefined> {
    const {name} = this.admission.service;
    return this.dependencies.placement.place(name, this.demand, this.tried);
  }

  private takeRetryBudget(): boolean {
    const {retryBudgets, sharingHostCount, clocks} = this.dependencies;
    return retryBudgets
      .of(this.admission.service.name)
      .take(sharingHostCount(), clocks.steady());
  }

  private async attemptAt(placement: Placement): Promise<AttemptOutcome> {
    const {pool} = this.dependencies;
    const {choice} = placement;
    const {upstreamId} = choice.upstream;
    this.tried.add(upstreamId);
    this.attempts += 1;
    this.lastUpstream = upstreamId;
    const attempt = new RoutedAttempt(pool, {
      attemptId: this.demand.attemptId,
      isStreamed: this.admission.rule.isStreamed,
      request: createUpstreamRequest({
        call: this.call,
        admission: this.admission,
        choice,
        relay: this.relay,
        millisecondsLeft: this.millisecondsLeft(),
        sharingHostCount: this.dependencies.sharingHostCount(),
      }),
      stream: this.relay,
      onSend: () => {
        this.upstreamsReached += 1;
      },
      onFirstAnswerByte: () => {
        placement.reportStarted();
        this.recordStart();
      },
    });
    this.attempt = attempt;
    this.dependencies.events.write(4104, {
      requestId: this.demand.attemptId,
      upstreamId,
      estimate: Math.round(choice.estimateMilliseconds),
      cached: choice.cachedTokens,
      prompt: this.demand.promptTokens,
    });
    attempt.start();
    if (this.interruption !== undefined) {
      attempt.cancel();
    }
    const outcome = await attempt.outcome;
    placement.reportEnded(upstreamResultOf(outcome));
    return outcome;
  }

  private recordStart(): void {
    const {onRunStarted, clocks, metrics} = this.dependencies;
    if (!this.hasBegunToRun) {
      const elapsed = clocks.steady() - this.startedAt;
      metrics.firstByteSeconds.observe(
        {service: this.admission.service.name},
        elapsed / 1000,
      );
    }
    const workspace = this.admission.workspace?.name;
    if (!this.hasBegunToRun && workspace !== undefined) {
      onRunStarted(workspace);
    }
    this.hasBegunToRun = true;
  }

  private settle(
    choice: EngineChoice,
    outcome: AttemptOutcome,
  ): 'done' | {readonly drawsOnBudget: boolean} {
    const {upstreamId} = choice.upstream;
    switch (outcome.kind) {
      case 'streamed':
        this.dependencies.crashes.recordCompletion(this.fingerprint);
        this.responder.end();
        this.recordEnd('answered');
        return 'done';
      case 'whole':
        return this.settleComplete(upstreamId, outcome.head, outcome.body);
      case 'cancelled':
        this.endInterrupted();
        return 'done';
      case 'failed':
        this.reportLostConnection(choice, outcome.failure);
        return this.continueAfterFailure(upstreamId, outcome.failure);
    }
  }

  private reportLostConnection(
    {upstream}: EngineChoice,
    failure: RoutedAttemptFailure,
  ): void {
    if (failure.kind === 'lost' && failure.cause === 'connection') {
      this.dependencies.crashes.recordLostConnection(
        this.fingerprint,
        upstream,
      );
    }
  }

  private settleComplete(
    upstreamId: string,
    head: AnswerHead,
    body: Buffer,
  ): 'done' | {readonly drawsOnBudget: boolean} {
    const {status} = head;
    this.dependencies.crashes.recordCompletion(this.fingerprint);
    if (status >= FIRST_FAILURE_STATUS) {
      const failure: RoutedAttemptFailure = {kind: 'failed-after-run', status};
      const next = decideNextAttempt(failure, this.history());
      if (next.kind === 'attempt' && this.hasAnotherUpstream()) {
        this.recordAttemptFailure(upstreamId, failure, 'attempt');
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
      );
    }
    this.recordEnd(`status ${status}`);
    return 'done';
  }

  private hasAnotherUpstream(): boolean {
    const {name} = this.admission.service;
    return this.dependencies.placement.hasUntriedUpstream(name, this.tried);
  }

  private continueAfterFailure(
    upstreamId: string,
    failure: RoutedAttemptFailure,
  ): 'done' | {readonly drawsOnBudget: boolean} {
    if (failure.kind === 'not-executed') {
      this.upstreamsReached -= 1;
    }
    if (this.interruption !== undefined) {
      this.endInterrupted();
      return 'done';
    }
    const next = decideNextAttempt(failure, this.history());
    this.recordAttemptFailure(upstreamId, failure, next.kind);
    switch (next.kind) {
      case 'attempt':
        return {drawsOnBudget: next.drawsOnBudget};
      case 'give-up':
        this.giveUp(next.error);
        return 'done';
    }
  }

  private history(): AttemptHistory {
    const {rule} = this.admission;
    return {
      execution: rule.execution,
      upstreamsReached: this.upstreamsReached,
      attempts: this.attempts,
      maximumAttempts: rule.maximumAttempts,
      hasAnswerBegun: this.relay.hasBegun,
      millisecondsLeft: this.millisecondsLeft(),
    };
  }

  private recordAttemptFailure(
    upstreamId: string,
    failure: RoutedAttemptFailure,
    next: string,
  ): void {
    const reason = 'status' in failure ? failure.status : failure.reason;
    this.dependencies.events.write(4102, {
      requestId: this.demand.attemptId,
      attempt: this.attempts,
      upstreamId,
      failure: failure.kind,
      reason,
      next,
    });
    this.dependencies.metrics.attempts.inc({
      end: failure.kind,
      service: this.admission.service.name,
    });
  }

  private interrupt(interruption: Interruption): void {
    this.interruption ??= interruption;
    this.attempt?.cancel();
  }

  private endInterrupted(): void {
    if (this.interruption === 'caller-left') {
      this.recordEnd('caller-left');
      return;
    }
    this.giveUp('deadline-passed');
  }

  private giveUp(
    kind: 'deadline-passed' | 'no-upstream' | ServingError['kind'],
  ): void {
    if (this.relay.hasBegun) {
      this.responder.abort();
      this.recordEnd(`broken off: ${kind}`);
      return;
    }
    this.recordEnd(kind);
    throw new ServingError(kind);
  }

  private millisecondsLeft(): number {
    return this.deadline - this.dependencies.clocks.steady();
  }

  private recordEnd(outcome: string): void {
    const {rule, service, workspace, configurationVersion} = this.admission;
    const duration = this.dependencies.clocks.steady() - this.startedAt;
    this.dependencies.events.write(4101, {
      requestId: this.demand.attemptId,
      outcome,
      duration: Math.round(duration),
      rule: rule.name,
      version: configurationVersion,
      attempts: this.attempts,
      upstreamId: this.lastUpstream,
      eventCount: this.relay.events,
    });
    this.dependencies.metrics.requests.inc({
      workspace: workspace?.name ?? '',
      service: service.name,
      outcome: outcome.startsWith('broken') ? 'broken-off' : outcome,
    });
  }
}
