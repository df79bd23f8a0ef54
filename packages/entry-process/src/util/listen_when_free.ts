/**
 * Listening at an address that another process may still hold: the one before on the
 * same host, or an outgoing connection that was given the port.
 */
import {messageOf} from './message_of.js';
import {pause} from './pause.js';

/**
 * Milliseconds for which a start waits for its addresses: longer than a stopping
 * process keeps them.
 */
const MAXIMUM_WAIT_MILLISECONDS = 30_000;

/** Milliseconds between two attempts to listen. */
const RETRY_PERIOD_MILLISECONDS = 100;

/** How a process waits for its addresses. */
export interface ListenOptions {
  /** Returns steady clock readings in milliseconds. */
  readonly clock: () => number;
  /** Called at the first attempt that fails, with the reason. */
  readonly onInUse: (error: string) => void;
  /** Ends the wait early. */
  readonly signal: AbortSignal;
}

/**
 * Calls `listen` until its address is free. Rejects with the error of the last
 * attempt if the address stays in use, and at once after any other error.
 */
export async function listenWhenFree<T>(
  listen: () => Promise<T>,
  {clock, onInUse, signal}: ListenOptions,
): Promise<T> {
  const until = clock() + MAXIMUM_WAIT_MILLISECONDS;
  let isReported = false;
  for (;;) {
    try {
      return await listen();
    } catch (error) {
      if (!isInUse(error) || signal.aborted || clock() >= until) {
        throw error;
      }
      if (!isReported) {
        isReported = true;
        onInUse(messageOf(error));
      }
    }
    await pause(RETRY_PERIOD_MILLISECONDS, signal);
  }
}

function isInUse(error: unknown): boolean {
  return (
    error instanceof Error && 'code' in error && error.code === 'EADDRINUSE'
  );
}
