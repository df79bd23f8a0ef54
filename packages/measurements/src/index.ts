/**
 * Measuring and fuzzing scripts.
 */
export {};
