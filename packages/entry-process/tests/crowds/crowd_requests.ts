/** What the clients of crowds send. */
import {
  chunkedContent,
  LAST_CHUNK,
  repeated,
  STAND_IN_HOST,
} from '@lacewingwinch/stand-ins';

import {BODY_BYTES} from './crowded_host.js';

const CHUNK_BYTES = 65_536;

/** Headers of a request, and where it is sent. */
export interface RequestHead {
  readonly method?: string;
  readonly path?: string;
  readonly hasHost?: boolean;
  readonly hasAttemptId?: boolean;
  readonly hasKey?: boolean;
  /** Value of `content-length`; `chunks` for a chunked body. */
  readonly length?: number | 'chunks';
  readonly headers?: readonly string[];
}

/** Returns the head of a request that is proper unless stated otherwise. */
export function requestHead({
  method = 'POST',
  path = '/once/crowd',
  hasHost = true,
  hasAttemptId = true,
  hasKey = true,
  length = 0,
  headers = [],
}: RequestHead = {}): string {
  return [
    `${method} ${path} HTTP/1.1`,
    ...(hasHost ? [`host: ${STAND_IN_HOST}`] : []),
    ...(hasAttemptId ? ['x-attempt-id: crowd'] : []),
    ...(hasKey ? ['authorization: Token key-1'] : []),
    length === 'chunks'
      ? 'transfer-encoding: chunked'
      : `content-length: ${length}`,
    ...headers,
    '\r\n',
  ].join('\r\n');
}

/** Returns a head of about `bytes` that consists of short headers. */
export function headOfManyHeaders(
  bytes: number,
  head: RequestHead = {},
): string {
  const headers: string[] = [];
  let length = requestHead(head).length;
  while (length < bytes) {
    const header = `a${headers.length.toString(36)}:1`;
    headers.push(header);
    length += header.length + 2;
  }
  return requestHead({...head, headers});
}

/** Sends a chunked body of `bytes` that stays open. */
export function* openChunkedBody(
  bytes: number,
  chunkBytes = CHUNK_BYTES,
  extension = '',
  head: RequestHead = {},
): Generator<Buffer> {
  yield Buffer.from(requestHead({...head, length: 'chunks'}));
  yield* chunkedContent(bytes, chunkBytes, extension);
}

/** Sends a body whose last byte is missing. */
export function* bodyWithoutItsEnd(
  bytes: number,
  head: RequestHead = {},
): Generator<Buffer> {
  yield Buffer.from(requestHead({...head, length: bytes}));
  yield* repeated('x', bytes - 1);
}

/** Announces `announced` bytes of a body and sends `sent` of them. */
export function* announcedBody(
  announced: number,
  sent: number,
): Generator<Buffer> {
  yield Buffer.from(requestHead({length: announced}));
  yield* repeated('x', sent);
}

/** Sends a head that never ends. */
export function* openHead(bytes: number): Generator<Buffer> {
  yield Buffer.from(requestHead().slice(0, -2));
  yield Buffer.from(`x-padding: ${'x'.repeat(bytes)}`);
}

/** Sends `count` requests at once. */
export function requestsAhead(
  count: number,
  head: RequestHead = {},
): Generator<Buffer> {
  return repeated(requestHead(head), count);
}

/** Sends `count` short queries at once. */
export function queriesAhead(count: number, path: string): Generator<Buffer> {
  return repeated(`GET ${path} HTTP/1.1\r\nhost: a\r\n\r\n`, count);
}

/** Sends one request of the largest size, in chunks of one byte. */
export function* largestBodyInSmallestChunks(
  attemptId: string,
): Generator<Buffer> {
  yield Buffer.from(
    requestHead({
      hasAttemptId: false,
      length: 'chunks',
      headers: [
        `x-attempt-id: ${attemptId}`,
        'x-deadline-ms: 60000',
        'connection: close',
      ],
    }),
  );
  yield* chunkedContent(BODY_BYTES, 1);
  yield LAST_CHUNK;
}
