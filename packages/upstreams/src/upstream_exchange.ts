/**
 * One HTTP exchange with an upstream, which tracks whether the first byte was
 * written.
 */
import type {IncomingHttpHeaders} from 'node:http';

import {
  type AttemptFailure,
  type BodyFraming,
  bodyFramingOf,
} from '@lacewingwinch/decisions';
import type {Dispatcher} from 'undici';

import {UpstreamError} from './upstream_error.js';

/** A request for one HTTP exchange with an upstream. */
export interface UpstreamRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer | undefined;
  /** Cancels the exchange; the abort reason may be an `AttemptFailure`. */
  readonly signal: AbortSignal;
  /**
   * Called on an open connection just before the first byte is written. If it
   * returns false, the exchange fails with nothing sent.
   */
  readonly canSend: () => boolean;
  /** Called with each part of the answer that arrives. */
  readonly onBytes?: () => void;
  /** Another host that carries the exchange; absent for a direct one. */
  readonly carrier?: ExchangeCarrier;
}

/** A host that carries an exchange to its upstream. */
export interface ExchangeCarrier {
  /** IP address and port. */
  readonly address: string;
  /** Headers besides those of the request. */
  readonly headers: Readonly<Record<string, string>>;
  /** Returns the error of a host that did not send the request. */
  readonly refusalIn: (headers: IncomingHttpHeaders) => Error | undefined;
  /** Returns the framing of the upstream's answer. */
  readonly framingIn: (headers: IncomingHttpHeaders) => BodyFraming;
}

/** Receiver of the parts of an answer. */
export interface AnswerReceiver {
  onHead(
    status: number,
    headers: IncomingHttpHeaders,
    framing: BodyFraming,
  ): void;
  /** Receives bytes of the body; throwing an error ends the exchange. */
  onData(chunk: Buffer): void;
}

/** Returns the origin to which the bytes of an exchange are sent. */
export function originOf(
  address: string,
  {carrier}: Pick<UpstreamRequest, 'carrier'>,
): string {
  return `http://${carrier?.address ?? address}`;
}

/** Runs one exchange; rejects with an `UpstreamError`. */
export function exchange(
  dispatcher: Dispatcher,
  origin: string,
  request: UpstreamRequest,
  receiver: AnswerReceiver,
): Promise<void> {
  return new Promise((resolve, reject) => {
    let wasSent = false;
    let abort: ((reason: Error) => void) | undefined;
    const fail = (error: Error): void => {
      request.signal.removeEventListener('abort', onAbort);
      reject(toUpstreamError(error, wasSent, request.signal));
    };
    const onAbort = (): void => {
      const reason = new Error('cancelled');
      abort?.(reason);
      fail(reason);
    };
    if (request.signal.aborted) {
      fail(new Error('cancelled'));
      return;
    }
    request.signal.addEventListener('abort', onAbort, {once: true});
    dispatcher.dispatch(
      {
        origin,
        method: request.method,
        path: request.path,
        headers: {...request.headers, ...request.carrier?.headers},
        body: request.body ?? null,
      },
      {
        onRequestStart: controller => {
          abort = reason => controller.abort(reason);
          if (request.signal.aborted || wasSent || !request.canSend()) {
            controller.abort(new Error('the attempt may not be sent'));
            return;
          }
          wasSent = true;
        },
        onResponseStart: (controller, status, headers) => {
          const {carrier} = request;
          const refusal = carrier?.refusalIn(headers);
          if (refusal !== undefined) {
            wasSent = false;
            controller.abort(refusal);
            return;
          }
          request.onBytes?.();
          const framing = carrier?.framingIn(headers) ?? bodyFramingOf(headers);
          receiver.onHead(status, headers, framing);
        },
        onResponseData: (_controller, chunk) => {
          request.onBytes?.();
          receiver.onData(chunk);
        },
        onResponseEnd: () => {
          request.signal.removeEventListener('abort', onAbort);
          resolve();
        },
        onResponseError: (_controller, error) => fail(error),
      },
    );
  });
}

function toUpstreamError(
  error: Error,
  wasSent: boolean,
  signal: AbortSignal,
): UpstreamError {
  const reason: unknown = signal.aborted ? signal.reason : undefined;
  if (isAttemptFailure(reason)) {
    return new UpstreamError(reason, reason.kind, wasSent);
  }
  const kind = wasSent ? 'connection-lost' : 'not-sent';
  return new UpstreamError({kind}, error.message, wasSent, error);
}

function isAttemptFailure(value: unknown): value is AttemptFailure {
  return typeof value === 'object' && value !== null && 'kind' in value;
}
