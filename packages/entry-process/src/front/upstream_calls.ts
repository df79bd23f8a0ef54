/**
 * The calls of one attempt to its upstream.
 */
import type {KeptAnswer} from '@lacewingwinch/entry-hosts';
import {
  callPlainService,
  streamCompletion,
  type UpstreamRequest,
} from '@lacewingwinch/upstreams';

import type {StreamMover} from '../recovery/stream_mover.js';
import {engineBody} from './engine_request.js';
import type {FrontContext} from './front_context.js';
import type {RequestRun, UpstreamSlot} from './slot_finder.js';

/** One attempt and how its bytes get to the upstream. */
export interface UpstreamCall {
  readonly run: RequestRun;
  readonly slot: UpstreamSlot;
  readonly attemptId: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly exchange: Pick<UpstreamRequest, 'carrier' | 'onBytes' | 'signal'>;
  /** Returns whether the first byte may be sent now. */
  readonly authorizeSend: () => boolean;
}

/** A complete answer of an upstream. */
export interface UpstreamAnswer {
  readonly status: number;
  /** Absent for a completion, whose buffered events are the answer. */
  readonly answer: KeptAnswer | undefined;
}

/** Calls upstreams for attempts. */
export class UpstreamCalls {
  constructor(
    private readonly context: FrontContext,
    private readonly mover: StreamMover,
  ) {}

  /** Calls a plain service. */
  async callPlain({
    run: {request},
    slot,
    headers,
    exchange,
    authorizeSend,
  }: UpstreamCall): Promise<UpstreamAnswer> {
    const answer = await callPlainService(this.context.connections, {
      address: slot.upstream.address,
      isRepeatable: request.copy.isIdempotent,
      request: {
        method: request.copy.method,
        path: request.copy.path,
        headers,
        body: request.body.length === 0 ? undefined : request.body,
        ...exchange,
        canSend: authorizeSend,
      },
    });
    const {status, contentType, body, framing} = answer;
    return {
      status,
      answer: {status, contentType, body: body.toString('base64'), framing},
    };
  }

  /** Streams a completion of a model engine into the request's buffer. */
  async callEngine({
    run: {request, outcome},
    slot,
    attemptId,
    headers,
    exchange,
    authorizeSend,
  }: UpstreamCall): Promise<UpstreamAnswer> {
    const resume = this.mover.resumePoint(request);
    await streamCompletion(this.context.connections, {
      address: slot.upstream.address,
      request: {
        method: 'POST',
        path: request.copy.path,
        headers,
        body: engineBody(request, outcome.model, resume),
        ...exchange,
        canSend: authorizeSend,
      },
      onEvent: ({offset, data}) =>
        request.acceptEvent(attemptId, offset, data, this.context.clock()),
    });
    return {status: 200, answer: undefined};
  }
}
