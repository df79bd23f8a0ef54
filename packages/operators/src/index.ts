/**
 * Operator tools: publishing of configuration changes, explanations of
 * requests, and the client and server of the operator HTTP interface.
 */
export * from './explanation.js';
export * from './operator_client.js';
export * from './operator_messages.js';
export * from './operator_server.js';
export * from './publish_change.js';
