/**
 * The exchange of one attempt over one way to its upstream.
 */
import {bodyFramingOf, type Way} from '@lacewingwinch/decisions';
import {
  decodeAnswerFraming,
  decodeRelayRefusal,
  encodeRelayOrder,
} from '@lacewingwinch/entry-hosts';
import type {ExchangeCarrier} from '@lacewingwinch/upstreams';

import {NotCarriedError} from '../paths/relay_sender.js';

/** Connections that a carrier may open to the upstream. */
const MAXIMUM_CONNECTIONS = 64;

/** Idle milliseconds after which a carrier does not use a connection. */
const REPEATABLE_IDLE_MILLISECONDS = 4000;

/** Connections are not used again for requests that may not be repeated. */
const AT_MOST_ONCE_IDLE_MILLISECONDS = 1;

/** The attempt whose exchange is carried. */
export interface CarriedExchange {
  readonly upstreamId: string;
  /** The host that accepted the request. */
  readonly front: string;
  readonly requestId: string;
  readonly isRepeatable: boolean;
  readonly millisecondsLeft: number;
}

/** Returns the host that carries an exchange; undefined for a direct one. */
export function exchangeCarrierOf(
  way: Way,
  exchange: CarriedExchange,
): ExchangeCarrier | undefined {
  switch (way.kind) {
    case 'direct':
      return undefined;
    case 'carried': {
      const {hostId, addresses} = way.carrier;
      return {
        address: addresses.relay ?? '',
        headers: orderHeaders(exchange),
        refusalIn: headers => {
          const refusal = decodeRelayRefusal(headers);
          return refusal === undefined
            ? undefined
            : new NotCarriedError(hostId, refusal);
        },
        framingIn: headers =>
          decodeAnswerFraming(headers) ?? bodyFramingOf(headers),
      };
    }
  }
}

function orderHeaders({
  upstreamId,
  front,
  requestId,
  isRepeatable,
  millisecondsLeft,
}: CarriedExchange): Readonly<Record<string, string>> {
  const raw = encodeRelayOrder([], {
    upstreamId,
    front,
    requestId,
    maximumMilliseconds: Math.max(1, millisecondsLeft),
    maximumIdleMilliseconds: isRepeatable
      ? REPEATABLE_IDLE_MILLISECONDS
      : AT_MOST_ONCE_IDLE_MILLISECONDS,
    maximumConnections: MAXIMUM_CONNECTIONS,
  });
  return Object.fromEntries(
    raw.flatMap((name, index) =>
      index % 2 === 0 ? [[name, raw[index + 1] ?? '']] : [],
    ),
  );
}
