/**
 * The parts of the fuzzing that tests use.
 */
export * from './fuzz_commands.js';
export * from './fuzz_duties.js';
export * from './fuzz_system.js';
export * from './measurement_arguments.js';
