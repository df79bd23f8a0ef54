/**
 * One attempt at an upstream, from the first byte sent to its end.
 */
import {
  EventSplitter,
  type RoutedAttemptFailure,
  type SplitEvent,
} from '@lacewingwinch/decisions';
import {
  type AnswerHeaders,
  decodeAnswerHeaders,
  OTHER_UPSTREAM_STATUS,
} from '@lacewingwinch/platform';
import type {
  AnswerHead,
  ConnectionPool,
  PooledExchange,
  PooledRequest,
} from '@lacewingwinch/upstreams';

/** How an attempt ended. */
export type AttemptOutcome =
  | {readonly kind: 'whole'; readonly head: AnswerHead; readonly body: Buffer}
  /** Every event went to the receiver. */
  | {readonly kind: 'streamed'}
  | {readonly kind: 'failed'; readonly failure: RoutedAttemptFailure}
  | {readonly kind: 'cancelled'};

/** Receives a streamed answer while it arrives. */
export interface StreamReceiver {
  onHead(head: AnswerHead, facts: AnswerHeaders): void;
  /** Returns false to ask for a pause until `resume` is called. */
  onEvents(events: readonly SplitEvent[], resume: () => void): boolean;
  /** Bytes after the last whole event of a complete stream. */
  onTail(rest: Buffer): void;
}

/** What an attempt is made of. */
export interface AttemptPlan {
  readonly attemptId: string;
  readonly isStreamed: boolean;
  readonly request: PooledRequest;
  readonly stream: StreamReceiver;
  /** Is told when the first byte is about to be written. */
  readonly onSend: () => void;
  /** Is told at the first sign that the upstream works on the request. */
  readonly onFirstAnswerByte: () => void;
}

/** Bytes that a whole answer may have. */
const MAXIMUM_WHOLE_BYTES = 16 * 1024 * 1024;

/** Statuses that promise a caller that its request has not run. */
const PROMISING_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** A running attempt. */
export class RoutedAttempt {
  readonly outcome: Promise<AttemptOutcome>;
  private settle: (outcome: AttemptOutcome) => void = () => undefined;
  private exchange: PooledExchange | undefined;
  private head: AnswerHead | undefined;
  private isPassedOn = false;
  private readonly splitter = new EventSplitter();
  private readonly chunks: Buffer[] = [];
  private bytes = 0;
  private isCancelled = false;

  constructor(
    private readonly pool: ConnectionPool,
    private readonly plan: AttemptPlan,
  ) {
    this.outcome = new Promise(resolve => {
      this.settle = resolve;
    });
  }

  /** Sends the request. */
  start(): void {
    this.exchange = this.pool.send(this.plan.request, {
      onSend: () => {
        if (this.isCancelled) {
          return false;
        }
        this.plan.onSend();
        return true;
      },
      onHead: head => this.onHead(head),
      onData: chunk => this.onData(chunk),
      onEnd: () => this.onEnd(),
      onError: (error, wasSent) => {
        const reason = error.message;
        this.fail(
          wasSent
            ? {kind: 'lost', cause: 'connection', reason}
            : {kind: 'not-sent', reason},
        );
      },
    });
    if (this.exchange === undefined) {
      this.fail({
        kind: 'no-connection',
        reason: 'every connection is in use',
      });
    }
  }

  /** Closes the connection, so that the upstream stops working. */
  cancel(outcome: AttemptOutcome = {kind: 'cancelled'}): void {
    this.isCancelled = true;
    this.exchange?.cancel();
    this.settle(outcome);
  }

  private onHead(head: AnswerHead): void {
    this.head = head;
    const facts = decodeAnswerHeaders(head.headers);
    const failure = failureOfHead(head.status, facts, this.plan.attemptId);
    if (failure !== undefined) {
      this.cancelUnlessReusable(failure);
      return;
    }
    this.plan.onFirstAnswerByte();
    if (this.plan.isStreamed && head.status === 200) {
      this.isPassedOn = true;
      this.plan.stream.onHead(head, facts);
    }
  }

  /** An answer that says "not executed" is read to its end; others are cut. */
  private cancelUnlessReusable(failure: RoutedAttemptFailure): void {
    if (failure.kind === 'not-executed') {
      this.settle({kind: 'failed', failure});
      return;
    }
    this.cancel({kind: 'failed', failure});
  }

  private onData(chunk: Buffer): void {
    if (this.isPassedOn) {
      const events = this.splitter.push(chunk);
      if (events.length > 0) {
        const goesOn = this.plan.stream.onEvents(events, () =>
          this.exchange?.resume(),
        );
        if (!goesOn) {
          this.exchange?.pause();
        }
      }
      return;
    }
    this.bytes += chunk.length;
    if (this.bytes > MAXIMUM_WHOLE_BYTES) {
      const failure = lostAnswer('the answer is too large');
      this.cancel({kind: 'failed', failure});
      return;
    }
    this.chunks.push(chunk);
  }

  private onEnd(): void {
    if (this.isPassedOn) {
      this.plan.stream.onTail(this.splitter.takeRest());
      this.settle({kind: 'streamed'});
      return;
    }
    if (this.head === undefined) {
      this.fail(lostAnswer('the answer has no head'));
      return;
    }
    const body = Buffer.concat(this.chunks);
    this.settle({kind: 'whole', head: this.head, body});
  }

  private fail(failure: RoutedAttemptFailure): void {
    this.settle({kind: 'failed', failure});
  }
}

function failureOfHead(
  status: number,
  facts: AnswerHeaders,
  attemptId: string,
): RoutedAttemptFailure | undefined {
  const isForeign =
    facts.attemptId !== undefined && facts.attemptId !== attemptId;
  if (isForeign) {
    return lostAnswer('the answer belongs to another attempt');
  }
  if (facts.isNotExecuted || status === OTHER_UPSTREAM_STATUS) {
    return {kind: 'not-executed', status};
  }
  if (PROMISING_STATUSES.has(status)) {
    return lostAnswer(`status ${status} without "not executed"`);
  }
  const isSuccess = status >= 200 && status < 300;
  if (isSuccess && (!facts.isSigned || facts.attemptId === undefined)) {
    return lostAnswer('a success without signature or attempt id');
  }
  if (facts.isEncoded) {
    return lostAnswer('the body is encoded');
  }
  return undefined;
}

function lostAnswer(reason: string): RoutedAttemptFailure {
  return {kind: 'lost', cause: 'answer', reason};
}
