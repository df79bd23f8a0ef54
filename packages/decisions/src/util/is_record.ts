/**
 * A guard for values of unknown type.
 */

/** Whether `value` is an object that is not an array. */
export function isRecord(
  value: unknown,
): value is Readonly<Record<string, unknown>> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}
