/**
 * Serves routed requests: admission, limits, placement, attempts and response.
 */
import type {IncomingHttpHeaders} from 'node:http';

import type {
  RefusalAnswer,
  RoutedCall,
  RoutedCallHandler,
  RoutedHead,
  RoutedResponder,
} from '@lacewingwinch/callers';
import {
  type ErrorKind,
  type RoutedAdmission,
  ServingError,
} from '@lacewingwinch/decisions';
import {EventThrottle} from '@lacewingwinch/observability';
import {
  type CallHeaders,
  decodeCallHeaders,
  encodeAttemptIdHeader,
} from '@lacewingwinch/platform';

import {
  admitAtFront,
  quotaAmountOf,
  quotaRankOf,
  refusalForQuota,
} from './front_admission.js';
import type {FrontDependencies} from './front_dependencies.js';
import {RoutedRequest} from './routed_request.js';

/** Maximum number of bytes of a body before a configuration is known. */
const DEFAULT_MAXIMUM_BODY_BYTES = 4 * 1024 * 1024;

/** Maximum number of bytes of the headers before a configuration is known. */
const DEFAULT_MAXIMUM_HEADER_BYTES = 16 * 1024;

/** Refusals each second that are logged one by one though their clients cause them. */
const MAXIMUM_LOGGED_CLIENT_ERRORS = 50;

/** Kinds of errors that clients cause by what they send. */
const CLIENT_ERRORS: ReadonlySet<ErrorKind> = new Set([
  'path-unknown',
  'request-malformed',
  'workspace-key-rejected',
]);

/** The front of one entry host. */
export class RoutedFront implements RoutedCallHandler {
  private readonly clientErrors = new EventThrottle(
    MAXIMUM_LOGGED_CLIENT_ERRORS,
  );
  private readonly running = new Set<RoutedRequest>();

  constructor(private readonly dependencies: FrontDependencies) {}

  /** Number of requests in progress. */
  get runningCount(): number {
    return this.running.size;
  }

  /** Ends all requests in progress with a final answer, because the host stops. */
  endAll(): void {
    this.running.forEach(request => request.endForStop());
  }

  maximumBodyBytes(): number {
    const limits = this.dependencies.configuration()?.value.limits;
    return limits?.bodyBytes ?? DEFAULT_MAXIMUM_BODY_BYTES;
  }

  maximumHeaderBytes(): number {
    const limits = this.dependencies.configuration()?.value.limits;
    return limits?.headerBytes ?? DEFAULT_MAXIMUM_HEADER_BYTES;
  }

  refuse(headers: IncomingHttpHeaders, error: ServingError): RefusalAnswer {
    return refusalOf(error, decodeCallHeaders(headers).attemptId);
  }

  screen(head: RoutedHead): ServingError | undefined {
    try {
      this.admit(head, decodeCallHeaders(head.headers), 0);
      return undefined;
    } catch (error) {
      return error instanceof ServingError
        ? error
        : new ServingError('internal', {cause: error});
    }
  }

  async serve(call: RoutedCall, responder: RoutedResponder): Promise<void> {
    const headers = decodeCallHeaders(call.headers);
    try {
      const admission = this.admit(call, headers, call.body.length);
      await this.run(call, headers, admission, responder);
    } catch (error) {
      const servingError =
        error instanceof ServingError
          ? error
          : new ServingError('internal', {cause: error});
      this.answerRefusal(headers, servingError, responder);
    }
  }

  private admit(
    head: RoutedHead,
    headers: CallHeaders,
    bodyBytes: number,
  ): RoutedAdmission {
    if (headers.attemptId === undefined) {
      throw new ServingError('request-malformed', {
        detail: 'the request carries no attempt id',
      });
    }
    return admitAtFront(this.dependencies, {
      // A stream that is taken up stays at the service that began it.
      attemptId: headers.resumedAttemptId ?? headers.attemptId,
      host: head.host,
      path: head.path,
      workspaceKey: headers.workspaceKey,
      deadlineMilliseconds: headers.deadlineMilliseconds,
      bodyBytes,
    });
  }

  private async run(
    call: RoutedCall,
    headers: CallHeaders,
    admission: RoutedAdmission,
    responder: RoutedResponder,
  ): Promise<void> {
    const charge = await this.takeQuota(headers, admission);
    this.dependencies.retryBudgets
      .of(admission.service.name)
      .addRequest(this.dependencies.clocks.steady());
    const request = new RoutedRequest(
      this.dependencies,
      call,
      headers,
      admission,
      responder,
    );
    this.running.add(request);
    try {
      await request.run();
    } finally {
      this.running.delete(request);
      if (!request.mayHaveRun) {
        charge.giveBack();
      }
    }
  }

  private async takeQuota(
    headers: CallHeaders,
    admission: RoutedAdmission,
  ): Promise<{readonly giveBack: () => void}> {
    const {workspace} = admission;
    const quota = workspace?.quota;
    if (workspace === undefined || quota === undefined) {
      return {giveBack: () => undefined};
    }
    const {quotas} = this.dependencies;
    const verdict = await quotas.take(
      workspace.name,
      quota,
      quotaAmountOf(headers, quota),
      quotaRankOf(this.dependencies, admission),
    );
    switch (verdict.kind) {
      case 'taken':
        return verdict;
      case 'used-up':
        throw refusalForQuota(workspace.name, verdict.waitMilliseconds);
    }
  }

  /** Logs a refusal, but not each one of those that clients can cause at will. */
  private logRefusal(
    {kind, message: detail}: ServingError,
    now: number,
    request: {
      readonly requestId: string;
      readonly version: number;
      readonly age: number;
    },
  ): void {
    const {events} = this.dependencies;
    if (CLIENT_ERRORS.has(kind)) {
      const count = this.clientErrors.admit(now);
      if (count === undefined) {
        return;
      }
      if (count > 0) {
        events.write(4116, {count, kind});
      }
    }
    events.write(4103, {...request, kind, detail});
  }

  private answerRefusal(
    headers: CallHeaders,
    error: ServingError,
    responder: RoutedResponder,
  ): void {
    const confirmed = this.dependencies.configuration();
    const now = this.dependencies.clocks.suspensionAware();
    this.logRefusal(error, now, {
      requestId: headers.attemptId ?? '',
      version: confirmed?.value.version ?? -1,
      age:
        confirmed === undefined ? -1 : Math.round(now - confirmed.confirmedAt),
    });
    this.dependencies.metrics.requests.inc({
      workspace: '',
      service: '',
      outcome: error.kind,
    });
    if (responder.hasBegun) {
      responder.abort();
      return;
    }
    const answer = refusalOf(error, headers.attemptId);
    responder.sendComplete(
      answer.status,
      answer.headers,
      [answer.body],
      'length',
    );
  }
}

/** Returns the response that reports `error` to a client. */
export function refusalOf(
  error: ServingError,
  attemptId: string | undefined,
): RefusalAnswer {
  const headers = ['content-type', 'application/problem+json'];
  for (const [name, value] of Object.entries(
    encodeAttemptIdHeader(attemptId),
  )) {
    headers.push(name, value);
  }
  if (error.retryAfterSeconds !== undefined) {
    headers.push('retry-after', error.retryAfterSeconds.toFixed(2));
  }
  return {
    status: error.status,
    headers,
    body: Buffer.from(JSON.stringify(error.toProblem(attemptId))),
  };
}
