/**
 * Exchanges that are preceded by a check on the same connection. A connection ends
 * with the process at its other end, so what the check shows of that process holds
 * for every request on the connection.
 */
import {
  type AnswerHead,
  type ConnectionCheck,
  type ExchangeContext,
  type PooledConnection,
  type PooledExchange,
  type PooledReceiver,
  type PooledRequest,
  startExchange,
} from './pooled_exchange.js';

/** The connection of an exchange. */
export interface CheckedContext extends ExchangeContext {
  /**
   * Sends the request over another connection and without its check; undefined if
   * no connection may be used for it.
   */
  readonly sendUnchecked: () => PooledExchange | undefined;
}

/** Maximum number of bytes of the answer to a check. */
const MAXIMUM_CHECK_BYTES = 1024 * 1024;

/**
 * Error of a request that was not sent because the process at the other end of the
 * connection did not report its start.
 */
export class CheckNotMetError extends Error {
  override readonly name = 'CheckNotMetError';
}

/** Error of a request that was not sent because another process answers. */
export class OtherProcessError extends Error {
  override readonly name = 'OtherProcessError';
}

/** What a connection shows of the process that a request requires. */
export type CheckState =
  /** The request may be sent. */
  | 'met'
  /** The check was not made yet. */
  | 'open'
  /** Another process answers, or none that reports its start. */
  | 'failed';

/** Returns what a connection shows for a request with `check`. */
export function checkStateOf(
  {
    isChecked,
    reportedStart,
  }: Pick<PooledConnection, 'isChecked' | 'reportedStart'>,
  check: ConnectionCheck | undefined,
): CheckState {
  if (check === undefined) {
    return 'met';
  }
  if (!isChecked) {
    return 'open';
  }
  return reportedStart === check.requiredStart ||
    (reportedStart === undefined && check.isOptional)
    ? 'met'
    : 'failed';
}

/**
 * Starts an exchange, after its check if it has one that was not made on its
 * connection yet; see `startExchange`. A request whose check is not met fails with
 * nothing sent.
 */
export function startCheckedExchange(
  context: CheckedContext,
  request: PooledRequest,
  receiver: PooledReceiver,
  release: (isReusable: boolean) => void,
): PooledExchange {
  const {check} = request;
  if (
    check === undefined ||
    checkStateOf(context.connection, check) === 'met'
  ) {
    return startExchange(context, request, receiver, release);
  }
  const exchange = new CheckedExchange(
    context,
    {request, check},
    receiver,
    release,
  );
  exchange.start();
  return exchange;
}

/** A check, and the request that follows it. */
class CheckedExchange implements PooledExchange {
  /** The check, and after it the request; undefined if neither is under way. */
  private current: PooledExchange | undefined;
  private timer: NodeJS.Timeout | undefined;
  private isCheckOver = false;
  private head: AnswerHead | undefined;
  private readonly chunks: Buffer[] = [];
  private bytes = 0;
  /** Whether the connection can be used after the answer to the check. */
  private isReusable = false;
  /** Whether no request went over the connection before the check. */
  private readonly isNew: boolean;

  constructor(
    private readonly context: CheckedContext,
    private readonly checked: {
      readonly request: PooledRequest;
      readonly check: ConnectionCheck;
    },
    private readonly receiver: PooledReceiver,
    private readonly release: (isReusable: boolean) => void,
  ) {
    this.isNew = !context.connection.hasCarriedRequest;
  }

  start(): void {
    const {path, maximumMilliseconds} = this.checked.check;
    this.current = startExchange(
      this.context,
      {method: 'GET', path, headers: [], body: undefined},
      {
        onSend: () => {
          this.timer = setTimeout(
            () =>
              this.giveUp(new Error('the process does not answer its check')),
            maximumMilliseconds,
          );
          return true;
        },
        onHead: head => {
          this.head = head;
        },
        onData: chunk => this.onData(chunk),
        onEnd: () => this.onCheckAnswered(),
        onError: (error, wasSent) => this.onCheckError(error, wasSent),
      },
      isReusable => {
        this.isReusable = isReusable;
      },
    );
  }

  cancel(): void {
    const isChecking = this.endCheck();
    this.current?.cancel();
    if (isChecking) {
      this.release(false);
    }
  }

  pause(): void {
    this.current?.pause();
  }

  resume(): void {
    this.current?.resume();
  }

  retire(): void {
    this.current?.retire();
  }

  /** Ends the check; returns whether it was not over before. */
  private endCheck(): boolean {
    clearTimeout(this.timer);
    const wasChecking = !this.isCheckOver;
    this.isCheckOver = true;
    return wasChecking;
  }

  private onData(chunk: Buffer): void {
    this.bytes += chunk.length;
    this.chunks.push(chunk);
    if (this.bytes > MAXIMUM_CHECK_BYTES) {
      this.giveUp(new CheckNotMetError('the answer to the check is too large'));
    }
  }

  private giveUp(error: Error): void {
    if (this.endCheck()) {
      this.current?.cancel();
      this.release(false);
      this.endUnanswered(error);
    }
  }

  private onCheckAnswered(): void {
    if (!this.endCheck()) {
      return;
    }
    const {connection} = this.context;
    const {check} = this.checked;
    connection.isChecked = true;
    connection.reportedStart =
      this.head === undefined
        ? undefined
        : check.readStart(this.head, Buffer.concat(this.chunks));
    const canSend = this.isReusable && !connection.isClosed;
    if (canSend && checkStateOf(connection, check) === 'met') {
      this.sendChecked();
      return;
    }
    this.release(canSend);
    this.endUnmet(connection.reportedStart);
  }

  private sendChecked(): void {
    const {isNew, receiver} = this;
    this.current = startExchange(
      this.context,
      this.checked.request,
      {
        onSend: connection => receiver.onSend({...connection, isNew}),
        onHead: head => receiver.onHead(head),
        onData: chunk => receiver.onData(chunk),
        onEnd: () => receiver.onEnd(),
        onError: (error, wasSent) => receiver.onError(error, wasSent),
      },
      this.release,
    );
  }

  private endUnmet(reportedStart: number | undefined): void {
    const {requiredStart} = this.checked.check;
    if (reportedStart === undefined) {
      const error = new CheckNotMetError('the process reports no start');
      this.endUnanswered(error);
      return;
    }
    if (reportedStart === requiredStart) {
      const error = new CheckNotMetError(
        'the connection ended after the check',
      );
      this.endUnanswered(error);
      return;
    }
    const reason = `the process of ${reportedStart} answers in place of that of ${requiredStart}`;
    this.receiver.onError(new OtherProcessError(reason), false);
  }

  private onCheckError(error: Error, wasSent: boolean): void {
    if (!this.endCheck()) {
      return;
    }
    this.release(false);
    if (wasSent) {
      this.endUnanswered(error);
      return;
    }
    this.receiver.onError(error, false);
  }

  /** Sends the request unchecked if it may be, and fails otherwise. */
  private endUnanswered(error: Error): void {
    this.current = this.checked.check.isOptional
      ? this.context.sendUnchecked()
      : undefined;
    if (this.current === undefined) {
      this.receiver.onError(error, false);
    }
  }
}
