/**
 * Calls to model engines: streamed completions, resumption, key-value cache.
 */
import {createParser} from 'eventsource-parser';
import {z} from 'zod';

import type {UpstreamConnections} from './upstream_connections.js';
import {UpstreamError} from './upstream_error.js';
import {exchange, type UpstreamRequest} from './upstream_exchange.js';

/** Where an engine fetches an exported key-value cache. */
export interface CacheHandle {
  /** IP number and port of the engine that exported it. */
  readonly address: string;
  readonly handle: string;
}

/** Where a stream goes on at another engine. */
export interface ResumePoint {
  /** Offset of the next event. */
  readonly offset: number;
  /** Text produced so far. */
  readonly text: string;
  readonly cache?: CacheHandle;
}

/** An event of a completion. */
export interface EngineEvent {
  readonly offset: number;
  /** The JSON document that the caller gets. */
  readonly data: string;
}

/** A streamed call to a model engine. */
export interface EngineCall {
  /** IP number and port of the engine. */
  readonly address: string;
  readonly request: UpstreamRequest;
  readonly onEvent: (event: EngineEvent) => void;
}

/** Data of the event that ends a completion. */
export const END_OF_STREAM = '[DONE]';

const EXPORT_TIMEOUT_MILLISECONDS = 1000;

const EXPORT_SCHEMA = z.object({handle: z.string()});

/**
 * Runs a completion until its last event. Rejects with an `UpstreamError` when
 * the stream breaks off before that.
 */
export async function streamCompletion(
  connections: UpstreamConnections,
  call: EngineCall,
): Promise<void> {
  const progress = {status: 0, hasEnded: false};
  const errorBody: Buffer[] = [];
  const decoder = new TextDecoder();
  const parser = createParser({
    onEvent: ({id, data}) => {
      if (data === END_OF_STREAM) {
        progress.hasEnded = true;
        return;
      }
      call.onEvent({offset: Number(id ?? Number.NaN), data});
    },
  });
  await exchange(connections.kept, `http://${call.address}`, call.request, {
    onHead: answerStatus => {
      progress.status = answerStatus;
    },
    onData: chunk => {
      if (progress.status !== 200) {
        errorBody.push(chunk);
        return;
      }
      parser.feed(decoder.decode(chunk, {stream: true}));
    },
  });
  const {status} = progress;
  if (status === 429 || status === 503) {
    throw new UpstreamError({kind: 'refused-by-upstream'}, 'busy', true);
  }
  if (status !== 200) {
    throw new EngineRefusal(status, Buffer.concat(errorBody));
  }
  if (!progress.hasEnded) {
    throw new UpstreamError(
      {kind: 'connection-lost'},
      'the stream broke off',
      true,
    );
  }
}

/** The engine understood the call and refused it for good. */
export class EngineRefusal extends Error {
  override readonly name = 'EngineRefusal';

  constructor(
    readonly status: number,
    readonly body: Buffer,
  ) {
    super(`the engine answered ${status}`);
  }
}

/** Asks an engine to export the key-value cache of an attempt. */
export async function exportCache(
  connections: UpstreamConnections,
  address: string,
  attemptId: string,
): Promise<CacheHandle> {
  const chunks: Buffer[] = [];
  await exchange(
    connections.kept,
    `http://${address}`,
    {
      method: 'POST',
      path: '/kv/export',
      headers: {'content-type': 'application/json'},
      body: Buffer.from(JSON.stringify({attempt_id: attemptId})),
      signal: AbortSignal.timeout(EXPORT_TIMEOUT_MILLISECONDS),
      mayBeSent: () => true,
    },
    {onHead: () => undefined, onData: chunk => chunks.push(chunk)},
  );
  const answer: unknown = JSON.parse(Buffer.concat(chunks).toString());
  const {handle} = EXPORT_SCHEMA.parse(answer);
  return {address, handle};
}
