/**
 * The HTTP servers for clients, discovery, readiness checks and metrics.
 */
export * from './client_messages.js';
export * from './client_server.js';
export * from './directory_server.js';
export * from './routed_server.js';
