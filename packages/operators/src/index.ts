/**
 * What operators use: publishing, showing, explaining, and the admin surface.
 */
export * from './explanation.js';
export * from './operator_client.js';
export * from './operator_messages.js';
export * from './operator_server.js';
export * from './publish_change.js';
