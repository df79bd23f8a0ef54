/**
 * Calls to plain services.
 */
import {
  type BodyFraming,
  MAXIMUM_RESPONSE_BYTES,
} from '@lacewingwinch/decisions';

import type {UpstreamConnections} from './upstream_connections.js';
import {UpstreamError} from './upstream_error.js';
import {
  type AnswerReceiver,
  exchange,
  originOf,
  type UpstreamRequest,
} from './upstream_exchange.js';

/** The complete answer of a plain service. */
export interface PlainAnswer {
  readonly status: number;
  readonly contentType: string;
  readonly body: Buffer;
  readonly framing: BodyFraming;
}

/** A call to a plain service. */
export interface PlainCall {
  /** IP address and port of the upstream. */
  readonly address: string;
  readonly request: UpstreamRequest;
  /** Whether the call may be repeated. */
  readonly isRepeatable: boolean;
}

/** Status with which a service states that it did not accept the call. */
const SERVICE_UNAVAILABLE = 503;

/** Calls a plain service and returns its complete answer. */
export async function callPlainService(
  connections: UpstreamConnections,
  call: PlainCall,
): Promise<PlainAnswer> {
  const origin = originOf(call.address, call.request);
  if (call.isRepeatable) {
    const answer = await collectAnswer(call, receiver =>
      exchange(connections.persistent, origin, call.request, receiver),
    );
    return rejectUnavailable(answer);
  }
  const client = connections.openSingleUse(origin);
  try {
    return await collectAnswer(call, receiver =>
      exchange(client, origin, call.request, receiver),
    );
  } finally {
    void client.destroy();
  }
}

async function collectAnswer(
  call: PlainCall,
  run: (receiver: AnswerReceiver) => Promise<void>,
): Promise<PlainAnswer> {
  let status = 0;
  let contentType = 'application/octet-stream';
  let framing: BodyFraming = 'connection';
  let bytes = 0;
  const chunks: Buffer[] = [];
  await run({
    onHead: (answerStatus, headers, answerFraming) => {
      status = answerStatus;
      contentType = headers['content-type'] ?? contentType;
      framing = answerFraming;
    },
    onData: chunk => {
      bytes += chunk.length;
      if (bytes > MAXIMUM_RESPONSE_BYTES) {
        throw new Error(`the answer of ${call.address} is too large`);
      }
      chunks.push(chunk);
    },
  });
  return {status, contentType, body: Buffer.concat(chunks), framing};
}

function rejectUnavailable(answer: PlainAnswer): PlainAnswer {
  if (answer.status === SERVICE_UNAVAILABLE) {
    throw new UpstreamError(
      {kind: 'refused-by-upstream'},
      'the upstream is unavailable',
      true,
    );
  }
  return answer;
}
