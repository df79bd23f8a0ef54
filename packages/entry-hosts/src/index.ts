/**
 * JSON-RPC connections between entry processes.
 */
export * from './parse_address.js';
export * from './peer_error.js';
export * from './peer_links.js';
export * from './peer_methods.js';
export * from './peer_server.js';
export * from './relay_messages.js';
