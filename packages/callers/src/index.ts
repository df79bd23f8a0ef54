/**
 * The HTTP servers for clients, discovery, readiness checks and metrics.
 */
export type {ClientRefusal} from './client_connection.js';
export * from './client_gate.js';
export * from './client_messages.js';
export type {ClientRequest} from './client_request.js';
export * from './client_server.js';
export * from './connection_probes.js';
export * from './directory_server.js';
export * from './parsing_turns.js';
export * from './routed_messages.js';
export * from './routed_server.js';
