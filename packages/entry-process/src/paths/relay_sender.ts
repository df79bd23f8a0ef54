/**
 * Sends attempts to upstreams through another entry host.
 */
import type {CarrierResult, Member} from '@lacewingwinch/decisions';
import {
  decodeAnswerFraming,
  decodeIsFirstAnswer,
  decodeRelayRefusal,
  decodeReportedStart,
  encodeRelayOrder,
  type RelayRefusal,
  withoutRelayHeaders,
} from '@lacewingwinch/entry-hosts';
import type {
  AnswerHead,
  ExchangeSender,
  PooledExchange,
  PooledReceiver,
  PooledRequest,
} from '@lacewingwinch/upstreams';

import type {RequiredProcess} from './process_check.js';

/** Connections that this host opens to one carrier at the most. */
const MAXIMUM_CARRIER_CONNECTIONS = 256;

/** Idle milliseconds after which a connection to a carrier is not used. */
const CARRIER_IDLE_MILLISECONDS = 2500;

/** Error of an attempt that the other host did not send to the upstream. */
export class NotCarriedError extends Error {
  override readonly name = 'NotCarriedError';

  constructor(
    hostId: string,
    readonly refusal: RelayRefusal,
  ) {
    super(`not carried by ${hostId}: ${refusal.reason}`);
  }
}

/** The attempt that is sent through another host. */
export interface RelayedAttempt {
  readonly pool: ExchangeSender;
  /** The host that carries the attempt; it has an address for relays. */
  readonly carrier: Member;
  /** This host. */
  readonly front: string;
  readonly upstreamId: string;
  readonly requestId: string;
  /** The only process to which the attempt may be sent, if it matters. */
  readonly requiredProcess: RequiredProcess | undefined;
  /** Milliseconds allowed to connect to the carrier. */
  readonly connectMilliseconds: number;
}

/** Sends one attempt through another entry host. */
export class RelaySender implements ExchangeSender {
  constructor(private readonly attempt: RelayedAttempt) {}

  send(
    request: PooledRequest,
    receiver: PooledReceiver,
  ): PooledExchange | undefined {
    const {pool, carrier, front, upstreamId, requestId, requiredProcess} =
      this.attempt;
    let refusal: RelayRefusal | undefined;
    return pool.send(
      {
        ...request,
        // The carrier makes the check, and selects its own connection to the upstream.
        check: undefined,
        attemptId: undefined,
        address: carrier.addresses.relay ?? '',
        headers: encodeRelayOrder(request.headers, {
          upstreamId,
          front,
          requestId,
          ...(requiredProcess !== undefined && {
            requiredStart: requiredProcess.start,
            isReportOptional: requiredProcess.isReportOptional,
          }),
          maximumMilliseconds: request.maximumMilliseconds,
          maximumIdleMilliseconds: request.maximumIdleMilliseconds,
          maximumConnections: request.maximumConnections,
        }),
        maximumIdleMilliseconds: CARRIER_IDLE_MILLISECONDS,
        maximumConnections: MAXIMUM_CARRIER_CONNECTIONS,
        connectMilliseconds: this.attempt.connectMilliseconds,
      },
      {
        onSend: connection => receiver.onSend(connection),
        onHead: head => {
          refusal = decodeRelayRefusal(head.headers);
          if (refusal === undefined) {
            receiver.onHead(carriedHead(head));
          }
        },
        onData: chunk => {
          if (refusal === undefined) {
            receiver.onData(chunk);
          }
        },
        onEnd: () => {
          if (refusal === undefined) {
            receiver.onEnd();
            return;
          }
          receiver.onError(new NotCarriedError(carrier.hostId, refusal), false);
        },
        onError: (error, wasSent) => receiver.onError(error, wasSent),
      },
    );
  }
}

/** Returns what the refusal of a carrier says of it. */
export function carrierResultOf({
  isCutOff,
  isUnreachable,
}: RelayRefusal): CarrierResult {
  if (isCutOff) {
    return 'cut-off';
  }
  return isUnreachable ? 'out-of-reach' : 'declined';
}

/** Returns the head of an answer as the upstream sent it. */
function carriedHead(head: AnswerHead): AnswerHead {
  return {
    ...head,
    rawHeaders: withoutRelayHeaders(head.rawHeaders),
    framing: decodeAnswerFraming(head.headers) ?? head.framing,
    isFirstOnConnection: decodeIsFirstAnswer(head.headers),
    reportedStart: decodeReportedStart(head.headers),
  };
}
