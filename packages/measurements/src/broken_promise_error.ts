/**
 * The error that the oracle of the fuzzing throws.
 */

/** Thrown when the code under test violates a guarantee. */
export class BrokenPromiseError extends Error {
  override readonly name = 'BrokenPromiseError';
}
