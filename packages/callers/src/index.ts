/**
 * The HTTP front that callers meet.
 */
export * from './caller_messages.js';
export * from './caller_server.js';
export * from './directory_server.js';
export * from './routed_server.js';
