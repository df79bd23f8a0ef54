/**
 * A delay that an abort signal can end early.
 */

/** Resolves after `milliseconds`, or as soon as `signal` aborts. */
export function pause(
  milliseconds: number,
  signal: AbortSignal,
): Promise<void> {
  return new Promise(resolve => {
    if (signal.aborted) {
      resolve();
      return;
    }
    const finish = (): void => {
      clearTimeout(timer);
      signal.removeEventListener('abort', finish);
      resolve();
    };
    const timer = setTimeout(finish, milliseconds);
    signal.addEventListener('abort', finish, {once: true});
  });
}
