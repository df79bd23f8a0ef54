/**
 * Stand-in for a plain service that records its executions and can fail before
 * or after each of them.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';

import {delay, ListeningStandIn, readText, writeJson} from './http_stand_in.js';

/** How a plain service fails its requests. */
export type PlainServiceFault =
  /** Resets the connection after the execution. */
  | 'reset-after-execution'
  /** Resets the connection without executing the request. */
  | 'reset-before-execution'
  | 'none';

/** An executed request. */
export interface PlainExecution {
  readonly key: string;
  readonly path: string;
  readonly body: string;
}

/** A plain service that answers with the number of the execution. */
export class PlainServiceStandIn extends ListeningStandIn {
  readonly executions: PlainExecution[] = [];
  fault: PlainServiceFault = 'none';
  /** Milliseconds that an execution takes. */
  executionMilliseconds = 0;

  protected async handle(
    message: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const body = await readText(message);
    if (this.fault === 'reset-before-execution') {
      response.destroy();
      return;
    }
    const executionNumber = this.executions.push({
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
    writeJson(response, 200, {
      entry: executionNumber,
      echo: body.slice(0, 100),
    });
  }
}
