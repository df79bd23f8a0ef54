/**
 * The loop that sends attempts of a request to upstreams until the request is
 * answered or fails.
 */
import {
  type AttemptFailure,
  decideRetry,
  findService,
  listServices,
  NO_WAYS_TRIED,
  type SendOutcome,
  type Service,
  ServingError,
  type Way,
  withTriedWay,
} from '@lacewingwinch/decisions';
import type {KeptAnswer} from '@lacewingwinch/entry-hosts';
import {EngineRefusal, isUpstreamError} from '@lacewingwinch/upstreams';

import type {StreamMover} from '../recovery/stream_mover.js';
import {AttemptEvidence} from './attempt_evidence.js';
import {AttemptPath} from './attempt_path.js';
import {exchangeCarrierOf} from './attempt_route.js';
import {upstreamHeaders} from './engine_request.js';
import type {FrontContext} from './front_context.js';
import {outcomeOf, ranOf, type ServedRequest} from './served_request.js';
import {type RequestRun, SlotFinder, type UpstreamSlot} from './slot_finder.js';
import {type UpstreamAnswer, UpstreamCalls} from './upstream_calls.js';

/** How one attempt ended. */
type AttemptEnd =
  | {readonly kind: 'answered'}
  | {readonly kind: 'failed'; readonly failure: AttemptFailure}
  | {readonly kind: 'refused-for-good'};

/** Runs requests, each with as many attempts as its rule allows. */
export class AttemptLoop {
  private readonly calls: UpstreamCalls;
  private readonly slotFinder: SlotFinder;
  private readonly evidence: AttemptEvidence;

  constructor(
    private readonly context: FrontContext,
    private readonly mover: StreamMover,
  ) {
    this.calls = new UpstreamCalls(context, mover);
    this.slotFinder = new SlotFinder(context);
    this.evidence = new AttemptEvidence(context, this.slotFinder);
  }

  /**
   * Runs `request` until it has ended. Sends no attempt before `accepted`
   * resolves. If `accepted` rejects, the request fails with that error.
   */
  async run(
    request: ServedRequest,
    outcome: SendOutcome,
    accepted: Promise<void>,
  ): Promise<void> {
    // The rejection is handled where `accepted` is awaited. This handler only
    // prevents a report of an unhandled rejection in the meantime.
    accepted.catch(() => undefined);
    const {copy} = request;
    const timeLeft = copy.deadline - this.context.clock();
    const timer = setTimeout(
      () => request.cancelAttempt({kind: 'deadline-passed'}),
      Math.max(0, timeLeft),
    );
    try {
      const service = this.requireService(copy.service);
      this.context
        .retryBudgetOf(service.name)
        .addFirstAttempt(this.context.clock());
      // A claim has to wait for the log. The slot is requested only afterwards,
      // so that no slot stays empty during that time.
      if (request.copy.needsClaim) {
        await accepted;
      }
      await this.runAttempts({request, service, outcome}, accepted);
    } catch (error) {
      this.giveUp(request, toServingError(error, request));
    } finally {
      clearTimeout(timer);
      this.mover.discardCache(request);
    }
  }

  private async runAttempts(
    run: RequestRun,
    accepted: Promise<void>,
  ): Promise<void> {
    const {request, service} = run;
    const excluded: string[] = [];
    while (request.isRunning()) {
      this.evidence.requireNotQuarantined(run);
      const slot = await this.slotFinder.find(run, excluded);
      const end = await this.runAttemptInSlot(slot, run, accepted);
      this.context.metrics.attempts.inc({
        service: service.name,
        end: end.kind === 'failed' ? end.failure.kind : end.kind,
      });
      if (end.kind !== 'failed' || !request.isRunning()) {
        return;
      }
      excluded.push(slot.upstream.id);
      await this.evidence.recordFailure(run, slot, end.failure);
      this.requireRetryAllowed(run, end.failure);
    }
  }

  private async runAttemptInSlot(
    slot: UpstreamSlot,
    run: RequestRun,
    accepted: Promise<void>,
  ): Promise<AttemptEnd> {
    try {
      await accepted;
      return run.request.isRunning()
        ? await this.attempt(run, slot)
        : {kind: 'refused-for-good'};
    } finally {
      this.context.permits.release(slot.permitId);
    }
  }

  private requireRetryAllowed(run: RequestRun, failure: AttemptFailure): void {
    const {request, service, outcome} = run;
    const now = this.context.clock();
    const decision = decideRetry(
      {
        failure,
        isIdempotent: request.copy.isIdempotent,
        attempts: request.attempts,
        maximumAttempts: outcome.maximumAttempts,
        wasSent: request.wasSent,
        deadline: request.copy.deadline,
      },
      now,
    );
    switch (decision.kind) {
      case 'give-up':
        throw new ServingError(decision.error, {ran: decision.ran});
      case 'try-again': {
        this.evidence.requireNotQuarantined(run);
        const budget = this.context.retryBudgetOf(service.name);
        const hasRetryBudget =
          !decision.needsBudget ||
          budget.takeRetry(
            service.retryBudgetFraction,
            service.upstreamConcurrency,
            now,
          );
        if (!hasRetryBudget) {
          throw new ServingError('upstream-failed', {
            ran: ranOf(request),
            detail: 'the retry budget of the service is used up',
          });
        }
      }
    }
  }

  /**
   * Makes an attempt, over the link of this host or through other hosts until the
   * upstream has received it.
   */
  private async attempt(
    run: RequestRun,
    slot: UpstreamSlot,
  ): Promise<AttemptEnd> {
    const {request} = run;
    const {paths} = this.context;
    const upstreamId = slot.upstream.id;
    request.countAttempt();
    let tried = NO_WAYS_TRIED;
    for (;;) {
      const way = paths.nextWay(upstreamId, tried) ?? {kind: 'direct'};
      tried = withTriedWay(tried, way);
      const end = await this.attemptOver(way, run, slot);
      const isUnsent = end.kind === 'failed' && end.failure.kind === 'not-sent';
      const hasAnotherWay = paths.nextWay(upstreamId, tried) !== undefined;
      if (!isUnsent || !request.isRunning() || !hasAnotherWay) {
        return end;
      }
    }
  }

  private async attemptOver(
    way: Way,
    run: RequestRun,
    slot: UpstreamSlot,
  ): Promise<AttemptEnd> {
    const {request, service} = run;
    const attemptId = `${request.id}.${request.attempts}`;
    const signal = request.beginAttempt(attemptId, slot.upstream.id);
    const watch = this.pathWatchOf(way, run, slot);
    const wasSentBefore = request.wasSent;
    const span = this.context.tracing.startHop(
      'upstream',
      'client',
      request.traceparent,
      {'upstream.id': slot.upstream.id, 'request.id': request.id},
    );
    try {
      if (this.context.clock() >= request.copy.deadline) {
        return {kind: 'failed', failure: {kind: 'deadline-passed'}};
      }
      const carrier = exchangeCarrierOf(way, {
        upstreamId: slot.upstream.id,
        front: this.context.hostId,
        requestId: request.id,
        isRepeatable: request.copy.isIdempotent,
        millisecondsLeft: request.copy.deadline - this.context.clock(),
      });
      const exchange = {
        signal,
        onBytes: () => watch.recordBytes(),
        ...(carrier !== undefined && {carrier}),
      };
      const headers = upstreamHeaders(
        request.copy,
        attemptId,
        span.traceparent,
      );
      const authorizeSend = (): boolean => {
        const canSend = this.authorizeSend(request, slot, attemptId);
        if (canSend) {
          watch.recordSent();
        }
        return canSend;
      };
      const call = {run, slot, attemptId, headers, exchange, authorizeSend};
      const answer =
        service.upstreamKind === 'model'
          ? await this.calls.callEngine(call)
          : await this.calls.callPlain(call);
      this.finishAnswered(run, slot, answer);
      span.end();
      return {kind: 'answered'};
    } catch (error) {
      span.end('failed');
      if (isUpstreamError(error)) {
        watch.recordFailure(error);
        if (error.failure.kind === 'not-sent') {
          request.wasSent = wasSentBefore;
          request.executionRight?.restore();
        }
      }
      return this.endWithError(request, attemptId, error);
    } finally {
      watch.stop();
      request.upstreamId = undefined;
    }
  }

  /** Watches what an attempt shows of the way that it takes. */
  private pathWatchOf(
    way: Way,
    {request}: RequestRun,
    slot: UpstreamSlot,
  ): AttemptPath {
    const isStreamed = request.copy.callKind !== 'plain';
    const mayRunAgain = request.copy.isIdempotent || isStreamed;
    return new AttemptPath({
      paths: this.context.paths,
      way,
      upstreamId: slot.upstream.id,
      onOutOfReach: () => {
        if (mayRunAgain) {
          request.cancelAttempt({kind: 'path-lost'});
        }
      },
    });
  }

  /**
   * Decides whether the attempt may send its first byte now. Consumes the
   * execution right of a request that needs one, and marks the request as sent.
   */
  private authorizeSend(
    request: ServedRequest,
    slot: UpstreamSlot,
    attemptId: string,
  ): boolean {
    const canSend =
      request.isRunning() &&
      (!request.copy.needsClaim || request.executionRight?.consume() === true);
    if (canSend) {
      request.wasSent = true;
      request.recordStep(
        {
          kind: 'attempt-started',
          attemptId,
          upstreamId: slot.upstream.id,
        },
        this.context.clock(),
      );
    }
    return canSend;
  }

  private finishAnswered(
    run: RequestRun,
    slot: UpstreamSlot,
    {status, answer}: UpstreamAnswer,
  ): void {
    const {request} = run;
    this.evidence.recordAnswered(run, slot);
    request.recordStep({kind: 'answered', status}, this.context.clock());
    request.finish({kind: 'answered', ...answerField(answer)});
  }

  /**
   * Returns how an attempt ended that failed with `error`. A refusal by an
   * engine is the final response to the request.
   */
  private endWithError(
    request: ServedRequest,
    attemptId: string,
    error: unknown,
  ): AttemptEnd {
    if (error instanceof EngineRefusal) {
      request.finish({
        kind: 'answered',
        answer: {
          status: error.status,
          contentType: 'application/json',
          body: error.body.toString('base64'),
          framing: error.framing,
        },
      });
      return {kind: 'refused-for-good'};
    }
    if (!isUpstreamError(error)) {
      throw error;
    }
    request.recordStep(
      {kind: 'attempt-ended', attemptId, failure: error.failure.kind},
      this.context.clock(),
    );
    return {kind: 'failed', failure: error.failure};
  }

  private giveUp(request: ServedRequest, error: ServingError): void {
    const {kind} = error;
    request.recordStep(
      {kind: 'gave-up', error: kind, ran: error.ran},
      this.context.clock(),
    );
    const right = request.executionRight;
    if (right?.destroy() === true) {
      this.context.claims.release(request.copy.key, right.rightId);
    }
    if (request.finish({kind: 'failed', error})) {
      this.context.events.write(4001, {
        requestId: request.id,
        kind: outcomeOf(request.state),
      });
    }
  }

  private requireService(name: string): Service {
    const configuration = this.context.configuration();
    const service = findService(configuration, name);
    if (service === undefined) {
      const remaining = listServices(configuration).length;
      throw new ServingError('service-unknown', {
        detail: `the service was removed; ${remaining} are left`,
      });
    }
    return service;
  }
}

function answerField(answer: KeptAnswer | undefined): {
  readonly answer?: KeptAnswer;
} {
  return answer === undefined ? {} : {answer};
}

function toServingError(error: unknown, request: ServedRequest): ServingError {
  if (error instanceof ServingError) {
    return error;
  }
  return new ServingError('internal', {ran: ranOf(request), cause: error});
}
