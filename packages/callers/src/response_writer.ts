/**
 * Writing of the response to one routed request.
 */
import type {ServerResponse} from 'node:http';

import type {BodyFraming} from '@lacewingwinch/decisions';

import type {ClientRequest} from './client_request.js';
import {omitFraming} from './omit_framing.js';
import type {RefusalAnswer, RoutedResponder} from './routed_messages.js';

/**
 * Milliseconds for which a client may take nothing of a response that has ended.
 * Node.js notices after one to two such periods.
 */
const STALLED_CLIENT_MILLISECONDS = 5000;

/** Writes one response. */
export class ResponseWriter implements RoutedResponder {
  /** Whether the client takes any orderly end of its connection for complete. */
  private isUnframed = false;

  private readonly response: ServerResponse;

  constructor(
    private readonly request: ClientRequest,
    private readonly isLeaving: () => boolean,
  ) {
    this.response = request.response;
  }

  get hasBegun(): boolean {
    return this.response.headersSent;
  }

  sendComplete(
    status: number,
    headers: readonly string[],
    body: readonly Buffer[],
    framing: BodyFraming,
  ): void {
    if (framing === 'connection') {
      this.begin(status, headers, framing);
    } else {
      const length = body.reduce((sum, part) => sum + part.length, 0);
      this.writeHead(status, [...headers, 'content-length', String(length)]);
    }
    body.slice(0, -1).forEach(part => this.response.write(part));
    this.endResponse(body.at(-1));
  }

  /**
   * Responds to a request that was not read completely, then closes its
   * connection.
   */
  sendRefusal({status, headers, body}: RefusalAnswer): void {
    const {response} = this;
    response.shouldKeepAlive = false;
    this.writeHead(status, [...headers, 'content-length', String(body.length)]);
    response.write(body);
    this.request.discardRest(() => this.endResponse());
  }

  begin(
    status: number,
    headers: readonly string[],
    framing: BodyFraming,
  ): void {
    if (framing === 'connection') {
      omitFraming(this.response);
    }
    this.writeHead(status, headers);
    this.response.flushHeaders();
    // Clients of HTTP/1.0 get no chunks in any case.
    this.isUnframed = !this.response.chunkedEncoding;
  }

  write(chunk: Buffer): boolean {
    return this.response.write(chunk);
  }

  onDrain(listener: () => void): void {
    this.response.once('drain', listener);
  }

  end(): void {
    this.endResponse();
  }

  abort(): void {
    const {socket} = this.response;
    if (socket === null) {
      this.response.destroy();
      return;
    }
    socket.resetAndDestroy();
  }

  /** Aborts the response if it has no framing and is not written completely. */
  abortIfUnframed(): void {
    if (this.isUnframed && !this.response.writableFinished) {
      this.abort();
    }
  }

  /** Ends the response, and its connection if the client stops reading. */
  private endResponse(body?: Buffer): void {
    const {response} = this;
    response.end(body);
    if (response.writableLength > 0) {
      response.setTimeout(STALLED_CLIENT_MILLISECONDS, () => this.abort());
    }
  }

  private writeHead(status: number, headers: readonly string[]): void {
    if (this.isLeaving()) {
      this.response.shouldKeepAlive = false;
    }
    this.response.writeHead(status, [...headers]);
  }
}
