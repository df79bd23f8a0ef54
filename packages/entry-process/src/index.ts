/**
 * The entry process.
 */
export * from './entry_process.js';
export * from './routed/routed_process.js';
export * from './settings.js';
