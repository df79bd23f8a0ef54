/**
 * The server side of attempts that take a second hop: forwards attempts of other
 * entry hosts to upstreams that those do not reach. The other host decides everything about its request; this one decides only whether
 * the upstream accepts requests from here.
 */
import type {IncomingHttpHeaders} from 'node:http';

import type {
  RefusalAnswer,
  RoutedCall,
  RoutedCallHandler,
  RoutedHead,
  RoutedResponder,
} from '@lacewingwinch/callers';
import {ServingError} from '@lacewingwinch/decisions';
import {
  carriedHeaders,
  decodeRelayOrder,
  encodeAnswerFraming,
  encodeIsFirstAnswer,
  encodeRelayRefusal,
  encodeReportedStart,
  type RelayOrder,
  type RelayRefusal,
} from '@lacewingwinch/entry-hosts';
import type {EventLog, Metrics} from '@lacewingwinch/observability';
import {
  type AnswerHead,
  ConnectFailedError,
  type ExchangeSender,
  type PooledExchange,
} from '@lacewingwinch/upstreams';

import {createProcessCheck} from './process_check.js';
import type {UpstreamPaths} from './upstream_paths.js';

/** Status of a response that carries a refusal. */
const REFUSAL_STATUS = 503;

/** Milliseconds allowed to connect to an upstream for another host. */
const CONNECT_MILLISECONDS = 150;

/** Maximum number of bytes of the body of a carried attempt. */
const MAXIMUM_BODY_BYTES = 64 * 1024 * 1024;

/** Maximum number of bytes of the headers of a carried attempt. */
const MAXIMUM_HEADER_BYTES = 60 * 1024;

/** Attempts that a host carries at the same time. */
const MAXIMUM_CARRIED_ATTEMPTS = 512;

/** An upstream, as far as a carrier needs to know it. */
export interface CarriedUpstream {
  readonly upstreamId: string;
  readonly bornAt: number;
  readonly service: string;
  /** IP address and port. */
  readonly address: string;
}

/** How a carried attempt ended. */
type CarriedEnd = 'answered' | 'cancelled' | 'lost' | 'not-sent';

/** Dependencies of `RelayCarrier`. */
export interface RelayCarrierDependencies {
  readonly pool: ExchangeSender;
  readonly events: EventLog;
  readonly metrics: Metrics;
  /** Returns an upstream that accepts requests from this host. */
  readonly acceptingUpstream: (
    upstreamId: string,
  ) => CarriedUpstream | undefined;
  readonly paths: UpstreamPaths;
  /** Returns steady clock readings in milliseconds. */
  readonly clock: () => number;
  /**
   * Called with the head of each answer of an upstream and the steady clock reading
   * at the first byte of the attempt. Returns whether the answer bears the id of an
   * attempt, without which its connection is not used again.
   */
  readonly onHead: (
    upstream: CarriedUpstream,
    order: RelayOrder,
    head: AnswerHead,
    sentAt: number,
  ) => boolean;
}

/** Carries attempts to upstreams. */
export class RelayCarrier implements RoutedCallHandler {
  /** Number of attempts in progress. */
  private carried = 0;

  constructor(private readonly dependencies: RelayCarrierDependencies) {}

  maximumBodyBytes(): number {
    return MAXIMUM_BODY_BYTES;
  }

  maximumHeaderBytes(): number {
    return MAXIMUM_HEADER_BYTES;
  }

  refuse(_headers: IncomingHttpHeaders, error: ServingError): RefusalAnswer {
    return this.refusalOf(error.message, false);
  }

  screen({headers}: RoutedHead): ServingError | undefined {
    return decodeRelayOrder(headers) === undefined
      ? new ServingError('request-malformed')
      : undefined;
  }

  async serve(call: RoutedCall, responder: RoutedResponder): Promise<void> {
    const order = decodeRelayOrder(call.headers);
    if (order === undefined) {
      this.sendRefusal(responder, 'the order is malformed', false);
      return;
    }
    const upstream = this.dependencies.acceptingUpstream(order.upstreamId);
    if (upstream === undefined) {
      const reason = 'the upstream accepts no requests from this host';
      this.sendRefusal(responder, reason, false, order);
      return;
    }
    if (this.carried >= MAXIMUM_CARRIED_ATTEMPTS) {
      this.sendRefusal(responder, 'too many attempts at once', false, order);
      return;
    }
    this.carried += 1;
    try {
      await this.carry(call, order, upstream, responder);
    } finally {
      this.carried -= 1;
    }
  }

  private carry(
    call: RoutedCall,
    order: RelayOrder,
    upstream: CarriedUpstream,
    responder: RoutedResponder,
  ): Promise<void> {
    const {pool, paths, acceptingUpstream, onHead} = this.dependencies;
    const {upstreamId, address} = upstream;
    return new Promise(resolve => {
      let hasBegun = false;
      let isPaused = false;
      let sentAt = 0;
      const end = (outcome: CarriedEnd): void => {
        call.clientDisconnected.removeEventListener('abort', onFrontLeft);
        this.recordEnd(order, outcome);
        resolve();
      };
      const onFrontLeft = (): void => {
        exchange?.cancel();
        end('cancelled');
      };
      call.clientDisconnected.addEventListener('abort', onFrontLeft, {
        once: true,
      });
      const exchange: PooledExchange | undefined = pool.send(
        {
          address,
          method: call.method,
          path: call.target,
          headers: carriedHeaders(call.rawHeaders),
          body: call.body.length === 0 ? undefined : call.body,
          maximumIdleMilliseconds: order.maximumIdleMilliseconds,
          maximumConnections: order.maximumConnections,
          maximumMilliseconds: order.maximumMilliseconds,
          connectMilliseconds: CONNECT_MILLISECONDS,
          attemptId: order.requestId,
          ...(order.requiredStart !== undefined && {
            check: createProcessCheck({
              start: order.requiredStart,
              isReportOptional: order.isReportOptional === true,
            }),
          }),
        },
        {
          onSend: ({isNew}) => {
            sentAt = this.dependencies.clock();
            if (isNew) {
              paths.recordReached(upstreamId);
            }
            return acceptingUpstream(upstreamId)?.bornAt === upstream.bornAt;
          },
          onHead: head => {
            paths.recordReached(upstreamId);
            if (!onHead(upstream, order, head, sentAt)) {
              exchange?.retire();
            }
            hasBegun = true;
            responder.begin(head.status, answerHeaders(head), 'chunks');
          },
          onData: chunk => {
            paths.recordReached(upstreamId);
            if (responder.write(chunk) || isPaused) {
              return;
            }
            isPaused = true;
            exchange?.pause();
            responder.onDrain(() => {
              isPaused = false;
              exchange?.resume();
            });
          },
          onEnd: () => {
            responder.end();
            end('answered');
          },
          onError: (error, wasSent) => {
            if (wasSent || hasBegun) {
              responder.abort();
              end('lost');
              return;
            }
            this.refuseUnsent(order, error, responder);
            end('not-sent');
          },
        },
      );
      if (exchange === undefined) {
        this.sendRefusal(responder, 'every connection is in use', false, order);
        end('not-sent');
      }
    });
  }

  private refuseUnsent(
    order: RelayOrder,
    error: Error,
    responder: RoutedResponder,
  ): void {
    const isUnreachable = error instanceof ConnectFailedError;
    if (isUnreachable) {
      this.dependencies.paths.recordUnreachable(
        order.upstreamId,
        error.message,
      );
    }
    this.sendRefusal(responder, error.message, isUnreachable, order);
  }

  private sendRefusal(
    responder: RoutedResponder,
    reason: string,
    isUnreachable: boolean,
    order?: RelayOrder,
  ): void {
    const {status, headers, body} = this.refusalOf(reason, isUnreachable);
    this.dependencies.events.write(4114, {
      requestId: order?.requestId ?? '',
      front: order?.front ?? '',
      upstreamId: order?.upstreamId ?? '',
      reason,
    });
    responder.sendComplete(status, headers, [body], 'length');
  }

  private refusalOf(reason: string, isUnreachable: boolean): RefusalAnswer {
    const refusal: RelayRefusal = {
      reason,
      isUnreachable,
      isCutOff: this.dependencies.paths.isCutOff,
    };
    return {
      status: REFUSAL_STATUS,
      headers: encodeRelayRefusal(refusal),
      body: Buffer.alloc(0),
    };
  }

  private recordEnd(
    {requestId, front, upstreamId}: RelayOrder,
    outcome: CarriedEnd,
  ): void {
    const {events, metrics} = this.dependencies;
    events.write(4115, {requestId, front, upstreamId, outcome});
    metrics.carriedAttempts.inc({end: outcome});
  }
}

/** Returns the headers of an answer with what they lack of the upstream's connection. */
function answerHeaders({
  rawHeaders,
  framing,
  isFirstOnConnection,
  reportedStart,
}: AnswerHead): string[] {
  return [
    ...carriedHeaders(rawHeaders),
    ...encodeAnswerFraming(framing),
    ...encodeIsFirstAnswer(isFirstOnConnection),
    ...encodeReportedStart(reportedStart),
  ];
}
