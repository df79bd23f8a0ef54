/**
 * The HTTP front that callers meet.
 */
export * from './caller_messages.js';
export * from './caller_server.js';
