/**
 * Numbered log events, metrics and traces of an entry process.
 */
export * from './bounded_output.js';
export * from './event_catalogue.js';
export * from './event_log.js';
export * from './event_throttle.js';
export * from './metrics.js';
export * from './tracing.js';
