/**
 * A stand-in for a plain service: it lists what it executed and can fail at
 * each stage of a call.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';

import {
  delay,
  ListeningStandIn,
  readWhole,
  writeJson,
} from './http_stand_in.js';

/** How the next calls fail. */
export type PlainServiceFault =
  /** The connection is reset once the call has run. */
  | 'reset-after-execution'
  /** The connection is reset when the head has arrived; the call never runs. */
  | 'reset-before-execution'
  | 'none';

/** One execution. */
export interface PlainExecution {
  readonly key: string;
  readonly path: string;
  readonly body: string;
}

/** The plain service stand-in. */
export class PlainServiceStandIn extends ListeningStandIn {
  readonly executions: PlainExecution[] = [];
  fault: PlainServiceFault = 'none';
  /** Milliseconds that an execution takes. */
  executionMilliseconds = 0;

  protected async handle(
    message: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const body = await readWhole(message);
    if (this.fault === 'reset-before-execution') {
      response.destroy();
      return;
    }
    const number = this.executions.push({
      key: String(message.headers['idempotency-key'] ?? ''),
      path: message.url ?? '/',
      body,
    });
    if (this.executionMilliseconds > 0) {
      await delay(this.executionMilliseconds);
    }
    if (this.fault === 'reset-after-execution') {
      response.destroy();
      return;
    }
    writeJson(response, 200, {entry: number, echo: body.slice(0, 100)});
  }
}
