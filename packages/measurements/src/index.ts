/**
 * Measuring and fuzzing scripts.
 */
export * from './fuzz_commands.js';
export * from './fuzz_world.js';
