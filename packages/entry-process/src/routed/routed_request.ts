/**
 * The life of one admitted request: attempts at upstreams until an answer is
 * whole or nothing more may be tried.
 */
import type {RoutedCall, RoutedResponder} from '@lacewingwinch/callers';
import {
  type AttemptHistory,
  type Choice,
  decideNextAttempt,
  type PlacementDemand,
  refuseHopeless,
  type RoutedAdmission,
  type RoutedAttemptFailure,
  ServingError,
} from '@lacewingwinch/decisions';
import {type CallHeaders, encodeAnswerHeaders} from '@lacewingwinch/platform';
import type {AnswerHead} from '@lacewingwinch/upstreams';

import {fingerprintOf} from './crash_watch.js';
import {type AttemptOutcome, RoutedAttempt} from './routed_attempt.js';
import type {RoutedFrontContext} from './routed_front.js';
import type {Placement} from './routed_placement.js';
import {StreamRelay} from './stream_relay.js';
import {upstreamRequest} from './upstream_request.js';
import {FIRST_FAILURE_STATUS, upstreamResultOf} from './upstream_result.js';

/** What became of a request. */
export interface RequestEnd {
  /** Whether an upstream may have run it. */
  readonly mayHaveRun: boolean;
}

type Interruption = 'caller-left' | 'timeout';

/** One admitted request. */
export class RoutedRequest {
  private readonly relay: StreamRelay;
  private readonly demand: PlacementDemand;
  private readonly startedAt: number;
  /** Steady milliseconds at which the final answer is due. */
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
    private readonly context: RoutedFrontContext,
    private readonly call: RoutedCall,
    headers: CallHeaders,
    private readonly admission: RoutedAdmission,
    private readonly responder: RoutedResponder,
  ) {
    this.relay = new StreamRelay(responder);
    this.startedAt = context.clocks.steady();
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

  /** Runs until the caller has its answer. */
  async run(): Promise<RequestEnd> {
    const onLeft = (): void => this.interrupt('caller-left');
    this.call.callerLeft.addEventListener('abort', onLeft, {once: true});
    const timer = setTimeout(
      () => this.interrupt('timeout'),
      this.admission.budgetMilliseconds,
    );
    try {
      await this.runAttempts();
    } finally {
      clearTimeout(timer);
      this.call.callerLeft.removeEventListener('abort', onLeft);
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
        placement?.noteEnded();
        this.endInterrupted();
        return;
      }
      if (placement === undefined || (drawsOnBudget && !this.takeBudget())) {
        placement?.noteEnded();
        this.giveUp(
          this.upstreamsReached > 0 ? 'outcome-unknown' : 'no-upstream',
        );
        return;
      }
      if (this.refuseIfHopeless(placement)) {
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

  /** Whether the content has crashed too many upstreams. */
  private refuseIfQuarantined(): boolean {
    const milliseconds = this.context.crashes.refusedFor(this.fingerprint);
    if (milliseconds <= 0) {
      return false;
    }
    if (this.upstreamsReached > 0) {
      this.giveUp('outcome-unknown');
      return true;
    }
    this.noteEnd('quarantined');
    throw new ServingError('quarantined', {
      detail: `content ${this.fingerprint}`,
      retryAfterSeconds: milliseconds / 1000,
    });
  }

  /** Only a request that nobody has got yet is refused. */
  private refuseIfHopeless(placement: Placement): boolean {
    if (this.upstreamsReached > 0 || this.relay.hasBegun) {
      return false;
    }
    const verdict = refuseHopeless(
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
        placement.noteEnded();
        const wait = Math.round(placement.choice.estimateMilliseconds);
        this.noteEnd('overloaded');
        throw new ServingError('overloaded', {
          detail: `the first event would take ${wait} ms`,
          retryAfterSeconds: verdict.retryAfterMilliseconds / 1000,
        });
      }
    }
  }

  private place(): Promise<Placement | undefined> {
    const {name} = this.admission.service;
    return this.context.placement.place(name, this.demand, this.tried);
  }

  private takeBudget(): boolean {
    const {retryBudgets, sharingHosts, clocks} = this.context;
    return retryBudgets
      .of(this.admission.service.name)
      .take(sharingHosts(), clocks.steady());
  }

  private async attemptAt(placement: Placement): Promise<AttemptOutcome> {
    const {pool} = this.context;
    const {choice} = placement;
    const {upstreamId} = choice.upstream;
    this.tried.add(upstreamId);
    this.attempts += 1;
    this.lastUpstream = upstreamId;
    const attempt = new RoutedAttempt(pool, {
      attemptId: this.demand.attemptId,
      isStreamed: this.admission.rule.isStreamed,
      request: upstreamRequest({
        call: this.call,
        admission: this.admission,
        choice,
        relay: this.relay,
        millisecondsLeft: this.millisecondsLeft(),
        sharingHosts: this.context.sharingHosts(),
      }),
      stream: this.relay,
      onSend: () => {
        this.upstreamsReached += 1;
      },
      onFirstAnswerByte: () => {
        placement.noteBegun();
        this.noteBegun();
      },
    });
    this.attempt = attempt;
    this.context.events.write(4104, {
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
    placement.noteEnded(upstreamResultOf(outcome));
    return outcome;
  }

  private noteBegun(): void {
    const {onBegun, clocks, metrics} = this.context;
    if (!this.hasBegunToRun) {
      const elapsed = clocks.steady() - this.startedAt;
      metrics.firstByteSeconds.observe(
        {service: this.admission.service.name},
        elapsed / 1000,
      );
    }
    const workspace = this.admission.workspace?.name;
    if (!this.hasBegunToRun && workspace !== undefined) {
      onBegun(workspace);
    }
    this.hasBegunToRun = true;
  }

  private settle(
    choice: Choice,
    outcome: AttemptOutcome,
  ): 'done' | {readonly drawsOnBudget: boolean} {
    const {upstreamId} = choice.upstream;
    switch (outcome.kind) {
      case 'streamed':
        this.context.crashes.noteAnswered(this.fingerprint);
        this.responder.end();
        this.noteEnd('answered');
        return 'done';
      case 'whole':
        return this.settleWhole(upstreamId, outcome.head, outcome.body);
      case 'cancelled':
        this.endInterrupted();
        return 'done';
      case 'failed':
        this.noteLost(choice, outcome.failure);
        return this.goOnAfter(upstreamId, outcome.failure);
    }
  }

  private noteLost({upstream}: Choice, failure: RoutedAttemptFailure): void {
    if (failure.kind === 'lost' && failure.cause === 'connection') {
      this.context.crashes.noteLost(this.fingerprint, upstream);
    }
  }

  private settleWhole(
    upstreamId: string,
    head: AnswerHead,
    body: Buffer,
  ): 'done' | {readonly drawsOnBudget: boolean} {
    const {status} = head;
    this.context.crashes.noteAnswered(this.fingerprint);
    if (status >= FIRST_FAILURE_STATUS) {
      const failure: RoutedAttemptFailure = {kind: 'failed-after-run', status};
      const next = decideNextAttempt(failure, this.history());
      if (next.kind === 'attempt' && this.hasAnotherUpstream()) {
        this.noteAttemptFailure(upstreamId, failure, 'attempt');
        return {drawsOnBudget: next.drawsOnBudget};
      }
    }
    if (this.relay.hasBegun) {
      this.responder.breakOff();
    } else {
      this.responder.sendWhole(
        status,
        encodeAnswerHeaders(head.rawHeaders),
        body,
      );
    }
    this.noteEnd(`status ${status}`);
    return 'done';
  }

  private hasAnotherUpstream(): boolean {
    const {name} = this.admission.service;
    return this.context.placement.hasOther(name, this.tried);
  }

  private goOnAfter(
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
    this.noteAttemptFailure(upstreamId, failure, next.kind);
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

  private noteAttemptFailure(
    upstreamId: string,
    failure: RoutedAttemptFailure,
    next: string,
  ): void {
    const reason = 'status' in failure ? failure.status : failure.reason;
    this.context.events.write(4102, {
      requestId: this.demand.attemptId,
      attempt: this.attempts,
      upstreamId,
      failure: failure.kind,
      reason,
      next,
    });
    this.context.metrics.attempts.inc({
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
      this.noteEnd('caller-left');
      return;
    }
    this.giveUp('deadline-passed');
  }

  private giveUp(
    kind: 'deadline-passed' | 'no-upstream' | ServingError['kind'],
  ): void {
    if (this.relay.hasBegun) {
      this.responder.breakOff();
      this.noteEnd(`broken off: ${kind}`);
      return;
    }
    this.noteEnd(kind);
    throw new ServingError(kind);
  }

  private millisecondsLeft(): number {
    return this.deadline - this.context.clocks.steady();
  }

  private noteEnd(outcome: string): void {
    const {rule, service, workspace, configurationVersion} = this.admission;
    const duration = this.context.clocks.steady() - this.startedAt;
    this.context.events.write(4101, {
      requestId: this.demand.attemptId,
      outcome,
      duration: Math.round(duration),
      rule: rule.name,
      version: configurationVersion,
      attempts: this.attempts,
      upstreamId: this.lastUpstream,
      eventCount: this.relay.events,
    });
    this.context.metrics.requests.inc({
      workspace: workspace?.name ?? '',
      service: service.name,
      outcome: outcome.startsWith('broken') ? 'broken-off' : outcome,
    });
  }
}
