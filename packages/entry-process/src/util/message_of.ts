/**
 * Conversion of caught values to error messages.
 */

/** Returns the message of an error, or any other thrown value as a string. */
export function messageOf(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}
