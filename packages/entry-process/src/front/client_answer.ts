/**
 * Responses to clients, built from the state of a request.
 */
import type {ClientAnswer} from '@lacewingwinch/callers';
import type {ServingError} from '@lacewingwinch/decisions';

import {assembleCompletion} from './prompt_text.js';
import type {RequestState, ServedRequest} from './served_request.js';

/** Returns the response that refuses a request because of `error`. */
export function refusalOf(
  error: ServingError,
  requestId: string | undefined,
  headers: Readonly<Record<string, string>> = {},
): ClientAnswer {
  return {
    kind: 'refused',
    error,
    headers,
    ...(requestId === undefined ? {} : {requestId}),
  };
}

/**
 * Waits until `request` can be answered. If the client wants a stream, returns
 * one as soon as there is an event at `fromOffset`. Otherwise returns the
 * complete response after the end of the request.
 */
export async function awaitAnswer(
  request: ServedRequest,
  isStreamed: boolean,
  fromOffset: number,
  headers: Readonly<Record<string, string>>,
): Promise<ClientAnswer> {
  const allHeaders = {
    ...headers,
    'x-held-by': request.backup === undefined ? 'one-host' : 'two-hosts',
  };
  if (isStreamed && request.copy.callKind !== 'plain') {
    await request.waitForEvent(fromOffset);
    if (request.isRunning() || request.buffer.length > fromOffset) {
      return {
        kind: 'stream',
        requestId: request.id,
        headers: allHeaders,
        items: request.items(fromOffset),
      };
    }
  }
  const state = await request.ended();
  return answerForState(request, state, isStreamed, fromOffset, allHeaders);
}

function answerForState(
  request: ServedRequest,
  state: Exclude<RequestState, {readonly kind: 'running'}>,
  isStreamed: boolean,
  fromOffset: number,
  headers: Readonly<Record<string, string>>,
): ClientAnswer {
  const requestId = request.id;
  switch (state.kind) {
    case 'failed':
      return refusalOf(state.error, requestId, headers);
    case 'moved':
      return {kind: 'moved', status: 303, location: state.location, requestId};
    case 'answered':
      break;
  }
  if (state.answer !== undefined) {
    const {status, contentType, body, framing} = state.answer;
    const bytes = Buffer.from(body, 'base64');
    return {
      kind: 'whole',
      requestId,
      status,
      contentType,
      headers,
      body: bytes,
      framing,
    };
  }
  if (isStreamed) {
    const items = request.items(fromOffset);
    return {kind: 'stream', requestId, headers, items};
  }
  const isChat = request.copy.callKind === 'chat-completion';
  const document = assembleCompletion(
    requestId,
    isChat,
    request.buffer.from(0),
  );
  return {
    kind: 'whole',
    requestId,
    status: 200,
    contentType: 'application/json',
    headers,
    body: Buffer.from(document),
    framing: 'length',
  };
}
