/**
 * The HTTP servers for clients, discovery, readiness checks and metrics.
 */
export * from './caller_messages.js';
export * from './caller_server.js';
export * from './directory_server.js';
export * from './routed_server.js';
