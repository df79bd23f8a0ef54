/**
 * Writing of HTTP responses.
 */
import type {ServerResponse} from 'node:http';

import type {ServingError} from '@lacewingwinch/decisions';

import type {ClientAnswer, StreamItem} from './client_messages.js';
import {omitFraming} from './omit_framing.js';

/** Writes `answer` to `response`. */
export async function writeAnswer(
  response: ServerResponse,
  answer: ClientAnswer,
): Promise<void> {
  switch (answer.kind) {
    case 'moved':
      response.writeHead(answer.status, {
        location: answer.location,
        ...requestIdHeader(answer.requestId),
      });
      response.end();
      return;
    case 'refused':
      writeProblem(response, answer.error, answer.requestId, answer.headers);
      return;
    case 'whole':
      if (answer.framing === 'connection') {
        omitFraming(response);
      }
      response.writeHead(answer.status, {
        'content-type': answer.contentType,
        ...(answer.framing !== 'connection' && {
          'content-length': answer.body.length,
        }),
        ...answer.headers,
        ...requestIdHeader(answer.requestId),
      });
      response.end(answer.body);
      return;
    case 'stream':
      response.writeHead(200, {
        'content-type': 'text/event-stream',
        'cache-control': 'no-store',
        ...answer.headers,
        ...requestIdHeader(answer.requestId),
      });
      await writeItems(response, answer.items, answer.requestId);
      return;
  }
}

/**
 * Writes an error response with `error` as a problem document; `end` ends it, at once
 * by default.
 */
export function writeProblem(
  response: ServerResponse,
  error: ServingError,
  requestId: string | undefined,
  headers: Readonly<Record<string, string>> = {},
  end: () => void = () => response.end(),
): void {
  const body = JSON.stringify(error.toProblem(requestId));
  response.writeHead(error.status, {
    'content-type': 'application/problem+json',
    'content-length': Buffer.byteLength(body),
    ...(error.retryAfterSeconds === undefined
      ? {}
      : {'retry-after': String(Math.ceil(error.retryAfterSeconds))}),
    ...headers,
    ...requestIdHeader(requestId),
  });
  response.write(body);
  end();
}

async function writeItems(
  response: ServerResponse,
  items: AsyncIterable<StreamItem>,
  requestId: string,
): Promise<void> {
  response.flushHeaders();
  for await (const item of items) {
    if (response.destroyed) {
      return;
    }
    const canContinue = response.write(renderItem(item, requestId));
    if (!canContinue) {
      await waitForDrain(response);
    }
  }
  response.end();
}

function renderItem(item: StreamItem, requestId: string): string {
  switch (item.kind) {
    case 'event':
      return `id: ${item.offset}\ndata: ${item.data}\n\n`;
    case 'end':
      return 'data: [DONE]\n\n';
    case 'failed':
      return `event: error\ndata: ${JSON.stringify(item.error.toProblem(requestId))}\n\n`;
    case 'moved':
      return `event: moved\ndata: ${JSON.stringify({location: item.location})}\n\n`;
  }
}

function waitForDrain(response: ServerResponse): Promise<void> {
  return new Promise(resolve => {
    const onDone = (): void => {
      response.off('drain', onDone);
      response.off('close', onDone);
      resolve();
    };
    response.once('drain', onDone);
    response.once('close', onDone);
  });
}

function requestIdHeader(
  requestId: string | undefined,
): Readonly<Record<string, string>> {
  return requestId === undefined ? {} : {'x-request-id': requestId};
}
