/**
 * Calls to plain services.
 */
import {
  type BodyFraming,
  isFinalStatus,
  MAXIMUM_RESPONSE_BYTES,
  promisesNotRun,
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
    return rejectUnusable(answer);
  }
  const client = connections.openSingleUse(origin);
  try {
    const answer = await collectAnswer(call, receiver =>
      exchange(client, origin, call.request, receiver),
    );
    return rejectUnusable(answer);
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

/**
 * Rejects an answer whose status is none, or would promise the client that the call
 * has not run and never will, which only this host can promise.
 */
function rejectUnusable(answer: PlainAnswer): PlainAnswer {
  if (promisesNotRun(answer.status) || !isFinalStatus(answer.status)) {
    throw new UpstreamError(
      {kind: 'refused-by-upstream'},
      `the upstream answered ${answer.status}`,
      true,
    );
  }
  return answer;
}
