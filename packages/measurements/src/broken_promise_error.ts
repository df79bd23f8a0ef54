/**
 * What the oracle of the fuzzing throws.
 */

/** A promise was broken. */
export class BrokenPromiseError extends Error {
  override readonly name = 'BrokenPromiseError';
}
