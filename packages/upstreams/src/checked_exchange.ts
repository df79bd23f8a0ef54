/**
 * Exchanges that are preceded by a check on the same connection. A connection ends
 * with the process at its other end, so what the check shows of that process holds
 * for the request as well.
 */
import {
  type AnswerHead,
  type ExchangeContext,
  type PooledExchange,
  type PooledReceiver,
  type PooledRequest,
  startExchange,
} from './pooled_exchange.js';

/** The connection of an exchange, and the present time of the pool's clock. */
export interface CheckedContext extends ExchangeContext {
  readonly now: number;
  readonly onCheckMet: () => void;
}

/** Maximum number of bytes of the answer to a check. */
const MAXIMUM_CHECK_BYTES = 1024 * 1024;

/** Error of a request that was not sent because its check was not met. */
export class CheckNotMetError extends Error {
  override readonly name = 'CheckNotMetError';
}

/**
 * Starts an exchange, after its check if it has one; see `startExchange`. A request
 * whose check is not met fails with nothing sent.
 */
export function startCheckedExchange(
  context: CheckedContext,
  request: PooledRequest,
  receiver: PooledReceiver,
  release: (isReusable: boolean) => void,
): PooledExchange {
  const {check} = request;
  if (check === undefined) {
    return startExchange(context, request, receiver, release);
  }
  const {connection, now} = context;
  const chunks: Buffer[] = [];
  let bytes = 0;
  let head: AnswerHead | undefined;
  let isReusable = false;
  let current: PooledExchange | undefined;
  const fail = (reason: string, canReuse: boolean): void => {
    release(canReuse);
    receiver.onError(new CheckNotMetError(reason), false);
  };
  const checkExchange = startExchange(
    {...context, dueAt: now + check.maximumMilliseconds},
    {method: 'GET', path: check.path, headers: [], body: undefined},
    {
      onSend: () => true,
      onHead: answered => {
        head = answered;
      },
      onData: chunk => {
        bytes += chunk.length;
        if (bytes > MAXIMUM_CHECK_BYTES) {
          current?.cancel();
          fail('the answer to the check is too large', false);
          return;
        }
        chunks.push(chunk);
      },
      onEnd: () => {
        if (head === undefined || !check.isMet(head, Buffer.concat(chunks))) {
          fail(check.failure, isReusable);
          return;
        }
        if (!isReusable || connection.isClosed) {
          fail('the connection ended after the check', false);
          return;
        }
        context.onCheckMet();
        current = startExchange(context, request, receiver, release);
      },
      onError: error => {
        release(false);
        receiver.onError(error, false);
      },
    },
    canReuse => {
      isReusable = canReuse;
    },
  );
  current = checkExchange;
  return {
    cancel: () => {
      const isChecking = current === checkExchange;
      current?.cancel();
      if (isChecking) {
        release(false);
      }
    },
    pause: () => current?.pause(),
    resume: () => current?.resume(),
    retire: () => current?.retire(),
  };
}
