/**
 * Reading of an abort signal that may change at any time.
 */

/** Whether `signal` has aborted by now. */
export function isAborted(signal: AbortSignal): boolean {
  return signal.aborted;
}
