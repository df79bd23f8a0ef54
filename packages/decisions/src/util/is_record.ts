/**
 * A type guard for values of unknown type.
 */

/** Returns whether `value` is an object other than an array. */
export function isRecord(
  value: unknown,
): value is Readonly<Record<string, unknown>> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}
