/**
 * Text of an error of unknown type.
 */

/** The message of `error`. */
export function messageOf(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}
