/**
 * A stand-in for an upstream on the platform: a plain service or an engine that
 * streams events, with faults on demand.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';

import {delay, ListeningStandIn, readWhole} from './http_stand_in.js';

/** How the next requests are answered. */
export type EngineBehavior =
  /** The whole answer. */
  | 'answer'
  /** A status 500 after the request ran. */
  | 'fail'
  /** "Not executed", with status 503. */
  | 'shed'
  /** The request runs and its connection is reset. */
  | 'lose'
  /** The answer to another attempt. */
  | 'answer-another'
  /** A success without a signature. */
  | 'answer-unsigned'
  /** A status 503 that does not say that nothing was executed. */
  | 'busy'
  /** A stream that is reset after half of its events. */
  | 'break-off'
  /** No answer. */
  | 'hang';

/** A request as the upstream saw it. */
export interface SeenRequest {
  readonly path: string;
  readonly headers: IncomingMessage['headers'];
  readonly body: string;
}

/** Events of a streamed answer. */
export const STREAM_EVENTS = 6;

/** Milliseconds between two events. */
const EVENT_MILLISECONDS = 10;

/** An upstream. */
export class RoutedEngineStandIn extends ListeningStandIn {
  behavior: EngineBehavior = 'answer';
  /** Whether answers are streams of events. */
  isStreamed = false;
  /** Milliseconds for which a request that is not streamed runs. */
  workMilliseconds = 0;
  /** Whether answers name the attempt that they belong to. */
  namesAttempt = false;
  /** Version of the weights of its model; 0 for an upstream without one. */
  weightVersion = 0;
  /** Requests that ran. */
  readonly ran: SeenRequest[] = [];
  /** Requests whose caller closed the connection before the answer. */
  abandoned = 0;

  constructor(readonly upstreamId: string) {
    super();
  }

  /** The entry by which it lists itself. */
  entry(service: string, overrides: object = {}): object {
    return {
      service,
      address: this.address,
      zone: 'north',
      version: 'v1',
      slots: 8,
      state: 'ready',
      coldRemainingMs: 0,
      sequence: 1,
      born: 1,
      ...overrides,
    };
  }

  /** Attempts that ran. */
  ranAttempts(): readonly string[] {
    return this.ran.map(({headers}) => String(headers['x-attempt-id']));
  }

  protected async handle(
    message: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const body = await readWhole(message);
    const {headers} = message;
    response.once('close', () => {
      this.abandoned += response.writableFinished ? 0 : 1;
    });
    const attemptId = String(headers['x-attempt-id']);
    const signed = {
      'x-attempt-id': attemptId,
      'x-response-signature': `signed-by-${this.upstreamId}`,
      ...(this.weightVersion > 0 && {
        'x-weight-versions': String(this.weightVersion),
      }),
    };
    if (headers['x-expected-instance'] !== this.upstreamId) {
      response.writeHead(421, {'x-instance-id': this.upstreamId}).end();
      return;
    }
    const expected = headers['x-expected-version'];
    if (expected !== undefined && expected !== String(this.weightVersion)) {
      response.writeHead(421, {'x-not-executed': '1'}).end();
      return;
    }
    if (this.behavior === 'shed') {
      response.writeHead(503, {'x-not-executed': '1'}).end();
      return;
    }
    this.ran.push({path: message.url ?? '', headers, body});
    await delay(this.workMilliseconds);
    switch (this.behavior) {
      case 'answer':
      case 'break-off':
        await this.answer(message, response, signed);
        return;
      case 'fail':
        response.writeHead(500, signed).end('failed');
        return;
      case 'lose':
        message.socket.resetAndDestroy();
        return;
      case 'answer-another':
        response.writeHead(200, {...signed, 'x-attempt-id': 'other'}).end('x');
        return;
      case 'answer-unsigned':
        response.writeHead(200, {'x-attempt-id': attemptId}).end('x');
        return;
      case 'busy':
        response.writeHead(503, signed).end();
        return;
      case 'hang':
    }
  }

  private async answer(
    message: IncomingMessage,
    response: ServerResponse,
    signed: Readonly<Record<string, string>>,
  ): Promise<void> {
    if (!this.isStreamed) {
      const text = `answer-of-${this.upstreamId}${this.attemptOf(message)}`;
      response.writeHead(200, signed).end(text);
      return;
    }
    response.writeHead(200, {...signed, 'content-type': 'text/event-stream'});
    const after = Number(message.headers['last-event-id'] ?? 0);
    for (let id = after + 1; id <= STREAM_EVENTS; id += 1) {
      if (this.behavior === 'break-off' && id > STREAM_EVENTS / 2) {
        response.write(`id: ${id}\ndata: cut in the mid`);
        await delay(EVENT_MILLISECONDS);
        message.socket.resetAndDestroy();
        return;
      }
      const event = `event-${id}${this.attemptOf(message)}`;
      response.write(`id: ${id}\ndata: ${event}\n\n`);
      await delay(EVENT_MILLISECONDS);
    }
    response.end();
  }

  private attemptOf({headers}: IncomingMessage): string {
    return this.namesAttempt ? ` for ${String(headers['x-attempt-id'])}` : '';
  }
}
