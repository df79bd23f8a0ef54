/**
 * One exchange over a pooled connection. The receiver learns exactly when the first
 * byte of its request is written.
 */
import {type BodyFraming, bodyFramingOf} from '@lacewingwinch/decisions';
import type {Client, Dispatcher} from 'undici';

import type {CarriedAttempts} from './carried_attempts.js';
import type {ResponseWatch, WatchedResponse} from './response_watch.js';
import type {UpstreamSocket} from './upstream_socket.js';

/** A request to send over a pooled connection. */
export interface PooledRequest {
  /** IP address and port of the upstream. */
  readonly address: string;
  readonly method: string;
  readonly path: string;
  /** Alternating names and values. */
  readonly headers: readonly string[];
  readonly body: Buffer | undefined;
  /** Connections that were idle for this long or longer are not reused. */
  readonly maximumIdleMilliseconds: number;
  /** Maximum number of open connections of this host to the upstream. */
  readonly maximumConnections: number;
  /** Milliseconds after which an incomplete response is ended. */
  readonly maximumMilliseconds: number;
  /** Milliseconds allowed to connect; a default applies if absent. */
  readonly connectMilliseconds?: number;
  /**
   * ID that the upstream echoes in its answers. A connection carries each ID once,
   * because a late copy of an answer looks like the answer to a second
   * sending with the same ID.
   */
  readonly attemptId?: string | undefined;
  /** What must hold on the connection before the request is sent over it. */
  readonly check?: ConnectionCheck | undefined;
}

/** The part of a request that is written to its connection. */
type SentRequest = Pick<PooledRequest, 'body' | 'headers' | 'method' | 'path'>;

/**
 * A call that shows which process is at the other end of a connection. It is made
 * once on each connection, which ends with its process.
 */
export interface ConnectionCheck {
  readonly path: string;
  readonly maximumMilliseconds: number;
  /**
   * Returns the start that the process reports, in milliseconds since the epoch;
   * undefined if the answer states none.
   */
  readonly readStart: (head: AnswerHead, body: Buffer) => number | undefined;
  /** Start of the only process to which the request may be sent. */
  readonly requiredStart: number;
  /** Whether the request is sent also if the process reports no start. */
  readonly isOptional: boolean;
}

/** Status and headers of an answer. */
export interface AnswerHead {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  /** Alternating names and values, as sent by the upstream. */
  readonly rawHeaders: readonly string[];
  readonly framing: BodyFraming;
  /** Whether no other request went over the connection before. */
  readonly isFirstOnConnection: boolean;
  /** Start that the process has reported on the connection; undefined if none. */
  readonly reportedStart: number | undefined;
}

/** The connection over which a request is about to be sent. */
export interface SendingConnection {
  /** Whether no request but a check went over the connection before. */
  readonly isNew: boolean;
  /** Time at which it was opened, by the age clock of the pool. */
  readonly openedAt: number;
}

/**
 * Receiver of the progress of a request. The last call is a single `onEnd` or
 * `onError`.
 */
export interface PooledReceiver {
  /** Called just before the first byte is sent; false cancels the request. */
  onSend(connection: SendingConnection): boolean;
  onHead(head: AnswerHead): void;
  onData(chunk: Buffer): void;
  onEnd(): void;
  onError(error: Error, wasSent: boolean): void;
}

/** A request in progress. */
export interface PooledExchange {
  /** Closes the connection; the receiver gets no further calls. */
  cancel(): void;
  /** Pauses reading until `resume` is called. */
  pause(): void;
  resume(): void;
  /** Lets the answer end and closes the connection then. */
  retire(): void;
}

/** A connection to an upstream, which carries one request at a time. */
export interface PooledConnection {
  readonly client: Client;
  socket: UpstreamSocket | undefined;
  idleSince: number;
  /** By the age clock of the pool. */
  openedAt: number;
  /** Whether the process at its other end was requested to report its start. */
  isChecked: boolean;
  /** Start that this process has reported; undefined if it has not. */
  reportedStart: number | undefined;
  hasCarriedRequest: boolean;
  readonly carriedAttempts: CarriedAttempts;
  /** The response in progress; undefined while the connection is idle. */
  response: WatchedResponse | undefined;
  isClosed: boolean;
  /** Whether this host ended the connection. */
  isEndedHere: boolean;
}

/** Returns the bytes that the HTTP parser has taken from a connection. */
function parsedBytesOf({socket}: PooledConnection): number {
  return socket === undefined ? 0 : socket.bytesRead - socket.readableLength;
}

/** The connection of an exchange and its limits. */
export interface ExchangeContext {
  readonly connection: PooledConnection;
  readonly watch: ResponseWatch;
  /** Time by which the response must be complete. */
  readonly dueAt: number;
}

/**
 * Starts an exchange. `release` gets the connection back and whether another request
 * may use it.
 */
export function startExchange(
  {connection, watch, dueAt}: ExchangeContext,
  request: SentRequest,
  receiver: PooledReceiver,
  release: (isReusable: boolean) => void,
): PooledExchange {
  let controller: Dispatcher.DispatchController | undefined;
  let wasSent = false;
  let isFinished = false;
  let isReusable = false;
  let isRetired = false;
  let bodyBytes = 0;
  let parsedBytesBefore = 0;
  const isFirstOnConnection = !connection.hasCarriedRequest;
  const watched: WatchedResponse = {
    dueAt,
    parsedBytes: () => parsedBytesOf(connection) - parsedBytesBefore,
    bodyBytes: () => bodyBytes,
    fail: (reason: string) => {
      controller?.abort(new Error(reason));
      fail(new Error(reason));
    },
  };
  const stopWatching = (): void => {
    watch.remove(watched);
    connection.response = undefined;
  };
  const finish = (canReuse: boolean, notifyReceiver: () => void): void => {
    if (isFinished) {
      return;
    }
    isFinished = true;
    stopWatching();
    connection.socket?.resumeReading();
    release(canReuse);
    notifyReceiver();
  };
  const fail = (error: Error): void =>
    finish(false, () => receiver.onError(error, wasSent));
  connection.client.dispatch(
    {
      method: request.method,
      path: request.path,
      headers: [...request.headers],
      body: request.body ?? null,
    },
    {
      onRequestStart: started => {
        controller = started;
        // undici may start a request a second time, which would send it again
        // on a new connection.
        if (
          isFinished ||
          wasSent ||
          !receiver.onSend({
            isNew: isFirstOnConnection,
            openedAt: connection.openedAt,
          })
        ) {
          started.abort(new Error('the request may not be sent'));
          return;
        }
        wasSent = true;
        connection.hasCarriedRequest = true;
        parsedBytesBefore = parsedBytesOf(connection);
        connection.response = watched;
        watch.add(watched);
      },
      onResponseStart: (started, status, headers) => {
        if (isFinished || status < 200) {
          return;
        }
        const framing = bodyFramingOf(headers);
        isReusable = framing !== 'connection' && !saysClose(headers);
        const rawHeaders = rawHeadersOf(started);
        receiver.onHead({
          status,
          headers,
          rawHeaders,
          framing,
          isFirstOnConnection,
          reportedStart: connection.reportedStart,
        });
      },
      onResponseData: (_controller, chunk) => {
        if (!isFinished) {
          bodyBytes += chunk.length;
          receiver.onData(chunk);
        }
      },
      onResponseEnd: () =>
        finish(isReusable && !isRetired, () => receiver.onEnd()),
      onResponseError: (_controller, error) => fail(error),
    },
  );
  return {
    cancel: () => {
      if (isFinished) {
        return;
      }
      isFinished = true;
      stopWatching();
      controller?.abort(new Error('cancelled'));
      release(false);
    },
    pause: () => {
      if (!isFinished) {
        connection.socket?.pauseReading();
      }
    },
    resume: () => {
      if (!isFinished) {
        connection.socket?.resumeReading();
      }
    },
    retire: () => {
      isRetired = true;
    },
  };
}

/** Returns whether a response with `headers` closes its connection. */
function saysClose({connection}: AnswerHead['headers']): boolean {
  const options = [connection ?? []].flat().join(',');
  return options
    .split(',')
    .some(option => option.trim().toLowerCase() === 'close');
}

function rawHeadersOf(
  controller: Dispatcher.DispatchController,
): readonly string[] {
  const raw = controller.rawHeaders;
  return Array.isArray(raw)
    ? raw.map(part =>
        typeof part === 'string' ? part : part.toString('latin1'),
      )
    : [];
}
