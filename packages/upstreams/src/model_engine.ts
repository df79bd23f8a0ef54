/**
 * Calls to model engines: streamed completions, their resumption, and export of
 * key-value caches.
 */
import {
  type BodyFraming,
  EventSplitter,
  isFinalStatus,
  MAXIMUM_EVENT_BYTES,
  promisesNotRun,
} from '@lacewingwinch/decisions';
import {createParser} from 'eventsource-parser';
import {z} from 'zod';

import type {UpstreamConnections} from './upstream_connections.js';
import {UpstreamError} from './upstream_error.js';
import {exchange, originOf, type UpstreamRequest} from './upstream_exchange.js';

/** Reference from which an engine fetches an exported key-value cache. */
export interface CacheHandle {
  /** IP address and port of the engine that exported the cache. */
  readonly address: string;
  readonly handle: string;
}

/** Point at which another engine resumes a stream. */
export interface ResumePoint {
  /** Offset of the next event. */
  readonly offset: number;
  /** Text produced before that event. */
  readonly text: string;
  readonly cache?: CacheHandle;
}

/** An event of a streamed completion. */
export interface EngineEvent {
  readonly offset: number;
  /** The JSON document that is passed on to the client. */
  readonly data: string;
}

/** A streamed call to a model engine. */
export interface EngineCall {
  /** IP address and port of the engine. */
  readonly address: string;
  readonly request: UpstreamRequest;
  readonly onEvent: (event: EngineEvent) => void;
}

/** Data of the event that ends a completion. */
export const END_OF_STREAM = '[DONE]';

/** Lines that are neither fields nor comments of an event, nor blank. */
const OTHER_LINES =
  /^(?!(?:(?:id|data|event|retry)(?::|\r?$)|:|\r?$)).*\r?\n/gm;

const EXPORT_TIMEOUT_MILLISECONDS = 1000;

const EXPORT_SCHEMA = z.object({handle: z.string()});

/**
 * Runs a completion until its last event. Rejects with an `UpstreamError` if
 * the engine is busy or the stream ends early, and with an `EngineRefusal` if
 * the engine rejects the call.
 */
export async function streamCompletion(
  connections: UpstreamConnections,
  call: EngineCall,
): Promise<void> {
  const progress = {status: 0, hasEnded: false};
  let framing: BodyFraming = 'connection';
  const errorBody: Buffer[] = [];
  let errorBytes = 0;
  const splitter = new EventSplitter();
  const parser = createParser({
    onEvent: ({id, data}) => {
      if (data === END_OF_STREAM) {
        progress.hasEnded = true;
        return;
      }
      call.onEvent({offset: Number(id ?? Number.NaN), data});
    },
  });
  await exchange(
    connections.persistent,
    originOf(call.address, call.request),
    call.request,
    {
      onHead: (answerStatus, _headers, answerFraming) => {
        progress.status = answerStatus;
        framing = answerFraming;
      },
      onData: chunk => {
        if (progress.status !== 200) {
          errorBytes += chunk.length;
          requireFewBytes(errorBytes, call);
          errorBody.push(chunk);
          return;
        }
        // The parser creates an error for each line that is none of an event.
        for (const {bytes} of splitter.push(chunk)) {
          parser.feed(bytes.toString().replace(OTHER_LINES, ''));
        }
        requireFewBytes(splitter.pendingBytes, call);
      },
    },
  );
  const {status} = progress;
  if (promisesNotRun(status) || !isFinalStatus(status)) {
    throw new UpstreamError(
      {kind: 'refused-by-upstream'},
      `the engine answered ${status}`,
      true,
    );
  }
  if (status !== 200) {
    throw new EngineRefusal(status, Buffer.concat(errorBody), framing);
  }
  if (!progress.hasEnded) {
    throw new UpstreamError(
      {kind: 'connection-lost'},
      'the stream ended before its last event',
      true,
    );
  }
}

/** Throws if an event or an error body has more bytes than are kept. */
function requireFewBytes(bytes: number, {address}: EngineCall): void {
  if (bytes > MAXIMUM_EVENT_BYTES) {
    throw new Error(`the engine at ${address} sent too many bytes`);
  }
}

/** Error of a call that the engine understood and rejected for good. */
export class EngineRefusal extends Error {
  override readonly name = 'EngineRefusal';

  constructor(
    readonly status: number,
    readonly body: Buffer,
    readonly framing: BodyFraming,
  ) {
    super(`the engine answered ${status}`);
  }
}

/** Makes an engine export the key-value cache of an attempt. */
export async function exportCache(
  connections: UpstreamConnections,
  address: string,
  attemptId: string,
): Promise<CacheHandle> {
  const chunks: Buffer[] = [];
  await exchange(
    connections.persistent,
    `http://${address}`,
    {
      method: 'POST',
      path: '/kv/export',
      headers: {'content-type': 'application/json'},
      body: Buffer.from(JSON.stringify({attempt_id: attemptId})),
      signal: AbortSignal.timeout(EXPORT_TIMEOUT_MILLISECONDS),
      canSend: () => true,
    },
    {onHead: () => undefined, onData: chunk => chunks.push(chunk)},
  );
  const answer: unknown = JSON.parse(Buffer.concat(chunks).toString());
  const {handle} = EXPORT_SCHEMA.parse(answer);
  return {address, handle};
}
