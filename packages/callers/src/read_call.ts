/**
 * Reading and validation of HTTP requests.
 */
import type {IncomingMessage} from 'node:http';

import {isRecord, ServingError} from '@lacewingwinch/decisions';

import type {ClientCall, FetchCall} from './client_messages.js';

/** Maximum size of a request body, in bytes. */
export const MAXIMUM_BODY_BYTES = 8 * 1024 * 1024;

const DEFAULT_PRIORITY = 5;

/** Maximum length of an idempotency key, in characters. */
const MAXIMUM_IDEMPOTENCY_KEY_LENGTH = 200;

/** Reads a completion request, whose field `model` names the service. */
export function readCompletion(
  message: IncomingMessage,
  callKind: 'chat-completion' | 'completion',
  path: string,
  body: Buffer,
): ClientCall {
  const document = parseDocument(body);
  const model = document['model'];
  if (typeof model !== 'string') {
    throw createMalformedError('`model` must be a string that names a service');
  }
  const prompt = document[callKind === 'completion' ? 'prompt' : 'messages'];
  if (prompt === undefined) {
    throw createMalformedError('the prompt is missing');
  }
  return {
    ...readCommon(message),
    service: model,
    callKind,
    path,
    body,
    isStreamed: document['stream'] === true,
  };
}

/** Reads a request to a plain service. */
export function readPlainCall(
  message: IncomingMessage,
  service: string,
  path: string,
  body: Buffer,
): ClientCall {
  return {
    ...readCommon(message),
    service,
    callKind: 'plain',
    path,
    body,
    isStreamed: false,
  };
}

/** Reads a request to fetch the answer of an earlier request. */
export function readFetch(
  message: IncomingMessage,
  requestId: string,
): FetchCall {
  const lastEventId = readHeader(message, 'last-event-id');
  const accept = readHeader(message, 'accept') ?? '';
  const lastOffset =
    lastEventId === undefined ? -1 : readInteger(lastEventId, 'Last-Event-ID');
  return {
    requestId,
    workspaceKey: readBearerToken(message),
    isStreamed:
      lastEventId !== undefined || accept.includes('text/event-stream'),
    fromOffset: lastOffset + 1,
  };
}

type CommonFields = Omit<
  ClientCall,
  'body' | 'callKind' | 'isStreamed' | 'path' | 'service'
>;

function readCommon(message: IncomingMessage): CommonFields {
  const created = readHeader(message, 'idempotency-key-created');
  return {
    method: message.method ?? 'POST',
    target: message.url ?? '/',
    contentType: readHeader(message, 'content-type') ?? 'application/json',
    workspaceKey: readBearerToken(message),
    deadline: readDeadline(readHeader(message, 'x-request-deadline')),
    priority: readPriority(readHeader(message, 'x-request-priority')),
    idempotencyKey: readIdempotencyKey(readHeader(message, 'idempotency-key')),
    keyCreated:
      created === undefined
        ? undefined
        : readInstant(created, 'Idempotency-Key-Created'),
    traceparent: readHeader(message, 'traceparent'),
  };
}

function parseDocument(body: Buffer): Readonly<Record<string, unknown>> {
  try {
    const document: unknown = JSON.parse(body.toString());
    if (isRecord(document)) {
      return document;
    }
  } catch {
    throw createMalformedError('the body is not valid JSON');
  }
  throw createMalformedError('the body must be a JSON object');
}

function readBearerToken(message: IncomingMessage): string | undefined {
  const match = /^Bearer (\S+)$/i.exec(message.headers.authorization ?? '');
  return match?.[1];
}

function readHeader(
  message: IncomingMessage,
  name: string,
): string | undefined {
  const value = message.headers[name];
  return Array.isArray(value) ? value[0] : value;
}

function readDeadline(value: string | undefined): number | undefined {
  return value === undefined
    ? undefined
    : readInstant(value, 'X-Request-Deadline');
}

function readInstant(value: string, header: string): number {
  const instant = /^\d+$/.test(value) ? Number(value) : Date.parse(value);
  if (!Number.isFinite(instant)) {
    throw createMalformedError(
      `${header} must be milliseconds since the epoch or an RFC 3339 date`,
    );
  }
  return instant;
}

function readPriority(value: string | undefined): number {
  if (value === undefined) {
    return DEFAULT_PRIORITY;
  }
  if (!/^\d$/.test(value)) {
    throw createMalformedError(
      'X-Request-Priority must be a digit from 0 to 9',
    );
  }
  return Number(value);
}

function readIdempotencyKey(value: string | undefined): string | undefined {
  if (value === undefined) {
    return undefined;
  }
  const key = value.replace(/^"(.*)"$/, '$1');
  if (
    !/^[\x21-\x7e]+$/.test(key) ||
    key.length > MAXIMUM_IDEMPOTENCY_KEY_LENGTH
  ) {
    throw createMalformedError(
      `Idempotency-Key must be 1 to ${MAXIMUM_IDEMPOTENCY_KEY_LENGTH} visible characters`,
    );
  }
  return key;
}

function readInteger(value: string, header: string): number {
  if (!/^\d+$/.test(value)) {
    throw createMalformedError(`${header} must be a whole number`);
  }
  return Number(value);
}

function createMalformedError(detail: string): ServingError {
  return new ServingError('request-malformed', {detail});
}
