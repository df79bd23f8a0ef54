/**
 * A check of an abort signal that the compiler does not narrow.
 */

/**
 * Returns whether `signal` has aborted by now. A direct read of
 * `signal.aborted` would be narrowed to its earlier value, although it can
 * change during an await.
 */
export function isAborted(signal: AbortSignal): boolean {
  return signal.aborted;
}
