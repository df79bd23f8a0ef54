/**
 * A guard against states that cannot happen.
 */

/** `value`, or an error that names `what` when it is missing. */
export function requireValue<T>(value: T | undefined, what: string): T {
  if (value === undefined) {
    throw new Error(`missing: ${what}`);
  }
  return value;
}
