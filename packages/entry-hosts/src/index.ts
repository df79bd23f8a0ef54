/**
 * JSON-RPC connections between entry processes.
 */
export type {FrameTurns} from './frame_codec.js';
export * from './messages/backup_messages.js';
export * from './messages/claim_messages.js';
export * from './messages/explanation_messages.js';
export * from './messages/membership_messages.js';
export * from './messages/path_messages.js';
export * from './messages/permit_messages.js';
export * from './messages/placement_messages.js';
export * from './messages/quota_messages.js';
export * from './messages/state_messages.js';
export * from './messages/stream_messages.js';
export * from './messages/suspicion_messages.js';
export * from './messages/usage_messages.js';
export * from './parse_address.js';
export * from './peer_error.js';
export * from './peer_links.js';
export * from './peer_methods.js';
export * from './peer_server.js';
export * from './relay_messages.js';
