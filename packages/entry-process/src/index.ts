/**
 * The public interface of the entry process package.
 */
export * from './entry_process.js';
export * from './routed_interface/lifecycle/routed_process.js';
export * from './settings.js';
