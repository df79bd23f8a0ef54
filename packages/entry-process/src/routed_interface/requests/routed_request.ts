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
} from '@lacewingwinch/decisions';
import {type CallHeaders, encodeAnswerHeaders} from '@lacewingwinch/platform';
import type {AnswerHead} from '@lacewingwinch/upstreams';

import type {AttemptPlacement, NextPlacement} from './attempt_placement.js';
import type {AttemptRunner} from './attempt_runner.js';
import type {CrashEvidence} from './crash_evidence.js';
import {stoppingError} from './front_admission.js';
import type {FrontDependencies} from './front_dependencies.js';
import type {RequestLoad} from './request_load.js';
import type {RequestLog} from './request_log.js';
import {createRequestParts} from './request_parts.js';
import type {RequestTime} from './request_time.js';
import type {RequestVersions} from './request_versions.js';
import type {AttemptOutcome} from './routed_attempt.js';
import type {StreamContinuation} from './stream_continuation.js';
import type {StreamRelay} from './stream_relay.js';
import {FIRST_FAILURE_STATUS} from './upstream_result.js';

type Interruption = 'caller-left' | 'stopping' | 'timeout';

/** Whether a request has ended, or how it makes another attempt. */
type Settled = 'done' | {readonly drawsOnBudget: boolean};

/** One admitted request. */
export class RoutedRequest {
  private readonly relay: StreamRelay;
  private readonly continuation: StreamContinuation;
  private readonly time: RequestTime;
  private hasBegunToRun = false;
  private interruption: Interruption | undefined;
  private readonly interrupted = new AbortController();
  private readonly evidence: CrashEvidence;
  private readonly placing: AttemptPlacement;
  private readonly runner: AttemptRunner;
  private readonly log: RequestLog;
  private readonly versions: RequestVersions;
  private readonly load: RequestLoad;
  /** Returns what the next attempt demands of its upstream. */
  private readonly demand: () => PlacementDemand;

  constructor(
    private readonly dependencies: FrontDependencies,
    private readonly call: RoutedCall,
    headers: CallHeaders,
    private readonly admission: RoutedAdmission,
    private readonly responder: RoutedResponder,
  ) {
    const parts = createRequestParts(
      dependencies,
      {call, headers, admission, responder},
      {
        onFirstEvent: () => this.recordFirstEvent(),
        onStart: () => this.recordStart(),
        interrupted: this.interrupted.signal,
      },
    );
    this.relay = parts.relay;
    this.time = parts.time;
    this.log = parts.log;
    this.load = parts.load;
    this.versions = parts.versions;
    this.evidence = parts.evidence;
    this.runner = parts.runner;
    this.placing = parts.placing;
    this.continuation = parts.continuation;
    this.demand = parts.demand;
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
