/**
 * The attempts at one request, until it is answered or given up.
 */
import {
  type AttemptFailure,
  decideRetry,
  type ErrorKind,
  findService,
  listServices,
  type SendOutcome,
  type Service,
  ServingError,
} from '@lacewingwinch/decisions';
import type {KeptAnswer} from '@lacewingwinch/entry-hosts';
import {
  callPlainService,
  EngineRefusal,
  isUpstreamError,
  streamCompletion,
} from '@lacewingwinch/upstreams';

import type {StreamMover} from '../recovery/stream_mover.js';
import {engineBody, upstreamHeaders} from './engine_request.js';
import type {FrontContext} from './front_context.js';
import {type Place, PlaceFinder, type RequestRun} from './place_finder.js';
import {outcomeOf, ranOf, type ServedRequest} from './served_request.js';

/** How one attempt ended. */
type AttemptEnd =
  | {readonly kind: 'answered'}
  | {readonly kind: 'failed'; readonly failure: AttemptFailure}
  | {readonly kind: 'refused-for-good'};

/** Runs the attempts of requests. */
export class AttemptLoop {
  private readonly places: PlaceFinder;

  constructor(
    private readonly context: FrontContext,
    private readonly mover: StreamMover,
  ) {
    this.places = new PlaceFinder(context);
  }

  /**
   * Runs `request` until it has ended. No attempt is sent before `accepted`
   * resolves; if it rejects, the request fails.
   */
  async run(
    request: ServedRequest,
    outcome: SendOutcome,
    accepted: Promise<void>,
  ): Promise<void> {
    // Its failure is seen where it is awaited.
    accepted.catch(() => undefined);
    const {copy} = request;
    const timeLeft = copy.deadline - this.context.clock();
    const timer = setTimeout(
      () => request.cancelAttempt({kind: 'deadline-passed'}),
      Math.max(0, timeLeft),
    );
    try {
      const service = this.serviceOf(copy.service);
      this.context
        .retryBudgetOf(service.name)
        .addFirstAttempt(this.context.clock());
      // A claim takes the log's time, in which no place must stand empty.
      if (request.copy.needsClaim) {
        await accepted;
      }
      await this.runAttempts({request, service, outcome}, accepted);
    } catch (error) {
      this.giveUp(request, toServingError(error, request));
    } finally {
      clearTimeout(timer);
      this.mover.forget(request);
    }
  }

  private async runAttempts(
    run: RequestRun,
    accepted: Promise<void>,
  ): Promise<void> {
    const {request, service} = run;
    const excluded: string[] = [];
    while (request.isRunning()) {
      const place = await this.places.find(run, excluded);
      const end = await this.attemptAt(place, run, accepted);
      this.context.metrics.attempts.inc({
        service: service.name,
        end: end.kind === 'failed' ? end.failure.kind : end.kind,
      });
      if (end.kind !== 'failed' || !request.isRunning()) {
        return;
      }
      excluded.push(place.upstream.id);
      this.noteCrash(request, place, end.failure);
      this.requireRetry(run, end.failure);
    }
  }

  private async attemptAt(
    place: Place,
    run: RequestRun,
    accepted: Promise<void>,
  ): Promise<AttemptEnd> {
    try {
      await accepted;
      return run.request.isRunning()
        ? await this.attempt(run, place)
        : {kind: 'refused-for-good'};
    } finally {
      this.context.permits.release(place.permitId);
    }
  }

  private requireRetry(run: RequestRun, failure: AttemptFailure): void {
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
        this.requireNotCondemned(run, now);
        const budget = this.context.retryBudgetOf(service.name);
        const isAffordable =
          !decision.needsBudget ||
          budget.takeFurtherAttempt(
            service.retryBudgetFraction,
            service.upstreamConcurrency,
            now,
          );
        if (!isAffordable) {
          throw new ServingError('upstream-failed', {
            ran: ranOf(request),
            detail: 'the retry budget of the service is used up',
          });
        }
      }
    }
  }

  private requireNotCondemned(run: RequestRun, now: number): void {
    const verdict = this.places.verdictOn(run, now);
    if (verdict.kind === 'condemned') {
      throw new ServingError('quarantined', {
        ran: ranOf(run.request),
        retryAfterSeconds: Math.ceil((verdict.until - now) / 1000),
      });
    }
  }

  private async attempt(run: RequestRun, place: Place): Promise<AttemptEnd> {
    const {request, service, outcome} = run;
    const attemptId = `${request.id}.${request.attempts + 1}`;
    const signal = request.beginAttempt(attemptId, place.upstream.id);
    const span = this.context.tracing.startHop(
      'upstream',
      'client',
      request.traceparent,
      {'upstream.id': place.upstream.id, 'request.id': request.id},
    );
    try {
      if (this.context.clock() >= request.copy.deadline) {
        return {kind: 'failed', failure: {kind: 'deadline-passed'}};
      }
      const send = {request, outcome, place, attemptId, signal};
      const headers = upstreamHeaders(
        request.copy,
        attemptId,
        span.traceparent,
      );
      const mayBeSent = (): boolean => this.markSent(request, place, attemptId);
      await (service.upstreamKind === 'model'
        ? this.callEngine(send, headers, mayBeSent)
        : this.callPlain(send, headers, mayBeSent));
      span.end();
      return {kind: 'answered'};
    } catch (error) {
      span.end('failed');
      return this.endOf(request, attemptId, error);
    } finally {
      request.upstreamId = undefined;
    }
  }

  private markSent(
    request: ServedRequest,
    place: Place,
    attemptId: string,
  ): boolean {
    const maySend =
      request.isRunning() &&
      (!request.copy.needsClaim || request.right?.consume() === true);
    if (maySend) {
      request.wasSent = true;
      request.note(
        {
          kind: 'attempt-started',
          attemptId,
          upstreamId: place.upstream.id,
        },
        this.context.clock(),
      );
    }
    return maySend;
  }

  private async callPlain(
    send: Send,
    headers: Readonly<Record<string, string>>,
    mayBeSent: () => boolean,
  ): Promise<void> {
    const {request, place, signal} = send;
    const answer = await callPlainService(this.context.connections, {
      address: place.upstream.address,
      isRepeatable: request.copy.isIdempotent,
      request: {
        method: request.copy.method,
        path: request.copy.path,
        headers,
        body: request.body.length === 0 ? undefined : request.body,
        signal,
        mayBeSent,
      },
    });
    this.finishAnswered(request, place, answer.status, {
      status: answer.status,
      contentType: answer.contentType,
      body: answer.body.toString('base64'),
    });
  }

  private async callEngine(
    send: Send,
    headers: Readonly<Record<string, string>>,
    mayBeSent: () => boolean,
  ): Promise<void> {
    const {request, outcome, place, attemptId, signal} = send;
    const resume = this.mover.resumePoint(request);
    await streamCompletion(this.context.connections, {
      address: place.upstream.address,
      request: {
        method: 'POST',
        path: request.copy.path,
        headers,
        body: engineBody(request, outcome.model, resume),
        signal,
        mayBeSent,
      },
      onEvent: ({offset, data}) => request.acceptEvent(attemptId, offset, data),
    });
    this.finishAnswered(request, place, 200, undefined);
  }

  private finishAnswered(
    request: ServedRequest,
    place: Place,
    status: number,
    answer: KeptAnswer | undefined,
  ): void {
    if (place.isAlone) {
      this.context.quarantine.clear(request.fingerprint, this.context.clock());
    }
    request.note({kind: 'answered', status}, this.context.clock());
    request.finish({kind: 'answered', ...keptAnswer(answer)});
  }

  private endOf(
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
        },
      });
      return {kind: 'refused-for-good'};
    }
    if (!isUpstreamError(error)) {
      throw error;
    }
    request.note(
      {kind: 'attempt-ended', attemptId, failure: error.failure.kind},
      this.context.clock(),
    );
    return {kind: 'failed', failure: error.failure};
  }

  private noteCrash(
    request: ServedRequest,
    place: Place,
    failure: AttemptFailure,
  ): void {
    const upstreamId = place.upstream.id;
    const isLeaving = this.context.directory.leavingIds().includes(upstreamId);
    if (failure.kind !== 'connection-lost' || isLeaving) {
      return;
    }
    this.context.quarantine.noteCrash(
      upstreamId,
      request.fingerprint,
      place.isAlone,
      this.context.clock(),
    );
    this.context.events.write(4003, {
      fingerprint: request.fingerprint,
      upstreamId,
    });
    this.context.membership.broadcast();
  }

  private giveUp(request: ServedRequest, error: ServingError): void {
    const {kind} = error;
    request.note(
      {kind: 'gave-up', error: kind, ran: error.ran},
      this.context.clock(),
    );
    const right = request.right;
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

  private serviceOf(name: string): Service {
    const configuration = this.context.configuration();
    const service = findService(configuration, name);
    if (service === undefined) {
      const known = listServices(configuration).length;
      throw new ServingError('service-unknown', {
        detail: `the service was removed; ${known} are left`,
      });
    }
    return service;
  }
}

interface Send {
  readonly request: ServedRequest;
  readonly outcome: SendOutcome;
  readonly place: Place;
  readonly attemptId: string;
  readonly signal: AbortSignal;
}

function keptAnswer(answer: KeptAnswer | undefined): {
  readonly answer?: KeptAnswer;
} {
  return answer === undefined ? {} : {answer};
}

function toServingError(error: unknown, request: ServedRequest): ServingError {
  if (error instanceof ServingError) {
    return error;
  }
  const kind: ErrorKind = 'internal';
  return new ServingError(kind, {ran: ranOf(request), cause: error});
}
